package faker

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/loader"
)

const (
	defaultSlots  = 8
	defaultBlocks = 4096
)

// EngineConfig describes a model engine.
type EngineConfig struct {
	Models   []string        // served models, all if empty
	Slots    int             // requests that run at once
	Blocks   int             // size of the prefix cache, in blocks of [blockTokens]
	Interval loader.Duration // between generated tokens
	Prefill  loader.Duration // per prompt token that is not cached
	Lag      loader.Duration // of the load report
	Fenced   bool            // reject orders with an old fencing number
}

// Engine is a stand-in for a model engine with an OpenAI-compatible interface.
// A run continues without its caller until it ends or is cancelled.
type Engine struct {
	mux *http.ServeMux

	mu      sync.Mutex
	cfg     EngineConfig
	faults  engineState
	resumed chan struct{} // closed unless the engine is paused
	queue   queue
	cache   cache
	runs    []*run
	byID    map[string]*run // latest run of each request id
	orders  []Order
	fence   uint64
	load    Load
	loadAt  time.Time
}

// Load is the load report of an engine.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	Cache   int `json:"cache"` // cached prefix blocks
}

// NewEngine returns an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Blocks == 0 {
		cfg.Blocks = defaultBlocks
	}
	e := &Engine{
		mux:     http.NewServeMux(),
		cfg:     cfg,
		faults:  engineState{slow: 1},
		resumed: make(chan struct{}),
		queue:   queue{free: cfg.Slots},
		cache:   newCache(cfg.Blocks),
		byID:    make(map[string]*run),
	}
	close(e.resumed)
	e.mux.HandleFunc("POST /v1/chat/completions", e.guard(e.complete))
	e.mux.HandleFunc("GET /v1/streams/{id}", e.guard(e.resume))
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.guard(e.cancel))
	e.mux.HandleFunc("GET /v1/models", e.guard(e.models))
	e.mux.HandleFunc("POST /tokenize", e.guard(acceptOpen(e.tokenize)))
	e.mux.HandleFunc("GET /load", e.guard(e.report))
	e.mux.HandleFunc("POST /orders", e.guard(accept(e.order)))
	e.mux.HandleFunc("GET /orders", e.listOrders)
	e.mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, e.Runs()) })
	e.mux.HandleFunc("POST /faults", accept(func(w http.ResponseWriter, f EngineFaults) {
		e.Set(f)
		w.WriteHeader(http.StatusNoContent)
	}))
	return e
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Runs returns all runs since the start.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Run, len(e.runs))
	for i, r := range e.runs {
		list[i] = r.record()
	}
	return list
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	acceptOpen(func(w http.ResponseWriter, c Chat) {
		if !e.serves(c.Model) {
			fail(w, http.StatusNotFound, "model "+strconv.Quote(c.Model)+" is not served")
			return
		}
		run := e.start(r.Header.Get("X-Request-Id"), c)
		w.Header().Set("X-Request-Id", run.id)
		if c.Stream {
			run.copyTo(r.Context(), w, 0)
			return
		}
		run.answer(r.Context(), w)
	})(w, r)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		fail(w, http.StatusBadRequest, "offset: want a number of bytes")
		return
	}
	run := e.find(r.PathValue("id"))
	if run == nil {
		fail(w, http.StatusNotFound, "stream is unknown")
		return
	}
	run.copyTo(r.Context(), w, offset)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	run := e.find(r.PathValue("id"))
	if run == nil {
		fail(w, http.StatusNotFound, "stream is unknown")
		return
	}
	run.stop()
	<-run.ended
	reply(w, http.StatusOK, run.record())
}

func (e *Engine) find(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.cfg.Models) == 0 || slices.Contains(e.cfg.Models, model)
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []model{}
	for _, id := range e.cfg.Models {
		list = append(list, model{id, "model"})
	}
	reply(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

func (e *Engine) tokenize(w http.ResponseWriter, c Chat) {
	reply(w, http.StatusOK, map[string]int{"count": c.tokens()})
}

// report answers with a load that is up to the configured lag old.
func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.loadAt) >= e.cfg.Lag.Std() {
		e.loadAt = time.Now()
		e.load = Load{
			Running: e.cfg.Slots - e.queue.free, Waiting: len(e.queue.waiting),
			Slots: e.cfg.Slots, Cache: e.cache.size(),
		}
	}
	reply(w, http.StatusOK, e.load)
}

// EngineFaults are the fault switches of an engine. A nil field keeps its value.
type EngineFaults struct {
	Die    *int             `json:"die,omitempty"`    // the next n runs end and break their connection half-way
	Pause  *bool            `json:"pause,omitempty"`  // no run makes progress
	Silent *bool            `json:"silent,omitempty"` // requests get no answer, and running streams send nothing more
	Slow   *float64         `json:"slow,omitempty"`   // factor on all times
	Fenced *bool            `json:"fenced,omitempty"` // reject orders with an old fencing number
	Lag    *loader.Duration `json:"lag,omitempty"`    // of the load report
}

// Check validates the switches.
func (s EngineFaults) Check() error {
	var f checker.Faults
	f.Require(s.Die == nil || *s.Die >= 0, "die", "is negative")
	f.Require(s.Slow == nil || *s.Slow > 0, "slow", "is not positive")
	f.Require(s.Lag == nil || *s.Lag >= 0, "lag", "is negative")
	return f.Err()
}

type engineState struct {
	die    int
	pause  bool
	silent bool
	slow   float64
}

// Set changes the fault switches.
func (e *Engine) Set(s EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	assign(&e.faults.die, s.Die)
	assign(&e.faults.silent, s.Silent)
	assign(&e.faults.slow, s.Slow)
	assign(&e.cfg.Fenced, s.Fenced)
	assign(&e.cfg.Lag, s.Lag)
	if s.Pause == nil || *s.Pause == e.faults.pause {
		return
	}
	e.faults.pause = *s.Pause
	if e.faults.pause {
		e.resumed = make(chan struct{})
	} else {
		close(e.resumed)
	}
}

// guard keeps a request without answer while the engine is silent.
func (e *Engine) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.silent() {
			// The server notices that the caller has gone only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			abort()
		}
		next(w, r)
	}
}

func (e *Engine) silent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.silent
}
