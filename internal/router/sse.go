package router

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// eventWriter writes an answer as server-sent events. The header goes out with
// the first event, so that a refusal before it can still set the status.
type eventWriter struct {
	w       http.ResponseWriter
	flush   func() error
	usage   bool // whether to pass on the usage event
	started bool
}

func newEventWriter(w http.ResponseWriter, usage bool) *eventWriter {
	return &eventWriter{w: w, flush: http.NewResponseController(w).Flush, usage: usage}
}

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	e.w.WriteHeader(http.StatusOK)
}

// data writes one event. The usage event is left out unless the caller asked
// for it, because the side always requests it for metering.
func (e *eventWriter) data(payload []byte) error {
	if !e.usage && isUsageEvent(payload) {
		return nil
	}
	e.start()
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", payload); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := e.flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// done ends a whole answer.
func (e *eventWriter) done() error { return e.data([]byte("[DONE]")) }

// fail ends an answer that broke off. There is no [DONE] event after it.
func (e *eventWriter) fail(id string, failure *Error) {
	if body, err := json.Marshal(failure.body(id)); err == nil {
		_ = e.data(body)
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
