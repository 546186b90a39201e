package faker

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"daisylane/internal/checker"
)

const (
	defaultOutput = 64
	bytesPerToken = 4
	blockTokens   = 16
	tailBytes     = 64
	chunkObject   = "chat.completion.chunk"
)

// Chat is a chat completion request. Other fields are ignored.
type Chat struct {
	Model         string    `json:"model"`
	Messages      []Message `json:"messages"`
	MaxTokens     int       `json:"max_tokens,omitempty"`
	MaxCompletion int       `json:"max_completion_tokens,omitempty"`
	Stream        bool      `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Priority int `json:"priority"` // lower runs first
}

// Message is a chat message.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Check validates the request.
func (c Chat) Check() error {
	var f checker.Faults
	f.Require(len(c.Messages) > 0, "messages", "is empty")
	f.Require(c.MaxTokens >= 0, "max_tokens", "is negative")
	f.Require(c.MaxCompletion >= 0, "max_completion_tokens", "is negative")
	return f.Err()
}

func (c Chat) limit() int {
	switch {
	case c.MaxCompletion > 0:
		return c.MaxCompletion
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return defaultOutput
}

func (c Chat) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + "\x00" + m.Content + "\x00")
	}
	return b.String()
}

func (c Chat) tail() string {
	last := c.Messages[len(c.Messages)-1].Content
	return last[max(0, len(last)-tailBytes):]
}

// tokens counts the prompt tokens, at most one per content byte.
func (c Chat) tokens() int {
	n := 0
	for _, m := range c.Messages {
		n += (len(m.Content) + bytesPerToken - 1) / bytesPerToken
	}
	return n
}

// blocks returns the hashes of the prompt's prefixes, one per full block.
func (c Chat) blocks() []uint64 {
	text := c.Model + "\x00" + c.prompt()
	size := blockTokens * bytesPerToken
	var list []uint64
	for end := size; end <= len(text); end += size {
		list = append(list, xxhash.Sum64String(text[:end]))
	}
	return list
}

// Output returns the answer of any engine to a request, token by token, so that
// a test can tell the answers to different prompts apart. The length is the
// limit, or less for one in four prompts.
func Output(c Chat) []string {
	sum := xxhash.Sum64String(c.Model + "\x00" + c.prompt())
	n := c.limit()
	if sum%4 == 0 {
		n = max(1, n/2)
	}
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = strconv.FormatUint((sum^uint64(i)*0x9e3779b97f4a7c15)>>48, 36) + " "
	}
	return tokens
}

// Usage is the consumption of a run.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *Message `json:"delta,omitempty"`
	Message *Message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// completion is a whole answer or a chunk of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}
