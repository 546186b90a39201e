package router

import (
	"encoding/json"
	"fmt"

	"daisylane/internal/checker"
)

// chatRequest holds the fields of a chat completion that the router uses. The
// payload is forwarded unchanged.
type chatRequest struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Choices             *int64          `json:"n"`
	Tools               json.RawMessage `json:"tools"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// messageOverhead is the maximum number of tokens that an engine adds per message
// for role and separators.
const messageOverhead = 8

// maxChoices limits the choices per request, because each one reserves its
// maximum output.
const maxChoices = 16

func parseChat(data []byte) (chatRequest, error) {
	var req chatRequest
	if err := json.Unmarshal(data, &req); err != nil {
		return req, fmt.Errorf("parse chat completion: %w", err)
	}
	return req, req.Check()
}

// Check validates the fields that the router uses.
func (c chatRequest) Check() error {
	var f checker.Validator
	f.Require(c.Model != "", "model", "is missing")
	f.Require(len(c.Messages) > 0, "messages", "is empty, give at least one message")
	for _, limit := range []struct {
		key   string
		value *int64
		high  int64
	}{
		{"max_tokens", c.MaxTokens, 1 << 30},
		{"max_completion_tokens", c.MaxCompletionTokens, 1 << 30},
		{"n", c.Choices, maxChoices},
	} {
		if limit.value != nil {
			checker.Range(&f, limit.key, *limit.value, 1, limit.high)
		}
	}
	return f.Err()
}

// wantsUsage reports whether the caller requested the usage event of a stream.
func (c chatRequest) wantsUsage() bool { return c.StreamOptions != nil && c.StreamOptions.IncludeUsage }

// maxPromptTokens returns an upper bound of the prompt tokens. No common
// tokenizer produces more tokens than the text has bytes.
func (c chatRequest) maxPromptTokens() int64 {
	n := int64(len(c.Tools))
	for _, m := range c.Messages {
		n += int64(len(m.Content)) + int64(len(m.Role)) + messageOverhead
	}
	return n
}

// maxOutputTokens returns the output limit of the request, given the target's
// default and maximum.
func (c chatRequest) maxOutputTokens(fallback, maximum int64) int64 {
	n := fallback
	if c.MaxTokens != nil {
		n = *c.MaxTokens
	}
	if c.MaxCompletionTokens != nil {
		n = *c.MaxCompletionTokens
	}
	if maximum > 0 {
		n = min(n, maximum)
	}
	return n
}

func (c chatRequest) choiceCount() int64 {
	if c.Choices == nil {
		return 1
	}
	return *c.Choices
}
