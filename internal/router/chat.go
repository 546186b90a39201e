package router

import (
	"encoding/json"
	"fmt"

	"daisylane/internal/checker"
)

// chatRequest has the fields of a chat completion that the router acts on. The
// payload is forwarded as the caller sent it.
type chatRequest struct {
	Model     string          `json:"model"`
	Messages  []chatMessage   `json:"messages"`
	Stream    bool            `json:"stream"`
	Options   *streamOptions  `json:"stream_options"`
	MaxTokens *int64          `json:"max_tokens"`
	MaxOutput *int64          `json:"max_completion_tokens"`
	Choices   *int64          `json:"n"`
	Tools     json.RawMessage `json:"tools"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type streamOptions struct {
	Usage bool `json:"include_usage"`
}

// messageOverhead bounds the tokens that an engine adds per message for role and separators.
const messageOverhead = 8

// maxChoices bounds the answers per request, since each reserves its full output.
const maxChoices = 16

func parseChat(data []byte) (chatRequest, error) {
	var req chatRequest
	if err := json.Unmarshal(data, &req); err != nil {
		return req, fmt.Errorf("parse chat completion: %w", err)
	}
	return req, req.Check()
}

// Check validates the fields that the router acts on.
func (c chatRequest) Check() error {
	var f checker.Faults
	f.Require(c.Model != "", "model", "is missing")
	f.Require(len(c.Messages) > 0, "messages", "is empty, give at least one message")
	for _, limit := range []struct {
		key   string
		value *int64
		high  int64
	}{
		{"max_tokens", c.MaxTokens, 1 << 30},
		{"max_completion_tokens", c.MaxOutput, 1 << 30},
		{"n", c.Choices, maxChoices},
	} {
		if limit.value != nil {
			checker.Range(&f, limit.key, *limit.value, 1, limit.high)
		}
	}
	return f.Err()
}

// wantsUsage tells whether the caller asked for the usage event of a stream.
func (c chatRequest) wantsUsage() bool { return c.Options != nil && c.Options.Usage }

// promptBound returns an upper bound of the prompt tokens: no common tokenizer
// produces more tokens than there are bytes.
func (c chatRequest) promptBound() int64 {
	n := int64(len(c.Tools))
	for _, m := range c.Messages {
		n += int64(len(m.Content)) + int64(len(m.Role)) + messageOverhead
	}
	return n
}

// outputBound returns the maximum output tokens, given the target's default and maximum.
func (c chatRequest) outputBound(standard, maximum int64) int64 {
	n := standard
	if c.MaxTokens != nil {
		n = *c.MaxTokens
	}
	if c.MaxOutput != nil {
		n = *c.MaxOutput
	}
	if maximum > 0 {
		n = min(n, maximum)
	}
	return n
}

func (c chatRequest) choices() int64 {
	if c.Choices == nil {
		return 1
	}
	return *c.Choices
}
