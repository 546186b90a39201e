// Package resolver looks up the route, the account and the service of a request in
// one version of the configuration.
//
// # Usage
//
//	table, err := resolver.New(cfg)
//	route, ok := table.Route(host, path)
//	account, ok := table.AccountByKey(key)
//	service, ok := table.Service(route.ServiceAt(source.IntN(route.TotalWeight())))
//
// A [Table] is immutable. Build a new table for each version of the configuration.
package resolver

import (
	"slices"
	"time"

	"daisylane/internal/checker"
)

// Kind says whether the requests of a route may be retried.
type Kind string

// Values of [Kind].
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "nonidempotent"
	// Stream responses are a series of events. Requests may be retried only if the route
	// is resumable.
	Stream Kind = "stream"
)

// WeightedService is the weight of a service among the services of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps requests for a host and path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string // path prefix, begins and ends with a slash
	Kind          Kind
	Shares        []WeightedService
	Timeout       time.Duration // deadline of a request
	LatencyTarget time.Duration // latency objective; for a stream, of the first event
	GapTarget     time.Duration // objective for the time between two events of a stream
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // maximum number of targets that a request is sent to
	Public        bool          // requests need no key
	Resumable     bool          // a stream may resume at another target
	// AllowedRegions lists the regions in which requests may be served, empty: any.
	AllowedRegions []string
}

// Check validates the route.
func (r Route) Check() error {
	var f checker.Validator
	f.Require(r.Host != "", "host", "is empty, set the host of the route")
	f.Require(len(r.Prefix) > 0 && r.Prefix[0] == '/' && r.Prefix[len(r.Prefix)-1] == '/', "prefix",
		"is %q, must begin and end with a slash", r.Prefix)
	f.Require(r.Kind == Idempotent || r.Kind == NonIdempotent || r.Kind == Stream, "kind", "is %q, which is not a known kind", r.Kind)
	f.Require(len(r.Shares) > 0, "shares", "is empty, list at least one service")
	for _, s := range r.Shares {
		f.Require(s.Service != "" && s.Weight >= 0, "shares", "has service %q with weight %d", s.Service, s.Weight)
	}
	f.Require(r.Timeout > 0, "timeout", "is %v, must be above 0", r.Timeout)
	f.Require(r.MaxAttempts >= 1, "attempts", "is %d, must be at least 1", r.MaxAttempts)
	return f.Err()
}

// Retryable reports whether a request that may already have been executed may be
// retried.
func (r Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// TotalWeight returns the sum of all weights.
func (r Route) TotalWeight() int {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	return sum
}

// Uses reports whether requests of the route may go to a service.
func (r Route) Uses(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// ServiceAt returns the service for a number n from 0 to [Route.TotalWeight]-1. Each
// service has as many of these numbers as its weight. It returns "" if all weights are 0.
func (r Route) ServiceAt(n int) string {
	for _, s := range r.Shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return ""
}

// Engine describes the capacity of each model engine of a service.
type Engine struct {
	Slots             int // maximum number of concurrent requests
	KVCapacity        int // tokens that fit: prompts, outputs and cached prefixes
	MaxTokensPerEvent int // maximum number of tokens per event
}

// Service is a set of interchangeable targets.
type Service struct {
	Name           string
	MaxConnections int           // maximum per target, over all instances
	ColdStart      time.Duration // how long a target is cold after its start
	ColdPerSecond  float64       // requests a second that a cold target sustains, 0: no limit
	Engine         *Engine       // nil if the targets are not model engines
}

// Account is a client account.
type Account struct {
	Name          string
	Keys          []string
	Priority      *int  // overrides the route's priority if set
	PrepaidTokens int64 // tokens that the account may use, negative: no limit
	// AllowedRegions lists the regions in which requests may be served, empty: any.
	AllowedRegions []string
}

// Limits are the limits on requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version     int64
	Routes      []Route
	Services    []Service
	Accounts    []Account
	KeyRequired bool // requests need a key unless their route is public
	Limits      Limits
}

// Table is one version of the configuration, indexed for lookups.
type Table struct {
	cfg      Config
	routes   map[string]map[string]*Route // by host and prefix
	services map[string]*Service
	keys     map[string]*Account
	accounts map[string]*Account
}
