package fencer

import (
	"slices"
	"time"

	"daisylane/internal/checker"
)

// Values of [Order.Kind].
const (
	KindLoad   = "load"   // load a model, one of its adapters or a version
	KindUnload = "unload" // unload what KindLoad loaded
	KindRole   = "role"   // change the engine's role, for example to prefill or decode
)

// Order instructs an engine what to serve.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Check validates the order.
func (o Order) Check() error {
	var f checker.Validator
	f.Require(slices.Contains([]string{KindLoad, KindUnload, KindRole}, o.Kind), "kind", "is %q, allowed is %s, %s or %s", o.Kind, KindLoad, KindUnload, KindRole)
	f.Require(o.Kind == KindRole || o.Model != "", "model", "is empty, set what to %s", o.Kind)
	f.Require(o.Kind == KindRole || o.Role == "", "role", "is only for orders of kind %q", KindRole)
	f.Require(o.Kind != KindRole || o.Role != "", "role", "is empty")
	f.Require(o.Kind != KindRole || o.Model+o.Adapter+o.Version == "", "model", "is not for orders of kind %q", KindRole)
	return f.Err()
}

// Key returns the platform key of a target's [Fence].
func Key(target string) string { return "fence/" + target }

// Fence is the platform object that issues the fencing numbers of a target. It is
// updated by conditional writes, so that each number is issued only once.
type Fence struct {
	Number uint64    `json:"number"` // number of the latest order
	ID     string    `json:"id"`     // identifies the update if its response is lost
	Author string    `json:"author,omitempty"`
	Time   time.Time `json:"time"`
	Order  Order     `json:"order"`
}

// Check validates the object.
func (f Fence) Check() error {
	var faults checker.Validator
	faults.Require(f.Number > 0, "number", "is 0")
	faults.Require(f.ID != "", "id", "is empty")
	return faults.Err()
}

// Next returns the fence with the next number, for a new order.
func (f Fence) Next(o Order, id, author string, now time.Time) Fence {
	return Fence{Number: f.Number + 1, ID: id, Author: author, Time: now, Order: o}
}
