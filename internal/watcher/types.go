package watcher

import (
	"slices"
	"time"

	"daisylane/internal/checker"
)

const (
	goneAfter   = 90 * time.Second
	maxListGap  = 30 * time.Second // a longer gap can hide that an absent instance came back
	suspectTime = 10 * time.Second // then one more request tests the peer
	forgetAfter = time.Hour
	maxAnswers  = 64
)

// Roles of instances.
const (
	Entry = "entry"
	Side  = "side"
)

// Leaving is the state of an instance in the list that is about to stop.
const Leaving = "leaving"

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

// Check validates a registration.
func (m Member) Check() error {
	var f checker.Faults
	f.Require(m.Role == Entry || m.Role == Side, "role", "is %q, allowed is entry or side", m.Role)
	required := []struct{ key, value string }{
		{"name", m.Name}, {"centre", m.Centre}, {"region", m.Region}, {"addr", m.Addr},
	}
	for _, r := range required {
		f.Require(r.value != "", r.key, "is empty, set a value")
	}
	f.Require(m.Role != Side || m.Target != "", "target", "is empty, a side needs a target")
	return f.Err()
}

// ParseMember decodes a registration and checks it.
func ParseMember(data []byte) (Member, error) { return checker.Decode[Member](data) }

// Prefix is the key prefix of all registrations.
const Prefix = "member/"

// Key returns the object key of a registration. With an empty name it is the prefix
// of the registrations of a role.
func Key(role, name string) string { return Prefix + role + "/" + name }

// Registration is a registration with its object version.
type Registration struct {
	Member  Member
	Version uint64
}

// Listed is one row of the instance list.
type Listed struct {
	Name   string `json:"name"`
	Role   string `json:"role"`
	Centre string `json:"centre"`
	Region string `json:"region"`
	Addr   string `json:"addr"`
	State  string `json:"state"`
}

// Query selects targets. Empty fields match everything.
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
	nodes     map[string]*node
	order     []*node // by name, so that queries have a stable order
	firstList time.Time
	lastList  time.Time
	answers   map[Query]answer // of Candidates, until the next change
}

// answer is a stored result of [View.Candidates].
type answer struct {
	members []*Member
	until   time.Time // first end of a suspicion, zero: none
}

type node struct {
	member     *Member
	version    uint64 // of the newest registration or removal
	registered bool
	listed     bool
	leaving    bool // learnt from the side itself
	listLeaves bool
	absent     time.Time // first list of the current absence, zero while listed
	failed     time.Time // last failed dial, zero after a successful one
}

// New returns an empty view.
func New() *View { return &View{nodes: make(map[string]*node), answers: make(map[Query]answer)} }
