package adopter

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/checker"
)

// Round is the interval of [Adopter.Tick].
const Round = 2 * time.Second

// RoleEntry is the role of processes that may watch the platform.
const RoleEntry = "entry"

const (
	watchersPerCentre = 2
	fanout            = 4
	startRounds       = 2
	maxTries          = 12
	// A process that reaches no peer reads the platform itself.
	maxMisses    = 2
	maxFails     = 3
	maxNameBytes = 256
	// A watch answers every second at least, so this covers two lost answers.
	blindAfter = 3 * time.Second
	// A delegation is renewed every round and outlives two lost renewals.
	delegationTime = 3 * Round
)

// Config describes the process.
type Config struct {
	Self  Peer
	Trust bundler.Trust
}

// Peer is another process of the fleet.
type Peer struct {
	Name   string
	Role   string
	Centre string
	Addr   string
}

// Notice is the message that processes exchange to compare versions.
type Notice struct {
	From    string `json:"from"`
	Version uint64 `json:"version"`
	// Blind says that the sender should watch the platform and cannot reach it.
	Blind bool `json:"blind,omitempty"`
	// Head is set in an answer if it is newer than the version in the question.
	Head json.RawMessage `json:"head,omitempty"`
}

// Check validates the notice. The head is checked when it is verified.
func (n Notice) Check() error {
	var f checker.Faults
	checker.Range(&f, "from", len(n.From), 1, maxNameBytes)
	return f.Err()
}

// Action is something that the caller has to carry out.
type Action interface{ action() }

// Watch starts or stops the watch of the head object.
type Watch struct{ On bool }

// Read reads the head object once.
type Read struct{}

// Ask sends a notice to a peer and waits for its answer.
type Ask struct {
	Peer   Peer
	Notice Notice
	Relay  uint64 // version that is pushed, 0 if the versions are only compared
}

// Fetch gets a chunk, from the platform if the peer has no name.
type Fetch struct {
	Hash string
	Peer Peer
}

// Adopt puts a version in force.
type Adopt struct {
	Head  bundler.Head
	Index *bundler.Index
}

// Ready reports that the process may serve.
type Ready struct{ Version uint64 }

// Refuse reports a head or chunk that was not accepted.
type Refuse struct {
	From string // empty: the platform
	Err  error
}

func (Watch) action()  {}
func (Read) action()   {}
func (Ask) action()    {}
func (Fetch) action()  {}
func (Adopt) action()  {}
func (Ready) action()  {}
func (Refuse) action() {}

// answer is the last known version of a peer, and the questions since then that
// it did not answer.
type answer struct {
	version uint64
	fails   int
}

// Adopter is the state of one process. It is not safe for concurrent use.
type Adopter struct {
	cfg   Config
	rnd   *rand.Rand
	peers map[string]Peer
	names []string // sorted, so that random choices are reproducible
	local []string // names in the own data centre, including the own name

	head   bundler.Head
	stored []byte // head as it was received
	parts  bundler.Parts
	bodies map[string][]byte
	next   *pending
	bad    uint64 // last signed version that is not a valid bundle

	ready     bool
	rounds    int                 // start rounds since the platform failed
	watching  bool                // a watch is open
	contact   time.Time           // last answer of the platform
	delegated time.Time           // end of the delegation by a watcher
	asked     time.Time           // start of the last start round
	open      map[string]struct{} // peers that did not answer in it yet
	heard     map[string]answer
	misses    int // questions without an answer in a row
}

// pending is a verified head whose chunks are being fetched.
type pending struct {
	head    bundler.Head
	stored  []byte
	parts   bundler.Parts
	bodies  map[string][]byte
	sources []string // peers that announced this version, most recent last
	direct  bool     // the platform announced it
	open    map[string]int
}
