package storer

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"

	"daisylane/internal/checker"
)

// MaxBodyBytes is the platform's limit for the body of an object.
const MaxBodyBytes = 1 << 20

// Item is an object of the platform. Version 0 means that the key is absent.
type Item struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Body    []byte `json:"body,omitempty"`
}

// Check validates the item.
func (i Item) Check() error {
	var f checker.Validator
	f.Require(i.Key != "", "key", "is empty")
	f.Require(len(i.Body) <= MaxBodyBytes, "body", "has %d bytes, allowed are %d", len(i.Body), MaxBodyBytes)
	return f.Err()
}

// Page is the response to a list or watch call.
type Page struct {
	Revision uint64 `json:"revision"`
	Items    []Item `json:"items"`
}

// Check validates the items and their versions.
func (p Page) Check() error {
	var f checker.Validator
	for n, i := range p.Items {
		f.AddNested("items."+strconv.Itoa(n), i.Check())
		f.Require(i.Version <= p.Revision, "items."+strconv.Itoa(n)+".version", "is %d, allowed is at most the revision %d", i.Version, p.Revision)
	}
	return f.Err()
}

// State is the state of an instance in the platform's list.
type State string

// Values of [State].
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is an entry of the platform's instance list.
type Instance struct {
	Name   string `json:"name"`
	Role   string `json:"role"`
	Centre string `json:"centre"`
	Region string `json:"region"`
	Addr   string `json:"addr"`
	State  State  `json:"state"`
}

// Check validates the instance.
func (i Instance) Check() error {
	var f checker.Validator
	f.Require(i.Name != "", "name", "is empty")
	f.Require(i.Role != "", "role", "is empty")
	f.Require(i.Centre != "", "centre", "is empty")
	f.Require(i.Region != "", "region", "is empty")
	_, _, err := net.SplitHostPort(i.Addr)
	f.Require(err == nil, "addr", "is %q, want host:port", i.Addr)
	f.Require(i.State == StateLive || i.State == StateLeaving, "state", "is %q, allowed is %q or %q", i.State, StateLive, StateLeaving)
	return f.Err()
}

// decode decodes and validates a response. It accepts unknown fields, so that the
// platform can extend its format.
func decode[T checker.Checker](data []byte) (T, error) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("%w: decode %T: %w", ErrInvalid, v, err)
	}
	if err := v.Check(); err != nil {
		return v, fmt.Errorf("%w: check %T: %w", ErrInvalid, v, err)
	}
	return v, nil
}

type instances []Instance

// Check validates the instances.
func (l instances) Check() error {
	var f checker.Validator
	for n, i := range l {
		f.AddNested(strconv.Itoa(n), i.Check())
	}
	return f.Err()
}

func parseETag(tag string) (uint64, error) {
	text, ok := strings.CutPrefix(tag, `"`)
	text, end := strings.CutSuffix(text, `"`)
	v, err := strconv.ParseUint(text, 10, 64)
	if !ok || !end || err != nil || v == 0 {
		return 0, fmt.Errorf("%w: ETag is %q, want a quoted version", ErrInvalid, tag)
	}
	return v, nil
}

func formatETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }
