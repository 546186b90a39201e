package faker

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"daisylane/internal/checker"
)

const (
	defaultOutputTokens = 64
	bytesPerToken       = 4
	blockTokens         = 16
	tailBytes           = 64
	chunkObject         = "chat.completion.chunk"
)

// ChatRequest is a chat completion request. Unknown fields are ignored.
type ChatRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	MaxTokens           int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens int       `json:"max_completion_tokens,omitempty"`
	Stream              bool      `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Priority int `json:"priority"` // lower values run first
}

// Message is a chat message.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Check validates the request.
func (c ChatRequest) Check() error {
	var f checker.Validator
	f.Require(len(c.Messages) > 0, "messages", "is empty")
	f.Require(c.MaxTokens >= 0, "max_tokens", "is negative")
	f.Require(c.MaxCompletionTokens >= 0, "max_completion_tokens", "is negative")
	return f.Err()
}

func (c ChatRequest) outputLimit() int {
	switch {
	case c.MaxCompletionTokens > 0:
		return c.MaxCompletionTokens
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return defaultOutputTokens
}

func (c ChatRequest) promptText() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + "\x00" + m.Content + "\x00")
	}
	return b.String()
}

func (c ChatRequest) promptTail() string {
	last := c.Messages[len(c.Messages)-1].Content
	return last[max(0, len(last)-tailBytes):]
}

// promptTokens returns the number of prompt tokens, at most one per content byte.
func (c ChatRequest) promptTokens() int {
	n := 0
	for _, m := range c.Messages {
		n += (len(m.Content) + bytesPerToken - 1) / bytesPerToken
	}
	return n
}

// blockHashes returns the hash of each prompt prefix that ends at a full block. The
// model name is part of the prefix.
func (c ChatRequest) blockHashes() []uint64 {
	text := c.Model + "\x00" + c.promptText()
	size := blockTokens * bytesPerToken
	var list []uint64
	for end := size; end <= len(text); end += size {
		list = append(list, xxhash.Sum64String(text[:end]))
	}
	return list
}

// ExpectedOutput returns the tokens that every engine generates for a request. They are
// derived from the prompt, so that a test can tell the responses to different
// prompts apart. The number of tokens is the output limit, or half of it for one
// in four prompts.
func ExpectedOutput(c ChatRequest) []string {
	sum := xxhash.Sum64String(c.Model + "\x00" + c.promptText())
	n := c.outputLimit()
	if sum%4 == 0 {
		n = max(1, n/2)
	}
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = strconv.FormatUint((sum^uint64(i)*0x9e3779b97f4a7c15)>>48, 36) + " "
	}
	return tokens
}

// Usage is the token usage of a run.
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

// completion is a complete response or a chunk of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}
