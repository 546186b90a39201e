package router

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// eventWriter writes a response as server-sent events. The header is written with
// the first event, so that an earlier failure can still set the status.
type eventWriter struct {
	w             http.ResponseWriter
	flush         func() error
	includeUsage  bool // whether to forward the usage event
	headerWritten bool
}

func newEventWriter(w http.ResponseWriter, usage bool) *eventWriter {
	return &eventWriter{w: w, flush: http.NewResponseController(w).Flush, includeUsage: usage}
}

func (e *eventWriter) writeHeader() {
	if e.headerWritten {
		return
	}
	e.headerWritten = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	e.w.WriteHeader(http.StatusOK)
}

// writeEvent writes one event. The side always requests the usage event for
// metering, so it is dropped here unless the caller asked for it.
func (e *eventWriter) writeEvent(payload []byte) error {
	if !e.includeUsage && isUsageEvent(payload) {
		return nil
	}
	e.writeHeader()
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", payload); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := e.flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// finish ends a complete response.
func (e *eventWriter) finish() error { return e.writeEvent([]byte("[DONE]")) }

// writeError ends an interrupted response with an error event and without [DONE].
func (e *eventWriter) writeError(id string, failure *Error) {
	if body, err := json.Marshal(failure.body(id)); err == nil {
		_ = e.writeEvent(body)
	}
}

func isUsageEvent(payload []byte) bool {
	if !bytes.Contains(payload, []byte(`"usage"`)) {
		return false
	}
	var event struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   json.RawMessage   `json:"usage"`
	}
	if json.Unmarshal(payload, &event) != nil {
		return false
	}
	return len(event.Choices) == 0 && len(event.Usage) > 0 && string(event.Usage) != "null"
}
