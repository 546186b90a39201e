package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storePath is the path of all objects of the platform's store.
const storePath = "/daisylane/objects/"

// pageSize is the number of objects in a page of a list.
const pageSize = 500

// meta is the metadata of an object.
type meta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deletion_pending"`
}

// object is an object of the store.
type object struct {
	Meta   meta            `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// change is an event of a watch.
type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// state is what a copy of the store holds.
type state struct {
	revision int64
	objects  map[string]map[string]object // by kind and name
	history  []change
}

func (s state) clone() state {
	c := state{revision: s.revision, objects: make(map[string]map[string]object), history: slices.Clone(s.history)}
	for kind, list := range s.objects {
		c.objects[kind] = maps.Clone(list)
	}
	return c
}

// store is the platform's store: objects with conditional writes, lists and watches.
type store struct {
	addr string

	mu      sync.Mutex
	state   state
	era     int64
	away    bool          // no call gets an answer
	changed chan struct{} // closed at each change
}

// startStore starts an empty store.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), era: 1, changed: make(chan struct{}), state: state{revision: 1, objects: make(map[string]map[string]object)}}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setAway makes the store silent, or ends that.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.notify()
}

// isAway reports whether the store is silent.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// copyState returns a copy of the present state.
func (s *store) copyState() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

// restore goes back to a copy. What the operator and the runners wrote since is written
// again. All else is gone, and its revisions are given out again.
func (s *store) restore(c state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.state
	s.state = c.clone()
	s.era++
	for _, kind := range []string{"config", "servers"} {
		for name := range s.state.objects[kind] {
			if _, ok := current.objects[kind][name]; !ok {
				s.remove(kind, name)
			}
		}
		for name, o := range current.objects[kind] {
			s.put(kind, name, o.Spec)
		}
	}
	s.notify()
}

// write writes an object without a condition, as the operator and the runners do.
func (s *store) write(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

func (s *store) put(kind, name string, spec json.RawMessage) object {
	list := s.state.objects[kind]
	if list == nil {
		list = make(map[string]object)
		s.state.objects[kind] = list
	}
	o, ok := list[name]
	if ok && string(o.Spec) == string(spec) {
		return o
	}
	s.state.revision++
	if !ok {
		o.Meta = meta{Name: name, Created: s.state.revision, Finalizers: []string{}}
	}
	o.Meta.Revision, o.Spec = s.state.revision, spec
	list[name] = o
	s.state.history = append(s.state.history, change{kind: kind, Object: o})
	s.notify()
	return o
}

func (s *store) remove(kind, name string) {
	o, ok := s.state.objects[kind][name]
	if !ok {
		return
	}
	delete(s.state.objects[kind], name)
	s.state.revision++
	o.Meta.Revision = s.state.revision
	s.state.history = append(s.state.history, change{kind: kind, Object: o, Deleted: true})
	s.notify()
}

// ServeHTTP implements [http.Handler].
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	path, ok := strings.CutPrefix(r.URL.Path, storePath)
	if err != nil || !ok {
		s.answer(w, r, http.StatusNotFound, nil)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	if s.isAway() {
		<-r.Context().Done()
		return
	}
	time.Sleep(4 * time.Millisecond)
	switch {
	case r.Method != http.MethodGet:
		s.change(w, r, kind, name, body)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case name != "":
		s.mu.Lock()
		o, ok := s.state.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			s.answer(w, r, http.StatusNotFound, nil)
			return
		}
		s.answer(w, r, http.StatusOK, o)
	default:
		s.list(w, r, kind)
	}
}

// answer sends an answer, unless the store has fallen silent meanwhile.
func (s *store) answer(w http.ResponseWriter, r *http.Request, status int, v any) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	page := struct {
		Entries []object `json:"entries"`
		More    bool     `json:"has_more"`
		At      int64    `json:"at"`
	}{Entries: []object{}}
	s.mu.Lock()
	page.At = s.state.revision
	for _, name := range slices.Sorted(maps.Keys(s.state.objects[kind])) {
		if name <= after {
			continue
		}
		if len(page.Entries) == pageSize {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, s.state.objects[kind][name])
	}
	s.mu.Unlock()
	s.answer(w, r, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err1 := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil {
		s.answer(w, r, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		page := struct {
			Events []change `json:"events"`
			At     int64    `json:"at"`
		}{Events: []change{}}
		s.mu.Lock()
		page.At = s.state.revision
		gone := after > s.state.revision || s.era != era
		for _, c := range s.state.history {
			if c.kind == kind && c.Object.Meta.Revision > after {
				page.Events = append(page.Events, c)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		switch {
		case gone:
			s.answer(w, r, http.StatusGone, nil)
			return
		case len(page.Events) > 0:
			s.answer(w, r, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, r, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change makes a conditional write.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var o object
	revision, conditional := int64(0), false
	if v := r.URL.Query().Get("revision"); v != "" {
		revision, _ = strconv.ParseInt(v, 10, 64)
		conditional = true
	}
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(body, &o); err != nil {
			s.answer(w, r, http.StatusBadRequest, nil)
			return
		}
		if o.Meta.Revision > 0 {
			revision, conditional = o.Meta.Revision, true
		}
	}
	if r.Method == http.MethodPost {
		name = o.Meta.Name
	}
	s.mu.Lock()
	old, ok := s.state.objects[kind][name]
	status := http.StatusOK
	switch {
	case s.away:
	case r.Method == http.MethodPost && ok, r.Method != http.MethodPost && ok && conditional && revision != old.Meta.Revision:
		status = http.StatusConflict
	case r.Method != http.MethodPost && !ok:
		status = http.StatusNotFound
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
	default:
		old = s.put(kind, name, o.Spec)
	}
	s.mu.Unlock()
	if status == http.StatusNotFound {
		s.answer(w, r, status, nil)
		return
	}
	s.answer(w, r, status, old)
}
