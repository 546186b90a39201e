package faker

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/time/rate"

	"daisylane/internal/storer"
)

// Platform is a stand-in for the object API and the instance list.
type Platform struct {
	mux *http.ServeMux

	mu        sync.Mutex
	revision  uint64
	objects   map[string]record
	waiting   map[*waiting]bool
	snapshots []snapshot
	calls     Calls
	faults    platformState
	limit     *rate.Limiter
}

// record is an object. A deleted one stays as a tombstone for watches.
type record struct {
	version uint64
	body    []byte
	deleted bool
}

// Calls counts the calls by kind. Each watch is one call.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Pending uint64 `json:"pending"` // watches waiting now
	Refused uint64 `json:"refused"` // of all calls, those refused by a fault switch
}

// NewPlatform returns a platform without objects and instances.
func NewPlatform() *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		objects: make(map[string]record),
		waiting: make(map[*waiting]bool),
		limit:   rate.NewLimiter(rate.Inf, 0),
	}
	p.mux.HandleFunc("GET /objects/{key...}", p.guard(&p.calls.Reads, p.get))
	p.mux.HandleFunc("PUT /objects/{key...}", p.guard(&p.calls.Writes, p.put))
	p.mux.HandleFunc("DELETE /objects/{key...}", p.guard(&p.calls.Writes, p.remove))
	p.mux.HandleFunc("GET /objects", p.guard(&p.calls.Reads, p.list))
	p.mux.HandleFunc("GET /watch", p.guard(&p.calls.Watches, p.watch))
	p.mux.HandleFunc("GET /instances", p.guard(&p.calls.Reads, p.instances))
	p.mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, p.Calls()) })
	p.mux.HandleFunc("POST /faults", accept(func(w http.ResponseWriter, f PlatformFaults) {
		p.Set(f)
		w.WriteHeader(http.StatusNoContent)
	}))
	p.mux.HandleFunc("POST /instances", accept(p.change))
	return p
}

func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Calls returns the counts since the start.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	rec, ok := p.objects[r.PathValue("key")]
	p.mu.Unlock()
	if !ok || rec.deleted {
		fail(w, http.StatusNotFound, "object is absent")
		return
	}
	w.Header().Set("ETag", tag(rec.version))
	_, _ = w.Write(rec.body)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, storer.MaxBodyBytes+1))
	switch {
	case err != nil:
		fail(w, http.StatusBadRequest, err.Error())
		return
	case len(body) > storer.MaxBodyBytes:
		fail(w, http.StatusRequestEntityTooLarge, "object is over 1 MB")
		return
	}
	p.update(w, r, record{body: body})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.update(w, r, record{deleted: true})
}

func (p *Platform) update(w http.ResponseWriter, r *http.Request, next record) {
	key := r.PathValue("key")
	create := r.Header.Get("If-None-Match") == "*"
	match := r.Header.Get("If-Match")
	if create == (match != "") {
		fail(w, http.StatusBadRequest, "want either If-Match or If-None-Match")
		return
	}
	p.mu.Lock()
	old, exists := p.objects[key]
	exists = exists && !old.deleted
	if create && exists || !create && (!exists || match != tag(old.version)) {
		p.mu.Unlock()
		conflict(w, old, exists)
		return
	}
	p.revision++
	next.version = p.revision
	p.objects[key] = next
	p.notify(key)
	lost := p.faults.lose > 0
	if lost {
		p.faults.lose--
	}
	p.mu.Unlock()
	if lost {
		abort()
	}
	w.Header().Set("ETag", tag(next.version))
	w.WriteHeader(http.StatusOK)
}

func conflict(w http.ResponseWriter, current record, exists bool) {
	if exists {
		w.Header().Set("ETag", tag(current.version))
	}
	w.WriteHeader(http.StatusPreconditionFailed)
	if exists {
		_, _ = w.Write(current.body)
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	page := p.page(r.URL.Query().Get("prefix"), 0)
	p.mu.Unlock()
	reply(w, http.StatusOK, page)
}

// page returns the changes after a revision. The caller holds the lock.
func (p *Platform) page(prefix string, after uint64) storer.Page {
	page := storer.Page{Revision: p.revision, Items: []storer.Item{}}
	for key, rec := range p.objects {
		if !strings.HasPrefix(key, prefix) || rec.version <= after {
			continue
		}
		switch {
		case !rec.deleted:
			page.Items = append(page.Items, storer.Item{Key: key, Version: rec.version, Body: rec.body})
		case after > 0:
			page.Items = append(page.Items, storer.Item{Key: key})
		}
	}
	slices.SortFunc(page.Items, func(a, b storer.Item) int { return cmp.Compare(a.Key, b.Key) })
	return page
}

func tag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }
