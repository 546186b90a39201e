package faker

import (
	"net/http"
	"slices"

	"daisylane/internal/checker"
)

// Order tells an engine to load or unload something or to change its role.
type Order struct {
	Number uint64 `json:"number"` // fencing number
	Kind   string `json:"kind"`   // load, unload or role
	Name   string `json:"name"`   // of the model, adapter, version or role
}

// Check validates the order.
func (o Order) Check() error {
	var f checker.Faults
	f.Require(slices.Contains([]string{"load", "unload", "role"}, o.Kind), "kind", "is %q, allowed is load, unload or role", o.Kind)
	f.Require(o.Name != "", "name", "is empty")
	return f.Err()
}

// order carries out an order. An engine that is not fenced ignores the number.
func (e *Engine) order(w http.ResponseWriter, o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fenced && o.Number < e.fence {
		reply(w, http.StatusConflict, map[string]uint64{"number": e.fence})
		return
	}
	e.fence = max(e.fence, o.Number)
	e.orders = append(e.orders, o)
	switch {
	case o.Kind == "load" && !slices.Contains(e.cfg.Models, o.Name):
		e.cfg.Models = append(e.cfg.Models, o.Name)
	case o.Kind == "unload":
		e.cfg.Models = slices.DeleteFunc(e.cfg.Models, func(m string) bool { return m == o.Name })
	}
	reply(w, http.StatusOK, map[string]uint64{"number": e.fence})
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, append([]Order{}, e.orders...))
}
