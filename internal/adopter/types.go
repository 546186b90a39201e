package adopter

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/checker"
)

// RoundInterval is the interval between calls of [Adopter.Tick].
const RoundInterval = 2 * time.Second

// RoleEntry is the role of the processes that may watch the platform.
const RoleEntry = "entry"

const (
	watchersPerCentre = 2
	fanout            = 4
	startupRounds     = 2
	maxFetchAttempts  = 12
	// A process reads the platform itself after this many unanswered notices in a row.
	maxConsecutiveFailures = 2
	maxPeerFailures        = 3
	maxNameBytes           = 256
	// A watch returns at least once per second, so this tolerates two lost responses.
	contactTimeout = 3 * time.Second
	// A delegation is renewed every round, so this tolerates two lost renewals.
	delegationTTL = 3 * RoundInterval
)

// Config identifies the process and the trusted authors of bundles.
type Config struct {
	Self  Peer
	Trust bundler.TrustedKeys
}

// Peer is another process of the fleet.
type Peer struct {
	Name   string
	Role   string
	Centre string
	Addr   string
}

// Notice is the message with which processes compare versions. It is also the answer.
type Notice struct {
	From    string `json:"from"`
	Version uint64 `json:"version"`
	// PlatformLost is set if the sender should watch the platform and cannot reach it.
	// It delegates the watch to the receiver.
	PlatformLost bool `json:"blind,omitempty"`
	// Head is the signed head. It is set in an answer if its version is higher than
	// that of the received notice.
	Head json.RawMessage `json:"head,omitempty"`
}

// Check validates the notice except for its head, which is checked on verification.
func (n Notice) Check() error {
	var f checker.Validator
	checker.Range(&f, "from", len(n.From), 1, maxNameBytes)
	return f.Err()
}

// Action is an effect that the caller must execute.
type Action interface{ action() }

// SetWatch starts or stops watching the platform's head object.
type SetWatch struct{ On bool }

// ReadHead reads the platform's head object once.
type ReadHead struct{}

// SendNotice sends a notice to a peer and waits for the answer.
type SendNotice struct {
	Peer          Peer
	Notice        Notice
	PushedVersion uint64 // 0 if the notice only compares versions
}

// FetchChunk downloads a chunk from the peer, or from the platform if the peer has no
// name.
type FetchChunk struct {
	Hash string
	Peer Peer
}

// Adopt makes a version the active one.
type Adopt struct {
	Head  bundler.Head
	Index *bundler.Index
}

// Ready reports that the process may serve requests.
type Ready struct{ Version uint64 }

// ReportRejection reports a head or chunk that was rejected.
type ReportRejection struct {
	From string // empty: the platform
	Err  error
}

func (SetWatch) action()        {}
func (ReadHead) action()        {}
func (SendNotice) action()      {}
func (FetchChunk) action()      {}
func (Adopt) action()           {}
func (Ready) action()           {}
func (ReportRejection) action() {}

// peerState is the last known version of a peer, and the number of notices since
// then that it did not answer.
type peerState struct {
	version  uint64
	failures int
}

// Adopter is the state of one process. It is not safe for concurrent use.
type Adopter struct {
	cfg           Config
	rnd           *rand.Rand
	peers         map[string]Peer
	peerNames     []string // sorted, so that random choices are reproducible
	centreMembers []string // names in this data centre, including this process

	head           bundler.Head
	stored         []byte // encoded head as received
	chunks         bundler.ChunkStore
	bodies         map[string][]byte
	next           *pending
	invalidVersion uint64 // last version that was signed but is not a valid bundle

	ready               bool
	rounds              int                 // startup rounds since the platform failed
	watching            bool                // a watch is active
	lastContact         time.Time           // last response of the platform
	delegatedUntil      time.Time           // end of a watcher's delegation to this process
	roundStarted        time.Time           // start of the last startup round
	unanswered          map[string]struct{} // peers that have not answered in that round
	peerStates          map[string]peerState
	consecutiveFailures int // notices in a row without an answer
}

// pending is a verified head whose chunks are being fetched.
type pending struct {
	head     bundler.Head
	stored   []byte
	chunks   bundler.ChunkStore
	bodies   map[string][]byte
	sources  []string       // peers that announced this version, in order of announcement
	direct   bool           // the platform announced this version
	attempts map[string]int // by hash of the chunks being fetched
}
