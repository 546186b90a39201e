package faker

import (
	"net/http"
	"slices"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/storer"
)

// Actions of an [InstanceChange].
const (
	ActionAdd    = "add"
	ActionLeave  = "leave"
	ActionRemove = "remove"
)

// InstanceChange is a change of the instance list by an administrator.
type InstanceChange struct {
	Action   string           `json:"action"`
	Name     string           `json:"name,omitempty"`     // instance to mark as leaving or to remove
	Instance *storer.Instance `json:"instance,omitempty"` // instance to add or replace
}

// Check validates the change.
func (c InstanceChange) Check() error {
	var f checker.Validator
	switch c.Action {
	case ActionAdd:
		f.Require(c.Instance != nil, "instance", "is missing")
		if c.Instance != nil {
			f.AddNested("instance", c.Instance.Check())
		}
	case ActionLeave, ActionRemove:
		f.Require(c.Name != "", "name", "is empty")
	default:
		f.Add("action", "is %q, allowed is add, leave or remove", c.Action)
	}
	return f.Err()
}

// instanceSnapshot is the instance list as of a time.
type instanceSnapshot struct {
	at   time.Time
	list []storer.Instance
}

// ApplyChange changes the instance list. It reports false if the instance to mark or
// remove is not listed.
func (p *Platform) ApplyChange(c InstanceChange) bool {
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
		list[i].State = storer.StateLeaving
	case c.Action == ActionRemove:
		list = slices.Delete(list, i, i+1)
	}
	p.snapshots = append(p.snapshots, instanceSnapshot{time.Now(), list})
	return true
}

func (p *Platform) changeInstances(w http.ResponseWriter, c InstanceChange) {
	if !p.ApplyChange(c) {
		writeError(w, http.StatusNotFound, "instance is not listed")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) listInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	latest := time.Now().Add(-p.faults.instanceLag.Std())
	list := []storer.Instance{}
	for _, s := range p.snapshots {
		if !s.at.After(latest) {
			list = s.list
		}
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}
