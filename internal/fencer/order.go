package fencer

import (
	"slices"
	"time"

	"daisylane/internal/checker"
)

// Kinds of orders.
const (
	Load   = "load"   // load a model, an adapter of it or a version
	Unload = "unload" // unload it
	Role   = "role"   // change what the engine does, for example prefill or decode
)

// Order tells an engine what to serve.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Check validates the order.
func (o Order) Check() error {
	var f checker.Faults
	f.Require(slices.Contains([]string{Load, Unload, Role}, o.Kind), "kind", "is %q, allowed is %s, %s or %s", o.Kind, Load, Unload, Role)
	f.Require(o.Kind == Role || o.Model != "", "model", "is empty, set what to %s", o.Kind)
	f.Require(o.Kind == Role || o.Role == "", "role", "is only for orders of kind %q", Role)
	f.Require(o.Kind != Role || o.Role != "", "role", "is empty")
	f.Require(o.Kind != Role || o.Model+o.Adapter+o.Version == "", "model", "is not for orders of kind %q", Role)
	return f.Err()
}

// Key returns the key of the platform object that counts the orders to a target.
func Key(target string) string { return "fence/" + target }

// Fence is the platform object that counts the orders to a target. It is
// advanced by conditional update, so that each number is given out once.
type Fence struct {
	Number uint64    `json:"number"` // of the newest order
	ID     string    `json:"id"`     // of the update, to recognise it after a lost response
	Author string    `json:"author,omitempty"`
	Time   time.Time `json:"time"`
	Order  Order     `json:"order"`
}

// Check validates the object.
func (f Fence) Check() error {
	var faults checker.Faults
	faults.Require(f.Number > 0, "number", "is 0")
	faults.Require(f.ID != "", "id", "is empty")
	return faults.Err()
}

// Next returns the object after an update for a new order.
func (f Fence) Next(o Order, id, author string, now time.Time) Fence {
	return Fence{Number: f.Number + 1, ID: id, Author: author, Time: now, Order: o}
}
