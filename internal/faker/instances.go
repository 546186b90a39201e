package faker

import (
	"net/http"
	"slices"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/storer"
)

// Actions of a [Change].
const (
	ActionAdd    = "add"
	ActionLeave  = "leave"
	ActionRemove = "remove"
)

// Change is an administrator's change of the instance list.
type Change struct {
	Action   string           `json:"action"`
	Name     string           `json:"name,omitempty"`     // of the instance that leaves or is removed
	Instance *storer.Instance `json:"instance,omitempty"` // to add or replace
}

// Check validates the change.
func (c Change) Check() error {
	var f checker.Faults
	switch c.Action {
	case ActionAdd:
		f.Require(c.Instance != nil, "instance", "is missing")
		if c.Instance != nil {
			f.Within("instance", c.Instance.Check())
		}
	case ActionLeave, ActionRemove:
		f.Require(c.Name != "", "name", "is empty")
	default:
		f.Add("action", "is %q, allowed is add, leave or remove", c.Action)
	}
	return f.Err()
}

// snapshot is the instance list from a time on.
type snapshot struct {
	at   time.Time
	list []storer.Instance
}

// Apply changes the instance list. It reports whether the named instance is listed.
func (p *Platform) Apply(c Change) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []storer.Instance
	if n := len(p.snapshots); n > 0 {
		list = slices.Clone(p.snapshots[n-1].list)
	}
	name := c.Name
	if c.Instance != nil {
		name = c.Instance.Name
	}
	i := slices.IndexFunc(list, func(in storer.Instance) bool { return in.Name == name })
	switch {
	case c.Action == ActionAdd && i < 0:
		list = append(list, *c.Instance)
	case i < 0:
		return false
	case c.Action == ActionAdd:
		list[i] = *c.Instance
	case c.Action == ActionLeave:
		list[i].State = storer.Leaving
	case c.Action == ActionRemove:
		list = slices.Delete(list, i, i+1)
	}
	p.snapshots = append(p.snapshots, snapshot{time.Now(), list})
	return true
}

func (p *Platform) change(w http.ResponseWriter, c Change) {
	if !p.Apply(c) {
		fail(w, http.StatusNotFound, "instance is not listed")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) instances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	until := time.Now().Add(-p.faults.lag.Std())
	list := []storer.Instance{}
	for _, s := range p.snapshots {
		if !s.at.After(until) {
			list = s.list
		}
	}
	p.mu.Unlock()
	reply(w, http.StatusOK, list)
}
