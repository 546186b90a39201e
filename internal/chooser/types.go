package chooser

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylane/internal/wirepb"
)

const (
	fullQueue      = 2.0 // load per slot at which a target counts as full
	prefixBytes    = 1024
	prefixShare    = 0.08 // of a target's slots that one prefix may occupy
	unseenDemand   = 0.5  // requests assumed for a prefix while the router is young
	maxPrefixes    = 4096
	demandTime     = 5 * time.Minute // decay of the demand; over a minute most of 320 routers see nothing of a prefix
	regionLatency  = 20 * time.Millisecond
	expectedSlots  = 8                      // of a target that has not reported yet
	maxReportLag   = 10 * time.Second       // older reports say nothing about the load
	reportWeight   = 0.02                   // of one report in the mean load
	missCost       = 700 * time.Millisecond // of computing a prefix that is not cached
	laterShare     = 0.5                    // of the usual load, variance of what arrives later
	maxLists       = 64
	expectedLength = 5 * time.Second
)

// Place is the location of a router or target.
type Place struct {
	Centre string
	Region string
}

// Candidate is a target that may receive the request.
type Candidate struct {
	Name string
	Place
}

// Request is what the choice depends on.
type Request struct {
	Prefix   uint64        // see [Prefix]
	Deadline time.Time     // zero: none
	Length   time.Duration // expected run time, 0: [expectedLength]
	Exclude  []string      // tried before or with an open circuit breaker
}

func (r Request) length() time.Duration {
	if r.Length > 0 {
		return r.Length
	}
	return expectedLength
}

// Load is a load report of a target.
type Load struct {
	Running int
	Waiting int
	Slots   int
	At      time.Time // when the target measured it
}

// LoadOf returns the load report of a side's message received now.
func LoadOf(now time.Time, m *wirepb.Load) Load {
	return Load{
		Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()), Slots: int(m.GetSlots()),
		At: now.Add(-time.Duration(m.GetAge()) * time.Millisecond),
	}
}

// Scope says how far a choice is from the router.
type Scope string

// Scopes, nearest first.
const (
	SameCentre  Scope = "centre"
	SameRegion  Scope = "region"
	OtherRegion Scope = "other"
)

// Reasons of a choice.
const (
	ReasonPrefix   = "prefix"   // one of the targets that the prefix is spread over
	ReasonBound    = "bound"    // another target is expected to answer sooner
	ReasonDeadline = "deadline" // the own region cannot meet the deadline
	ReasonCapacity = "capacity" // the own region has no candidate or only full ones
	ReasonPolicy   = "policy"   // a baseline's rule
)

// Choice is a selected target.
type Choice struct {
	Name   string
	Index  int // in the list of candidates
	Scope  Scope
	Reason string
	Wait   time.Duration // estimated time until the request starts
	Added  time.Duration // estimated latency added by the distance, both ways
}

// Policy selects targets and keeps track of their load.
type Policy interface {
	Choose(now time.Time, r Request, list *List) (Choice, bool)
	Sent(now time.Time, name string)
	Done(now time.Time, name string, sent time.Time)
	Reported(name string, l Load)
	Forget(name string)
}

// Prefix returns the hash of the prompt prefix that selects the target. The
// model and adapter are part of it, because their caches are not shared.
func Prefix(model, adapter string, prompt []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(adapter)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(prompt[:min(len(prompt), prefixBytes)])
	return d.Sum64()
}

// List is an immutable list of candidates. Policies keep what they derive from
// a list, so the same list should be passed until the candidates change.
type List struct {
	candidates []Candidate
}

// NewList returns a list of the given candidates.
func NewList(candidates []Candidate) *List { return &List{slices.Clone(candidates)} }

// Loads combines load reports with the router's own requests. A request in
// flight that the last report already counts is not counted twice.
type Loads struct {
	targets map[string]*target
	lists   map[*List][]*target
	exclude []*target // reused between choices
}

type target struct {
	name   string
	hash   uint64
	report Load
	sent   []time.Time // own requests in flight, by send time
	ended  []span      // own requests that ended lately, a lagging report may still count them
}

type span struct{ sent, done time.Time }

// NewLoads returns an empty table.
func NewLoads() *Loads {
	return &Loads{targets: make(map[string]*target), lists: make(map[*List][]*target)}
}

// Affinity is the policy of the product.
type Affinity struct {
	*Loads
	place   Place
	source  *rand.Rand
	peers   int           // routers of the data centre, this one included
	latency time.Duration // one way between regions
	demand  map[uint64]demand
	began   time.Time // first choice
	mean    float64   // load per slot in recent reports
	reports int
	views   map[*List]*view
}

// view is a list as seen from the place of a router.
type view struct{ near, region, others group }

// group is a part of a list, with the hashes of the names side by side, because
// every choice reads them all.
type group struct {
	scope   Scope
	hashes  []uint64
	targets []*target
	index   []int // in the list
}

// demand is the router's own recent use of a prefix, decaying exponentially.
type demand struct {
	count float64
	at    time.Time
}

// Option changes a setting of [Affinity].
type Option func(*Affinity)

// WithRegionLatency sets the one-way latency between regions.
func WithRegionLatency(d time.Duration) Option { return func(a *Affinity) { a.latency = d } }

// WithPeers sets the number of routers that share the candidates, this one
// included. With several data centres these are the routers of the own one. Each router sees its own share of a prefix's demand and scales it by
// this number.
func WithPeers(n int) Option { return func(a *Affinity) { a.SetPeers(n) } }

// NewAffinity returns the policy for a router at the given place. The source
// spreads a prefix in high demand over several targets.
func NewAffinity(place Place, source *rand.Rand, opts ...Option) *Affinity {
	a := &Affinity{
		Loads: NewLoads(), place: place, source: source, peers: 1,
		latency: regionLatency, demand: make(map[uint64]demand), views: make(map[*List]*view),
	}
	for _, o := range opts {
		o(a)
	}
	return a
}

// RoundRobin is a baseline that takes the candidates in turn.
type RoundRobin struct {
	*Loads
	next int
}

// NewRoundRobin returns the baseline. It begins at the given candidate, so that
// routers started together do not all take the same one.
func NewRoundRobin(first int) *RoundRobin { return &RoundRobin{Loads: NewLoads(), next: first} }

// LeastLoaded is a baseline that takes the least reported load.
type LeastLoaded struct {
	*Loads
	source *rand.Rand
	best   []int // reused between choices
}

// NewLeastLoaded returns the baseline. Ties are broken by source.
func NewLeastLoaded(source *rand.Rand) *LeastLoaded {
	return &LeastLoaded{Loads: NewLoads(), source: source}
}

// PowerOfTwo is a baseline that takes the less loaded of two random candidates.
type PowerOfTwo struct {
	*Loads
	source *rand.Rand
}

// NewPowerOfTwo returns the baseline.
func NewPowerOfTwo(source *rand.Rand) *PowerOfTwo {
	return &PowerOfTwo{Loads: NewLoads(), source: source}
}
