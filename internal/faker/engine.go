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
	Models          []string        // served models, or all if empty
	Slots           int             // number of concurrent requests
	CacheBlocks     int             // size of the prefix cache, in blocks of [blockTokens]
	TokenInterval   loader.Duration // time between generated tokens
	PrefillPerToken loader.Duration // time per uncached prompt token
	LoadLag         loader.Duration // age up to which a load report is reused
	Fenced          bool            // reject orders with an outdated fencing number
}

// Engine is a stand-in for a model engine with an OpenAI-compatible interface.
// A run continues after its caller disconnects until it ends or is cancelled.
type Engine struct {
	mux *http.ServeMux

	mu            sync.Mutex
	cfg           EngineConfig
	faults        engineFaultState
	resumed       chan struct{} // closed unless the engine is paused
	queue         slotQueue
	cache         prefixCache
	runs          []*run
	byID          map[string]*run // latest run of each request id
	orders        []Order
	highestNumber uint64 // highest fencing number of an accepted order
	cachedLoad    LoadReport
	cachedLoadAt  time.Time
}

// LoadReport is the load report of an engine.
type LoadReport struct {
	Running      int `json:"running"`
	Waiting      int `json:"waiting"`
	Slots        int `json:"slots"`
	CachedBlocks int `json:"cache"` // blocks in the prefix cache
}

// NewEngine returns an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.CacheBlocks == 0 {
		cfg.CacheBlocks = defaultBlocks
	}
	e := &Engine{
		mux:     http.NewServeMux(),
		cfg:     cfg,
		faults:  engineFaultState{slowdown: 1},
		resumed: make(chan struct{}),
		queue:   slotQueue{free: cfg.Slots},
		cache:   newPrefixCache(cfg.CacheBlocks),
		byID:    make(map[string]*run),
	}
	close(e.resumed)
	e.mux.HandleFunc("POST /v1/chat/completions", e.withSilence(e.completeChat))
	e.mux.HandleFunc("GET /v1/streams/{id}", e.withSilence(e.resumeStream))
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.withSilence(e.cancelStream))
	e.mux.HandleFunc("GET /v1/models", e.withSilence(e.listModels))
	e.mux.HandleFunc("POST /tokenize", e.withSilence(handleLenient(e.tokenize)))
	e.mux.HandleFunc("GET /load", e.withSilence(e.reportLoad))
	e.mux.HandleFunc("POST /orders", e.withSilence(handleStrict(e.applyOrder)))
	e.mux.HandleFunc("GET /orders", e.listOrders)
	e.mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Runs()) })
	e.mux.HandleFunc("POST /faults", handleStrict(func(w http.ResponseWriter, f EngineFaults) {
		e.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}))
	return e
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Runs returns all runs in the order of their start.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Run, len(e.runs))
	for i, r := range e.runs {
		list[i] = r.record()
	}
	return list
}

func (e *Engine) completeChat(w http.ResponseWriter, r *http.Request) {
	handleLenient(func(w http.ResponseWriter, c ChatRequest) {
		if !e.servesModel(c.Model) {
			writeError(w, http.StatusNotFound, "model "+strconv.Quote(c.Model)+" is not served")
			return
		}
		run := e.startRun(r.Header.Get("X-Request-Id"), c)
		w.Header().Set("X-Request-Id", run.id)
		if c.Stream {
			run.streamTo(r.Context(), w, 0)
			return
		}
		run.writeCompletion(r.Context(), w)
	})(w, r)
}

func (e *Engine) resumeStream(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		writeError(w, http.StatusBadRequest, "offset: want a number of bytes")
		return
	}
	run := e.findRun(r.PathValue("id"))
	if run == nil {
		writeError(w, http.StatusNotFound, "stream is unknown")
		return
	}
	run.streamTo(r.Context(), w, offset)
}

func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	run := e.findRun(r.PathValue("id"))
	if run == nil {
		writeError(w, http.StatusNotFound, "stream is unknown")
		return
	}
	run.cancelRun()
	<-run.ended
	writeJSON(w, http.StatusOK, run.record())
}

func (e *Engine) findRun(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

func (e *Engine) servesModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.cfg.Models) == 0 || slices.Contains(e.cfg.Models, model)
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
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
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

func (e *Engine) tokenize(w http.ResponseWriter, c ChatRequest) {
	writeJSON(w, http.StatusOK, map[string]int{"count": c.promptTokens()})
}

// reportLoad returns a load report that may be as old as the configured lag.
func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.cachedLoadAt) >= e.cfg.LoadLag.Std() {
		e.cachedLoadAt = time.Now()
		e.cachedLoad = LoadReport{
			Running: e.cfg.Slots - e.queue.free, Waiting: len(e.queue.waiting),
			Slots: e.cfg.Slots, CachedBlocks: e.cache.size(),
		}
	}
	writeJSON(w, http.StatusOK, e.cachedLoad)
}

// EngineFaults are the fault switches of an engine. A nil field leaves the current
// value unchanged.
type EngineFaults struct {
	FailRuns *int             `json:"die,omitempty"`    // the next n runs end and close their connection halfway
	Pause    *bool            `json:"pause,omitempty"`  // no run makes progress
	Silent   *bool            `json:"silent,omitempty"` // no responses, and open streams send nothing more
	Slowdown *float64         `json:"slow,omitempty"`   // factor applied to all run times
	Fenced   *bool            `json:"fenced,omitempty"` // reject orders with an outdated fencing number
	LoadLag  *loader.Duration `json:"lag,omitempty"`    // age up to which a load report is reused
}

// Check validates the fault switches.
func (s EngineFaults) Check() error {
	var f checker.Validator
	f.Require(s.FailRuns == nil || *s.FailRuns >= 0, "die", "is negative")
	f.Require(s.Slowdown == nil || *s.Slowdown > 0, "slow", "is not positive")
	f.Require(s.LoadLag == nil || *s.LoadLag >= 0, "lag", "is negative")
	return f.Err()
}

type engineFaultState struct {
	failRuns int
	pause    bool
	silent   bool
	slowdown float64
}

// SetFaults updates the fault switches.
func (e *Engine) SetFaults(s EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	setIfPresent(&e.faults.failRuns, s.FailRuns)
	setIfPresent(&e.faults.silent, s.Silent)
	setIfPresent(&e.faults.slowdown, s.Slowdown)
	setIfPresent(&e.cfg.Fenced, s.Fenced)
	setIfPresent(&e.cfg.LoadLag, s.LoadLag)
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

// withSilence wraps a handler so that requests get no response while the engine is
// silent.
func (e *Engine) withSilence(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.isSilent() {
			// net/http detects that the caller disconnected only after the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			abortConnection()
		}
		next(w, r)
	}
}

func (e *Engine) isSilent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.silent
}
