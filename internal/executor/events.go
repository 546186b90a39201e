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

var errStreamBroken = errors.New("the stream of the target broke off")

// usage holds the token counts that an engine reports.
type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
}

func (u usage) tokens() admitter.Usage {
	return admitter.Usage{Prompt: max(u.Prompt, 0), Output: max(u.Completion, 0)}
}

// chunk is the part of a streamed completion event that metering needs.
type chunk struct {
	Choices []struct {
		Delta map[string]json.RawMessage `json:"delta"`
		Text  string                     `json:"text"`
	} `json:"choices"`
	Usage *usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// tokens returns the number of choices with content, because engines stream one
// token per choice and event.
func (c chunk) tokens() int64 {
	var n int64
	for _, choice := range c.Choices {
		if choice.Text != "" || hasContent(choice.Delta) {
			n++
		}
	}
	return n
}

// hasContent reports whether a delta has a non-empty field other than the role.
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

// receiveEvents buffers a streamed response, one data frame per event payload. The
// final [DONE] is not buffered because the End frame marks a complete response. If
// the connection breaks, the stream is resumed at the engine.
func (s *Side) receiveEvents(ctx context.Context, j *job, run *wirepb.Run, body io.Reader) result {
	m := streamMeter{side: s, job: j, sendUsage: wantsUsage(run.GetPayload())}
	events := newEventReader(body)
	for resumes := 0; ; resumes++ {
		err := m.receiveUntilDone(ctx, events)
		if err == nil {
			return result{usage: m.used}
		}
		if !errors.Is(err, errStreamBroken) || ctx.Err() != nil || resumes == maxEngineResumes {
			return result{usage: m.used, err: err}
		}
		rest, resumeErr := s.resumeEngineStream(ctx, j.id, events.consumed)
		if resumeErr != nil {
			return result{usage: m.used, err: fmt.Errorf("%w; %w", err, resumeErr)}
		}
		defer rest.Close()
		j.addRecord("stream of the engine resumed at byte %d", events.consumed)
		events.resumeFrom(rest)
	}
}

// streamMeter counts the tokens of a stream and buffers its events.
type streamMeter struct {
	side      *Side
	job       *job
	sendUsage bool // the caller requested the usage event
	used      admitter.Usage
}

// receiveUntilDone handles events until [DONE].
func (m *streamMeter) receiveUntilDone(ctx context.Context, events *eventReader) error {
	for {
		payload, err := events.next()
		switch {
		case err != nil:
			return err
		case string(payload) == doneEvent:
			return nil
		}
		if err := m.handleEvent(ctx, payload); err != nil {
			return err
		}
	}
}

func (m *streamMeter) handleEvent(ctx context.Context, payload []byte) error {
	var c chunk
	if err := json.Unmarshal(payload, &c); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	if c.Usage != nil {
		m.used = c.Usage.tokens()
	} else {
		m.used.Output += c.tokens()
	}
	usageOnly := len(c.Choices) == 0 && c.Usage != nil
	if usageOnly && !m.sendUsage {
		return nil
	}
	if !usageOnly && m.side.meterUsage(m.job, m.used) {
		return errLimit
	}
	if err := m.job.appendData(ctx, payload); err != nil {
		return err
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return fmt.Errorf("the engine reported an error: %w", errIncompleteResponse)
	}
	return nil
}

// meterUsage reports the usage of a running request to the admission state and
// returns whether the request must stop.
func (s *Side) meterUsage(j *job, used admitter.Usage) bool {
	actions := call(s.admission, func(a *admitter.Admitter) []admitter.Action { return a.RecordUsage(j.id, used) })
	s.applyActions(actions)
	return len(actions) > 0
}

// eventReader reads server-sent events.
type eventReader struct {
	r        *bufio.Reader
	consumed int64 // bytes of the complete events read so far
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// resumeFrom makes the reader continue with r, which must start after the consumed
// bytes. Bytes of an incomplete event are discarded.
func (e *eventReader) resumeFrom(r io.Reader) { e.r.Reset(r) }

// next returns the payload of the next event. If the stream ends before [DONE], the
// error wraps errStreamBroken.
func (e *eventReader) next() ([]byte, error) {
	var payload []byte
	var size int64
	found := false
	for {
		line, err := e.line()
		if err != nil {
			// Some servers close the connection without the empty line after the last event.
			if string(payload) == doneEvent || string(bytes.TrimSpace(line)) == "data: "+doneEvent {
				return []byte(doneEvent), nil
			}
			return nil, err
		}
		size += int64(len(line))
		if size > maxEventBytes {
			return nil, fmt.Errorf("event is over %d bytes: %w", maxEventBytes, errIncompleteResponse)
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

// line returns the next line including its line ending.
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
			return nil, fmt.Errorf("line is over %d bytes: %w", maxEventBytes, errIncompleteResponse)
		default:
			return line, fmt.Errorf("%w: %w", errStreamBroken, err)
		}
	}
}

// wantsUsage reports whether the request body enables the usage event.
func wantsUsage(body []byte) bool {
	var request struct {
		Options struct {
			Usage bool `json:"include_usage"`
		} `json:"stream_options"`
	}
	return json.Unmarshal(body, &request) == nil && request.Options.Usage
}
