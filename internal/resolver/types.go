// Package resolver finds the route, the account and the service of a request in
// one version of the configuration.
//
// # Usage
//
//	table, err := resolver.New(cfg)
//	route, ok := table.Route(host, path)
//	account, ok := table.Account(key)
//	service := table.Service(route.Pick(source.IntN(route.Weight())))
//
// A [Table] is immutable: a new version of the configuration is a new table.
package resolver

import (
	"time"

	"daisylane/internal/checker"
)

// Kind says what may be repeated.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "nonidempotent"
	Stream        Kind = "stream" // a series of events; may be repeated only if the route is resumable
)

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  int
}

// Route says where requests of a host and path go.
type Route struct {
	Name      string
	Host      string
	Prefix    string // of the path, begins and ends with a slash
	Kind      Kind
	Shares    []Share
	Timeout   time.Duration // a request is answered by then
	Target    time.Duration // latency objective, to the first event of a stream
	Gap       time.Duration // longest pause between events that is on time
	Priority  int           // 0 is the most urgent
	Attempts  int           // targets that one request may be sent to
	Public    bool          // needs no key
	Resumable bool          // a stream may go on at another target
}

// Check validates a route.
func (r Route) Check() error {
	var f checker.Faults
	f.Require(r.Host != "", "host", "is empty, name the host of the route")
	f.Require(len(r.Prefix) > 0 && r.Prefix[0] == '/' && r.Prefix[len(r.Prefix)-1] == '/', "prefix",
		"is %q, must begin and end with a slash", r.Prefix)
	f.Require(r.Kind == Idempotent || r.Kind == NonIdempotent || r.Kind == Stream, "kind", "is %q, which is not known", r.Kind)
	f.Require(len(r.Shares) > 0, "shares", "is empty, name a service")
	for _, s := range r.Shares {
		f.Require(s.Service != "" && s.Weight >= 0, "shares", "has service %q with weight %d", s.Service, s.Weight)
	}
	f.Require(r.Timeout > 0, "timeout", "is %v, must be above 0", r.Timeout)
	f.Require(r.Attempts >= 1, "attempts", "is %d, must be at least 1", r.Attempts)
	return f.Err()
}

// Repeatable reports whether a request that may have run may be sent again.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Weight returns the sum of the weights of the shares.
func (r Route) Weight() int {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	return sum
}

// Pick returns the service at point n of the summed weights.
func (r Route) Pick(n int) string {
	for _, s := range r.Shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots    int // requests that run at once
	Memory   int // tokens of prompts, outputs and cached parts
	PerEvent int // most tokens of one event
}

// Service is a set of targets that answer the same requests.
type Service struct {
	Name        string
	Connections int     // that one target accepts from all instances
	Engine      *Engine // nil: a plain service
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int  // takes the place of the route's priority
	Prepaid  int64 // tokens that the account may use; negative: not limited
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Config is the content of one version.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Keyed    bool // requests of routes that are not public need a key
	Limits   Limits
}

// Table is one version prepared for look-ups.
type Table struct {
	cfg      Config
	routes   map[string]map[string]*Route // by host and prefix
	services map[string]*Service
	keys     map[string]*Account
	accounts map[string]*Account
}
