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

	mu          sync.Mutex
	revision    uint64
	objects     map[string]object
	watches     map[*pendingWatch]bool
	snapshots   []instanceSnapshot
	calls       CallCounts
	faults      platformFaultState
	rateLimiter *rate.Limiter
}

// object is a stored object. A deleted object is kept as a tombstone for watches.
type object struct {
	version uint64
	body    []byte
	deleted bool
}

// CallCounts counts the calls by kind. A watch counts once.
type CallCounts struct {
	Reads          uint64 `json:"reads"`
	Writes         uint64 `json:"writes"`
	Watches        uint64 `json:"watches"`
	PendingWatches uint64 `json:"pending"` // watches that are currently open
	Refused        uint64 `json:"refused"` // calls of any kind that a fault switch refused
}

// NewPlatform returns a platform without objects or instances.
func NewPlatform() *Platform {
	p := &Platform{
		mux:         http.NewServeMux(),
		objects:     make(map[string]object),
		watches:     make(map[*pendingWatch]bool),
		rateLimiter: rate.NewLimiter(rate.Inf, 0),
	}
	p.mux.HandleFunc("GET /objects/{key...}", p.withFaults(&p.calls.Reads, p.getObject))
	p.mux.HandleFunc("PUT /objects/{key...}", p.withFaults(&p.calls.Writes, p.putObject))
	p.mux.HandleFunc("DELETE /objects/{key...}", p.withFaults(&p.calls.Writes, p.deleteObject))
	p.mux.HandleFunc("GET /objects", p.withFaults(&p.calls.Reads, p.listObjects))
	p.mux.HandleFunc("GET /watch", p.withFaults(&p.calls.Watches, p.watchObjects))
	p.mux.HandleFunc("GET /instances", p.withFaults(&p.calls.Reads, p.listInstances))
	p.mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Calls()) })
	p.mux.HandleFunc("POST /faults", handleStrict(func(w http.ResponseWriter, f PlatformFaults) {
		p.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}))
	p.mux.HandleFunc("POST /instances", handleStrict(p.changeInstances))
	return p
}

func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Calls returns the call counts since the start.
func (p *Platform) Calls() CallCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	rec, ok := p.objects[r.PathValue("key")]
	p.mu.Unlock()
	if !ok || rec.deleted {
		writeError(w, http.StatusNotFound, "object is absent")
		return
	}
	w.Header().Set("ETag", etag(rec.version))
	_, _ = w.Write(rec.body)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, storer.MaxBodyBytes+1))
	switch {
	case err != nil:
		writeError(w, http.StatusBadRequest, err.Error())
		return
	case len(body) > storer.MaxBodyBytes:
		writeError(w, http.StatusRequestEntityTooLarge, "object is over 1 MB")
		return
	}
	p.conditionalWrite(w, r, object{body: body})
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	p.conditionalWrite(w, r, object{deleted: true})
}

func (p *Platform) conditionalWrite(w http.ResponseWriter, r *http.Request, next object) {
	key := r.PathValue("key")
	create := r.Header.Get("If-None-Match") == "*"
	match := r.Header.Get("If-Match")
	if create == (match != "") {
		writeError(w, http.StatusBadRequest, "want either If-Match or If-None-Match")
		return
	}
	p.mu.Lock()
	old, exists := p.objects[key]
	exists = exists && !old.deleted
	if create && exists || !create && (!exists || match != etag(old.version)) {
		p.mu.Unlock()
		writeConflict(w, old, exists)
		return
	}
	p.revision++
	next.version = p.revision
	p.objects[key] = next
	p.notifyWatches(key)
	lost := p.faults.loseResponses > 0
	if lost {
		p.faults.loseResponses--
	}
	p.mu.Unlock()
	if lost {
		abortConnection()
	}
	w.Header().Set("ETag", etag(next.version))
	w.WriteHeader(http.StatusOK)
}

func writeConflict(w http.ResponseWriter, current object, exists bool) {
	if exists {
		w.Header().Set("ETag", etag(current.version))
	}
	w.WriteHeader(http.StatusPreconditionFailed)
	if exists {
		_, _ = w.Write(current.body)
	}
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	page := p.changesAfter(r.URL.Query().Get("prefix"), 0)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, page)
}

// changesAfter returns the objects that changed after a revision. Deletions are included
// unless the revision is 0. The caller must hold the lock.
func (p *Platform) changesAfter(prefix string, after uint64) storer.Page {
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

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }
