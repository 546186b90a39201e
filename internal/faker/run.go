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

// Run is the record of one run of a request.
type Run struct {
	ID     string `json:"id"` // request id
	Model  string `json:"model"`
	State  string `json:"state"`
	Tail   string `json:"tail"`   // end of the last message, to find a run without its request id
	Cached int    `json:"cached"` // prompt tokens from the prefix cache
	Usage  Usage  `json:"usage"`
}

type run struct {
	id     string
	chat   Chat
	prompt int
	stop   context.CancelFunc
	ended  chan struct{}
	silent func() bool

	mu     sync.Mutex
	state  string
	cached int
	tokens int
	text   strings.Builder
	stream []byte        // server-sent events so far
	grown  chan struct{} // closed and replaced when the stream grows
}

func (e *Engine) start(id string, c Chat) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" {
		id = fmt.Sprintf("run-%d", len(e.runs)+1)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &run{
		id: id, chat: c, prompt: c.tokens(), stop: stop, silent: e.silent, state: StateWaiting,
		ended: make(chan struct{}), grown: make(chan struct{}),
	}
	e.runs = append(e.runs, r)
	e.byID[id] = r
	dies := e.faults.die > 0
	if dies {
		e.faults.die--
	}
	go e.execute(ctx, r, dies)
	return r
}

func (e *Engine) execute(ctx context.Context, r *run, dies bool) {
	defer close(r.ended)
	defer r.stop()
	e.mu.Lock()
	slot := e.queue.enter(r.chat.Priority)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.queue.leave(slot)
	}()
	select {
	case <-slot.ready:
	case <-ctx.Done():
		r.finish(StateCancelled)
		return
	}
	e.mu.Lock()
	hits := e.cache.touch(r.chat.blocks())
	e.mu.Unlock()
	cached := min(r.prompt, hits*blockTokens)
	r.begin(cached)
	if !e.work(ctx, time.Duration(r.prompt-cached)*e.cfg.Prefill.Std()) {
		r.finish(StateCancelled)
		return
	}
	output := Output(r.chat)
	for i, token := range output {
		if dies && i == len(output)/2 {
			r.finish(StateDied)
			return
		}
		if !e.work(ctx, e.cfg.Interval.Std()) {
			r.finish(StateCancelled)
			return
		}
		r.emit(token)
	}
	r.finish(StateDone)
}

// work spends time, longer when slowed or paused. It reports false when cancelled.
func (e *Engine) work(ctx context.Context, d time.Duration) bool {
	e.mu.Lock()
	d = time.Duration(float64(d) * e.faults.slow)
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

func (r *run) begin(cached int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state, r.cached = StateRunning, cached
}

func (r *run) emit(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delta := &Message{Content: token}
	if r.tokens == 0 {
		delta.Role = "assistant"
	}
	r.tokens++
	r.text.WriteString(token)
	r.event(choice{Delta: delta})
}

func (r *run) finish(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	if state == StateDone {
		r.event(choice{Delta: &Message{}, Finish: r.reason()})
		if r.chat.StreamOptions.IncludeUsage {
			r.event()
		}
		r.stream = append(r.stream, "data: [DONE]\n\n"...)
	}
	close(r.grown)
	r.grown = make(chan struct{})
}

// event appends a chunk to the stream; without a choice it carries the usage.
// The caller holds the lock.
func (r *run) event(choices ...choice) {
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

func (r *run) reason() *string {
	if r.tokens >= r.chat.limit() {
		return Ptr("length")
	}
	return Ptr("stop")
}

func (r *run) usage() Usage { return Usage{r.prompt, r.tokens, r.prompt + r.tokens} }

func (r *run) record() Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Run{ID: r.id, Model: r.chat.Model, State: r.state, Tail: r.chat.tail(), Cached: r.cached, Usage: r.usage()}
}

func over(state string) bool { return state != StateWaiting && state != StateRunning }

// copyTo sends the stream from an offset until the run ends.
func (r *run) copyTo(ctx context.Context, w http.ResponseWriter, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for {
		r.mu.Lock()
		next, state, grown := r.stream[min(offset, len(r.stream)):], r.state, r.grown
		r.mu.Unlock()
		if r.silent() {
			<-ctx.Done()
			abort()
		}
		_, _ = w.Write(next)
		_ = flush.Flush()
		offset += len(next)
		switch {
		case state == StateDied:
			abort()
		case over(state):
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return
		}
	}
}

// answer sends the whole completion when the run ends.
func (r *run) answer(ctx context.Context, w http.ResponseWriter) {
	select {
	case <-r.ended:
	case <-ctx.Done():
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.state {
	case StateDied:
		abort()
	case StateCancelled:
		fail(w, http.StatusConflict, "cancelled")
		return
	}
	message := &Message{Role: "assistant", Content: r.text.String()}
	reply(w, http.StatusOK, completion{
		ID: r.id, Object: "chat.completion", Model: r.chat.Model, Usage: Ptr(r.usage()),
		Choices: []choice{{Message: message, Finish: r.reason()}},
	})
}
