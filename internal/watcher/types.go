package watcher

import (
	"slices"
	"time"

	"daisylane/internal/checker"
)

const (
	goneTimeout = 90 * time.Second
	// After a longer gap between lists, an absent instance may have returned unnoticed.
	maxListGap = 30 * time.Second
	// After this time, the next request probes the instance again.
	suspicionTimeout = 10 * time.Second
	forgetTimeout    = time.Hour
	maxCachedResults = 64
)

// Roles of instances.
const (
	Entry = "entry"
	Side  = "side"
)

// StateLeaving is the state in the instance list of an instance that is about to
// stop.
const StateLeaving = "leaving"

// Member is the registration of an instance, stored as object [Key].
type Member struct {
	Name     string   `json:"name"`
	Role     string   `json:"role"`
	Centre   string   `json:"centre"`
	Region   string   `json:"region"`
	Addr     string   `json:"addr"`
	Target   string   `json:"target,omitempty"`
	Kind     string   `json:"kind,omitempty"`
	Model    string   `json:"model,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// Check validates the fields of a registration.
func (m Member) Check() error {
	var f checker.Validator
	f.Require(m.Role == Entry || m.Role == Side, "role", "is %q, must be entry or side", m.Role)
	required := []struct{ key, value string }{
		{"name", m.Name}, {"centre", m.Centre}, {"region", m.Region}, {"addr", m.Addr},
	}
	for _, r := range required {
		f.Require(r.value != "", r.key, "is empty, set a value")
	}
	f.Require(m.Role != Side || m.Target != "", "target", "is empty, a side needs a target")
	return f.Err()
}

// ParseMember decodes and validates a registration.
func ParseMember(data []byte) (Member, error) { return checker.Decode[Member](data) }

// KeyPrefix is the key prefix of all registrations.
const KeyPrefix = "member/"

// Key returns the object key of a registration. With an empty name, it returns the
// key prefix of all registrations of a role.
func Key(role, name string) string { return KeyPrefix + role + "/" + name }

// WarningPrefix is the key prefix of the warnings about requests that end targets. They lie
// below KeyPrefix, so that the watch of the registrations brings them too.
const WarningPrefix = KeyPrefix + "warning/"

// Registration is a registration with its object version.
type Registration struct {
	Member  Member
	Version uint64
}

// ListRow is one row of the instance list.
type ListRow struct {
	Name   string `json:"name"`
	Role   string `json:"role"`
	Centre string `json:"centre"`
	Region string `json:"region"`
	Addr   string `json:"addr"`
	State  string `json:"state"`
}

// Query selects sides. Empty fields match everything.
type Query struct {
	Target  string
	Model   string
	Adapter string
}

func (q Query) matches(m *Member) bool {
	return (q.Target == "" || q.Target == m.Target) &&
		(q.Model == "" || q.Model == m.Model) &&
		(q.Adapter == "" || slices.Contains(m.Adapters, q.Adapter))
}

// View is the membership view of one process. It is not safe for concurrent use.
type View struct {
	nodes       map[string]*node
	sortedNodes []*node // sorted by name, so that queries have a stable order
	firstListAt time.Time
	lastListAt  time.Time
	results     map[Query]cachedResult // cached results of Candidates, cleared on each change
}

// cachedResult is a cached result of [View.Candidates].
type cachedResult struct {
	members    []*Member
	validUntil time.Time // earliest end of a suspicion, zero: no limit
}

// node is the state of an instance.
type node struct {
	member        *Member
	version       uint64 // of the newest registration or removal
	registered    bool
	listed        bool
	leaving       bool      // announced by the side itself
	listedLeaving bool      // state in the instance list
	absentSince   time.Time // time of the first list without the instance, zero while it is listed
	failedDialAt  time.Time // time of the last failed dial, zero after a successful one
}

// New returns an empty view.
func New() *View { return &View{nodes: make(map[string]*node), results: make(map[Query]cachedResult)} }
