package faker

import (
	"net/http"
	"slices"

	"daisylane/internal/checker"
)

// Order tells an engine to load or unload something or to change its role.
type Order struct {
	Number  uint64 `json:"number"` // fencing number
	Kind    string `json:"kind"`   // load, unload or role
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Check validates the order.
func (o Order) Check() error {
	var f checker.Faults
	f.Require(slices.Contains([]string{"load", "unload", "role"}, o.Kind), "kind", "is %q, allowed is load, unload or role", o.Kind)
	f.Require(o.Kind == "role" || o.Model != "", "model", "is empty")
	f.Require(o.Kind != "role" || o.Role != "", "role", "is empty")
	return f.Err()
}

// name returns under which name requests ask for what is loaded.
func (o Order) name() string {
	if o.Adapter != "" {
		return o.Adapter
	}
	return o.Model
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
	case o.Kind == "load" && !slices.Contains(e.cfg.Models, o.name()):
		e.cfg.Models = append(e.cfg.Models, o.name())
	case o.Kind == "unload":
		e.cfg.Models = slices.DeleteFunc(e.cfg.Models, func(m string) bool { return m == o.name() })
	}
	reply(w, http.StatusOK, map[string]uint64{"number": e.fence})
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, append([]Order{}, e.orders...))
}
