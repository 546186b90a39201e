package chooser

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylane/internal/wirepb"
)

const (
	// Load per slot at which a target counts as full.
	fullLoad = 2.0
	// Length of the prompt that [PrefixHash] hashes.
	prefixBytes = 1024
	// Share of a target's slots that one prefix may occupy.
	prefixSlotShare = 0.08
	// Requests assumed for a prefix shortly after the start of the router.
	assumedDemand      = 0.5
	maxTrackedPrefixes = 4096
	// Decay time of the demand. Over one minute, most of 320 routers see no request
	// with a given prefix.
	demandDecayTime = 5 * time.Minute
	// Default of [WithRegionLatency].
	regionLatency = 20 * time.Millisecond
	// Slots assumed for a target that has not reported yet.
	defaultSlots = 8
	// Older reports are ignored, as the load may have changed completely.
	maxReportLag = 10 * time.Second
	// Weight of one report in the mean load.
	meanLoadWeight = 0.02
	// Prefill time of a prefix that is not cached.
	missCost = 700 * time.Millisecond
	// Variance of the load from later arrivals, as a share of the usual load.
	arrivalVariance = 0.5
	maxCachedLists  = 64
	defaultLength   = 5 * time.Second
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

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Prefix   uint64        // see [PrefixHash]
	Deadline time.Time     // zero: none
	Length   time.Duration // expected run time, 0: [defaultLength]
	Exclude  []string      // targets tried before or with an open circuit breaker
}

func (r Request) lengthOrDefault() time.Duration {
	if r.Length > 0 {
		return r.Length
	}
	return defaultLength
}

// Load is a load report of a target.
type Load struct {
	Running  int
	Waiting  int
	Slots    int
	Slowness float64   // present time of work relative to the usual, as reported; 0: not reported
	At       time.Time // when the target measured it
}

// LoadFromMessage converts the load report in a message of a side that was received
// at the given time.
func LoadFromMessage(now time.Time, m *wirepb.Load) Load {
	return Load{
		Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()), Slots: int(m.GetSlots()),
		At: now.Add(-time.Duration(m.GetAge()) * time.Millisecond),
	}
}

// Scope is the distance of a choice from the router.
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
	ReasonBound    = "bound"    // another target is expected to respond sooner
	ReasonDeadline = "deadline" // no target of the router's region can meet the deadline
	ReasonCapacity = "capacity" // the router's region has no candidate or only full ones
	ReasonPolicy   = "policy"   // rule of a baseline policy
)

// Choice is a selected target.
type Choice struct {
	Name         string
	Index        int // position in the list of candidates
	Scope        Scope
	Reason       string
	Wait         time.Duration // estimated time until the request starts
	AddedLatency time.Duration // estimated round-trip latency to another region
}

// Policy selects targets and tracks their load.
type Policy interface {
	Choose(now time.Time, r Request, list *List) (Choice, bool)
	RecordSent(now time.Time, name string)
	RecordDone(now time.Time, name string, sent time.Time)
	RecordLoad(name string, l Load)
	Forget(name string)
}

// PrefixHash returns the hash of a prompt prefix, as input for [Request]. It includes
// the model and the adapter, because their prefix caches are not shared.
func PrefixHash(model, adapter string, prompt []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(adapter)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(prompt[:min(len(prompt), prefixBytes)])
	return d.Sum64()
}

// List is an immutable list of candidates. Policies cache data by list, so callers
// should pass the same list until the candidates change.
type List struct {
	candidates []Candidate
}

// NewList returns a list of the given candidates.
func NewList(candidates []Candidate) *List { return &List{slices.Clone(candidates)} }

// Loads estimates the load of targets from load reports and the router's own
// requests. It does not count a request in flight twice if the last report
// includes it.
type Loads struct {
	targets map[string]*target
	lists   map[*List][]*target
	exclude []*target // reused between choices
}

type target struct {
	name         string
	hash         uint64
	report       Load
	inFlight     []time.Time // send times of own requests in flight
	recentlyDone []completed // own requests that a lagging report may still include
}

type completed struct{ sent, done time.Time }

// NewLoads returns an empty table.
func NewLoads() *Loads {
	return &Loads{targets: make(map[string]*target), lists: make(map[*List][]*target)}
}

// Affinity is a policy that prefers targets with a cached prompt prefix.
type Affinity struct {
	*Loads
	place       Place
	source      *rand.Rand
	peers       int           // routers in the data centre, including this one
	latency     time.Duration // one way between regions
	demand      map[uint64]demand
	firstChoice time.Time // time of the first choice
	meanLoad    float64   // moving mean of the load per slot in all reports
	reportCount int
	views       map[*List]*view
}

// view holds the candidates of a list, grouped by distance from the router.
type view struct{ near, region, others group }

// group holds the candidates at one distance. The name hashes are in a slice of
// their own, because every choice reads all of them.
type group struct {
	scope   Scope
	hashes  []uint64
	targets []*target
	indices []int // positions in the list
}

// demand is the exponentially decaying count of this router's requests with a
// prefix.
type demand struct {
	count   float64
	updated time.Time
}

// Option changes a setting of [Affinity].
type Option func(*Affinity)

// WithRegionLatency sets the one-way latency between regions.
func WithRegionLatency(d time.Duration) Option { return func(a *Affinity) { a.latency = d } }

// WithPeers sets the number of routers that share the candidates, this one
// included. With several data centres, only the routers in the same data centre
// count. Each router sees only its share of the demand for a prefix and multiplies
// it by this number.
func WithPeers(n int) Option { return func(a *Affinity) { a.SetPeers(n) } }

// NewAffinity returns the policy for a router at the given place. The random source
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

// RoundRobin is a baseline policy that takes the candidates in turn.
type RoundRobin struct {
	*Loads
	next int
}

// NewRoundRobin returns a policy that starts at the given candidate. Routers that
// start together should use different ones, so that they do not all take the same
// target.
func NewRoundRobin(first int) *RoundRobin { return &RoundRobin{Loads: NewLoads(), next: first} }

// LeastLoaded is a baseline policy that takes the candidate with the least reported
// load.
type LeastLoaded struct {
	*Loads
	source *rand.Rand
	ties   []int // candidates with equal load, reused between choices
}

// NewLeastLoaded returns a policy that breaks ties by the random source.
func NewLeastLoaded(source *rand.Rand) *LeastLoaded {
	return &LeastLoaded{Loads: NewLoads(), source: source}
}

// PowerOfTwo is a baseline policy that takes the less loaded of two random candidates.
type PowerOfTwo struct {
	*Loads
	source *rand.Rand
}

func NewPowerOfTwo(source *rand.Rand) *PowerOfTwo {
	return &PowerOfTwo{Loads: NewLoads(), source: source}
}
