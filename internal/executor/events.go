package executor

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"daisylane/internal/admitter"
	"daisylane/internal/wirepb"
)

const (
	maxEventBytes = 1 << 20
	doneEvent     = "[DONE]"
)

var errBroken = errors.New("the stream of the target broke off")

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
// final [DONE] is not kept: the end frame says that the answer is complete. A
// stream that breaks off is resumed at the engine.
func (s *Side) receiveEvents(ctx context.Context, j *job, run *wirepb.Run, body io.Reader) result {
	m := meter{side: s, job: j, asked: asksUsage(run.GetPayload())}
	events := newEventReader(body)
	for resumes := 0; ; resumes++ {
		err := m.receive(ctx, events)
		if err == nil {
			return result{usage: m.counted}
		}
		if !errors.Is(err, errBroken) || ctx.Err() != nil || resumes == maxEngineResumes {
			return result{usage: m.counted, err: err}
		}
		rest, resumeErr := s.resumeStream(ctx, j.id, events.consumed)
		if resumeErr != nil {
			return result{usage: m.counted, err: fmt.Errorf("%w; %w", err, resumeErr)}
		}
		defer rest.Close()
		j.note("stream of the engine resumed at byte %d", events.consumed)
		events.continueWith(rest)
	}
}

// meter counts the tokens of a stream and keeps its events.
type meter struct {
	side    *Side
	job     *job
	asked   bool // the caller asked for the usage event
	counted admitter.Usage
}

// receive takes events until [DONE].
func (m *meter) receive(ctx context.Context, events *eventReader) error {
	for {
		payload, err := events.next()
		switch {
		case err != nil:
			return err
		case string(payload) == doneEvent:
			return nil
		}
		if err := m.take(ctx, payload); err != nil {
			return err
		}
	}
}

func (m *meter) take(ctx context.Context, payload []byte) error {
	var c chunk
	if err := json.Unmarshal(payload, &c); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	if c.Usage != nil {
		m.counted = c.Usage.tokens()
	} else {
		m.counted.Output += c.tokens()
	}
	summary := len(c.Choices) == 0 && c.Usage != nil
	if summary && !m.asked {
		return nil
	}
	if !summary && m.side.exceeds(m.job, m.counted) {
		return errLimit
	}
	if err := m.job.append(ctx, payload); err != nil {
		return err
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return fmt.Errorf("the engine reported an error: %w", errIncomplete)
	}
	return nil
}

// exceeds meters a running request and reports whether it must stop.
func (s *Side) exceeds(j *job, used admitter.Usage) bool {
	actions := ask(s.admission, func(a *admitter.Admitter) []admitter.Action { return a.Meter(j.id, used) })
	s.carryOut(actions)
	return len(actions) > 0
}

// eventReader reads server-sent events and counts the bytes of complete ones.
type eventReader struct {
	r        *bufio.Reader
	consumed int64
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, pieceBytes)}
}

// continueWith reads on from a stream that starts after the consumed bytes.
func (e *eventReader) continueWith(r io.Reader) { e.r.Reset(r) }

// next returns the payload of the next event. An error that wraps errBroken
// means that the stream ended before [DONE].
func (e *eventReader) next() ([]byte, error) {
	var payload []byte
	var size int64
	found := false
	for {
		line, err := e.line()
		if err != nil {
			// Some servers end the connection without the empty line after the last event.
			if string(payload) == doneEvent || string(bytes.TrimSpace(line)) == "data: "+doneEvent {
				return []byte(doneEvent), nil
			}
			return nil, err
		}
		size += int64(len(line))
		if size > maxEventBytes {
			return nil, fmt.Errorf("event is over %d bytes: %w", maxEventBytes, errIncomplete)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			e.consumed += size
			size = 0
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
}

// line returns the next line with its end.
func (e *eventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := e.r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return line, nil
		case errors.Is(err, bufio.ErrBufferFull) && len(line) <= maxEventBytes:
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("line is over %d bytes: %w", maxEventBytes, errIncomplete)
		default:
			return line, fmt.Errorf("%w: %w", errBroken, err)
		}
	}
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
