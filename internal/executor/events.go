package executor

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"daisylane/internal/admitter"
	"daisylane/internal/wirepb"
)

const (
	maxEventBytes = 1 << 20
	doneEvent     = "[DONE]"
)

// usage is the token count that an engine reports.
type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

func (u usage) tokens() admitter.Usage {
	return admitter.Usage{Prompt: max(u.Prompt, 0), Output: max(u.Completion, 0)}
}

// chunk is the part of a streamed event that metering needs.
type chunk struct {
	Choices []struct {
		Delta map[string]json.RawMessage `json:"delta"`
		Text  string                     `json:"text"`
	} `json:"choices"`
	Usage *usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// tokens counts one token per choice with content, which is how engines stream.
func (c chunk) tokens() int64 {
	var n int64
	for _, choice := range c.Choices {
		if choice.Text != "" || hasContent(choice.Delta) {
			n++
		}
	}
	return n
}

func hasContent(delta map[string]json.RawMessage) bool {
	for key, raw := range delta {
		switch string(raw) {
		case `""`, "null", "[]", "{}":
			continue
		}
		if key != "role" {
			return true
		}
	}
	return false
}

// receiveEvents keeps a streamed answer, one data frame per event payload. The
// final [DONE] is not kept: the end frame says that the answer is complete.
func (s *Side) receiveEvents(ctx context.Context, j *job, run *wirepb.Run, body io.Reader) result {
	asked := asksUsage(run.GetPayload())
	var out result
	var counted admitter.Usage
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, pieceBytes), maxEventBytes)
	for {
		payload, err := nextEvent(lines)
		switch {
		case err != nil:
			return result{usage: counted, err: err}
		case string(payload) == doneEvent:
			out.usage = counted
			return out
		}
		var c chunk
		if err := json.Unmarshal(payload, &c); err != nil {
			return result{usage: counted, err: fmt.Errorf("decode event: %w", err)}
		}
		summary := len(c.Choices) == 0 && c.Usage != nil
		if c.Usage != nil {
			counted = c.Usage.tokens()
		} else {
			counted.Output += c.tokens()
		}
		if !summary && s.exceeds(j, counted) {
			return result{usage: counted, err: errLimit}
		}
		if summary && !asked {
			continue
		}
		if err := j.append(ctx, payload); err != nil {
			return result{usage: counted, err: err}
		}
		if len(c.Error) > 0 && string(c.Error) != "null" {
			return result{usage: counted, err: fmt.Errorf("the engine reported an error: %w", errIncomplete)}
		}
	}
}

// exceeds meters a running request and reports whether it must stop.
func (s *Side) exceeds(j *job, used admitter.Usage) bool {
	actions := ask(s.desk, func(a *admitter.Admitter) []admitter.Action { return a.Meter(j.id, used) })
	s.carryOut(actions)
	return len(actions) > 0
}

// nextEvent returns the payload of the next event of a stream.
func nextEvent(lines *bufio.Scanner) ([]byte, error) {
	var payload []byte
	found := false
	for lines.Scan() {
		line := lines.Bytes()
		if len(line) == 0 {
			if found {
				return payload, nil
			}
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if found {
			payload = append(payload, '\n')
		}
		payload = append(payload, bytes.TrimPrefix(data, []byte(" "))...)
		found = true
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read event: %w", err)
	}
	// Some servers end the connection without the empty line after the last event.
	if found && string(payload) == doneEvent {
		return payload, nil
	}
	return nil, fmt.Errorf("read event: %w", errIncomplete)
}

// asksUsage reports whether the caller asked for the usage event.
func asksUsage(body []byte) bool {
	var request struct {
		Options struct {
			Usage bool `json:"include_usage"`
		} `json:"stream_options"`
	}
	return json.Unmarshal(body, &request) == nil && request.Options.Usage
}
