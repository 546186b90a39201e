package faker

import (
	"net/http"
	"slices"

	"daisylane/internal/checker"
)

// Order tells an engine to load or unload a model or an adapter, or to change its role.
type Order struct {
	FencingNumber uint64 `json:"number"`
	Kind          string `json:"kind"` // load, unload or role
	Model         string `json:"model,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	Version       string `json:"version,omitempty"`
	Role          string `json:"role,omitempty"`
}

// Check validates the order.
func (o Order) Check() error {
	var f checker.Validator
	f.Require(slices.Contains([]string{"load", "unload", "role"}, o.Kind), "kind", "is %q, allowed is load, unload or role", o.Kind)
	f.Require(o.Kind == "role" || o.Model != "", "model", "is empty")
	f.Require(o.Kind != "role" || o.Role != "", "role", "is empty")
	return f.Err()
}

// modelName returns the name by which requests select the model or the adapter.
func (o Order) modelName() string {
	if o.Adapter != "" {
		return o.Adapter
	}
	return o.Model
}

// applyOrder applies an order. An engine that is not fenced ignores the fencing number.
func (e *Engine) applyOrder(w http.ResponseWriter, o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fenced && o.FencingNumber < e.highestNumber {
		writeJSON(w, http.StatusConflict, map[string]uint64{"number": e.highestNumber})
		return
	}
	e.highestNumber = max(e.highestNumber, o.FencingNumber)
	e.orders = append(e.orders, o)
	switch {
	case o.Kind == "load" && !slices.Contains(e.cfg.Models, o.modelName()):
		e.cfg.Models = append(e.cfg.Models, o.modelName())
	case o.Kind == "unload":
		e.cfg.Models = slices.DeleteFunc(e.cfg.Models, func(m string) bool { return m == o.modelName() })
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"number": e.highestNumber})
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, append([]Order{}, e.orders...))
}
