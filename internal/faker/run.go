package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// States of a run.
const (
	StateWaiting   = "waiting"
	StateRunning   = "running"
	StateDone      = "done"
	StateCancelled = "cancelled"
	StateDied      = "died"
)

// Run records one run of a request.
type Run struct {
	ID           string `json:"id"` // request id
	Model        string `json:"model"`
	State        string `json:"state"`
	PromptTail   string `json:"tail"`   // end of the last message, to identify a run without its request id
	CachedTokens int    `json:"cached"` // prompt tokens found in the prefix cache
	Usage        Usage  `json:"usage"`
}

type run struct {
	id           string
	chat         ChatRequest
	promptTokens int
	cancelRun    context.CancelFunc
	ended        chan struct{}
	isSilent     func() bool

	mu           sync.Mutex
	state        string
	cachedTokens int
	outputTokens int
	text         strings.Builder
	stream       []byte        // server-sent events so far
	grown        chan struct{} // closed and replaced when the stream grows or the run ends
}

func (e *Engine) startRun(id string, c ChatRequest) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" {
		id = fmt.Sprintf("run-%d", len(e.runs)+1)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &run{
		id: id, chat: c, promptTokens: c.promptTokens(), cancelRun: stop, isSilent: e.isSilent, state: StateWaiting,
		ended: make(chan struct{}), grown: make(chan struct{}),
	}
	e.runs = append(e.runs, r)
	e.byID[id] = r
	dies := e.faults.failRuns > 0
	if dies {
		e.faults.failRuns--
	}
	go e.execute(ctx, r, dies)
	return r
}

func (e *Engine) execute(ctx context.Context, r *run, dies bool) {
	defer close(r.ended)
	defer r.cancelRun()
	e.mu.Lock()
	slot := e.queue.enqueue(r.chat.Priority)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.queue.release(slot)
	}()
	select {
	case <-slot.ready:
	case <-ctx.Done():
		r.finish(StateCancelled)
		return
	}
	e.mu.Lock()
	hits := e.cache.lookupAndInsert(r.chat.blockHashes())
	e.mu.Unlock()
	cached := min(r.promptTokens, hits*blockTokens)
	r.setRunning(cached)
	if !e.simulateWork(ctx, time.Duration(r.promptTokens-cached)*e.cfg.PrefillPerToken.Std()) {
		r.finish(StateCancelled)
		return
	}
	output := ExpectedOutput(r.chat)
	for i, token := range output {
		if dies && i == len(output)/2 {
			r.finish(StateDied)
			return
		}
		if !e.simulateWork(ctx, e.cfg.TokenInterval.Std()) {
			r.finish(StateCancelled)
			return
		}
		r.appendToken(token)
	}
	r.finish(StateDone)
}

// simulateWork waits while the engine is paused, and then for a duration scaled by the
// slowdown factor. It reports false if the run was cancelled.
func (e *Engine) simulateWork(ctx context.Context, d time.Duration) bool {
	e.mu.Lock()
	d = time.Duration(float64(d) * e.faults.slowdown)
	resumed := e.resumed
	e.mu.Unlock()
	select {
	case <-resumed:
	case <-ctx.Done():
		return false
	}
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) setRunning(cached int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state, r.cachedTokens = StateRunning, cached
}

func (r *run) appendToken(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delta := &Message{Content: token}
	if r.outputTokens == 0 {
		delta.Role = "assistant"
	}
	r.outputTokens++
	r.text.WriteString(token)
	r.appendEvent(choice{Delta: delta})
}

func (r *run) finish(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	if state == StateDone {
		r.appendEvent(choice{Delta: &Message{}, Finish: r.finishReason()})
		if r.chat.StreamOptions.IncludeUsage {
			r.appendEvent()
		}
		r.stream = append(r.stream, "data: [DONE]\n\n"...)
	}
	close(r.grown)
	r.grown = make(chan struct{})
}

// appendEvent appends a chunk to the stream. A chunk without choices carries the usage.
// The caller must hold the lock.
func (r *run) appendEvent(choices ...choice) {
	c := completion{ID: r.id, Object: chunkObject, Model: r.chat.Model, Choices: choices}
	if len(choices) == 0 {
		c.Choices = []choice{}
		c.Usage = Ptr(r.usage())
	}
	data, _ := json.Marshal(c)
	r.stream = append(r.stream, "data: "...)
	r.stream = append(r.stream, data...)
	r.stream = append(r.stream, "\n\n"...)
	close(r.grown)
	r.grown = make(chan struct{})
}

func (r *run) finishReason() *string {
	if r.outputTokens >= r.chat.outputLimit() {
		return Ptr("length")
	}
	return Ptr("stop")
}

func (r *run) usage() Usage {
	return Usage{r.promptTokens, r.outputTokens, r.promptTokens + r.outputTokens}
}

func (r *run) record() Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Run{ID: r.id, Model: r.chat.Model, State: r.state, PromptTail: r.chat.promptTail(), CachedTokens: r.cachedTokens, Usage: r.usage()}
}

func isFinal(state string) bool { return state != StateWaiting && state != StateRunning }

// streamTo sends the stream, starting at an offset, until the run ends.
func (r *run) streamTo(ctx context.Context, w http.ResponseWriter, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for {
		r.mu.Lock()
		next, state, grown := r.stream[min(offset, len(r.stream)):], r.state, r.grown
		r.mu.Unlock()
		if r.isSilent() {
			<-ctx.Done()
			abortConnection()
		}
		_, _ = w.Write(next)
		_ = flush.Flush()
		offset += len(next)
		switch {
		case state == StateDied:
			abortConnection()
		case isFinal(state):
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return
		}
	}
}

// writeCompletion waits for the run to end and sends the complete response.
func (r *run) writeCompletion(ctx context.Context, w http.ResponseWriter) {
	select {
	case <-r.ended:
	case <-ctx.Done():
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.state {
	case StateDied:
		abortConnection()
	case StateCancelled:
		writeError(w, http.StatusConflict, "cancelled")
		return
	}
	message := &Message{Role: "assistant", Content: r.text.String()}
	writeJSON(w, http.StatusOK, completion{
		ID: r.id, Object: "chat.completion", Model: r.chat.Model, Usage: Ptr(r.usage()),
		Choices: []choice{{Message: message, Finish: r.finishReason()}},
	})
}
