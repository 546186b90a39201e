// Package allotter defines the shard object, which stores the prepaid budgets of one
// shard, and the transitions that are allowed on it.
//
// A [Shard] is an immutable value: each With method returns a changed copy or an error
// and does not change the receiver. For each budget, settled + sum over grants
// (allotted - folded) never exceeds the topped-up tokens. [Shard.Check] enforces this
// when the object is encoded or decoded.
//
// To fold a journal means to apply its charges to the shard object, after which its
// records can be overwritten. The mark of a grant is the high-water mark of its use that
// the holder wrote to its journal in advance.
//
// # Usage
//
//	s := allotter.New(7)
//	s, err := s.WithTopUp("acme", "topup-1", 1000, now, now)
//	s = s.WithHolder("eu", "entry-1.a")
//	s, err = s.WithGrant("acme", "entry-1.a", "eu", 400)
//	s, result := s.WithFold(fold, now)
//
// A grant is lowered only by its holder, after a lower mark is durable, or by a
// successor, after the holder's journal is sealed.
package allotter

import "github.com/pkg/errors"

// Errors of the transitions.
var (
	ErrUnknownBudget      = errors.New("unknown budget, top it up first")
	ErrInsufficientTokens = errors.New("not enough free tokens, ask for less or top up")
	ErrInvalidAmount      = errors.New("amount out of range")
	ErrTopUpExpired       = errors.New("top-up is too old to detect a repetition, issue it again under a new id")
	ErrNotHolder          = errors.New("the region has another holder, stop holding the shard")
)

// Periods in which a repeated key and a repeated top-up id are detected.
const (
	keyWindowSeconds   = 2 * 3600
	topUpWindowSeconds = 7 * 24 * 3600
)

// Shard is the object shard/<n>. Times are in seconds since the Unix epoch.
type Shard struct {
	Number   int                     `json:"number"`
	Budgets  map[string]Budget       `json:"budgets,omitempty"`
	Holders  map[string]RegionHolder `json:"holders,omitempty"`  // by region
	Journals map[string]Journal      `json:"journals,omitempty"` // by instance
	Keys     KeyWindow               `json:"keys,omitempty"`
}

// RegionHolder is the instance that holds the shard in a region. Term is incremented with
// each change of the holder.
type RegionHolder struct {
	Instance string `json:"instance"`
	Term     uint64 `json:"term"`
}

// Budget is the state of one prepaid budget.
type Budget struct {
	ToppedUp int64            `json:"topped"`
	Settled  int64            `json:"settled"`
	Grants   map[string]Grant `json:"grants,omitempty"` // by instance
	Demand   map[string]int64 `json:"demand,omitempty"` // recently requested tokens by region
	TopUps   map[string]int64 `json:"topups,omitempty"` // time by top-up id
}

// Grant is the part of a budget that one instance may spend. The token counts are
// cumulative over the life of the instance.
type Grant struct {
	Region   string `json:"region"`
	Allotted int64  `json:"allotted"`
	Folded   int64  `json:"folded"`
	Mark     int64  `json:"marked"` // mark at the last fold
}

// Journal is the state of a holder's journal: Seq is the last folded record, and the other
// fields tell which reservations are settled. A number below Next is settled unless it
// is in Open; any other number is settled if it is in Settled. After a hand-over,
// HandedOver is set and the instance only settles its open reservations.
//
// The value is kept from the time the instance becomes the holder until its grants are
// closed, even if it has no grant, because the journal can contain charges on grants of
// former holders.
type Journal struct {
	Region     string   `json:"region"`
	HandedOver bool     `json:"handed,omitempty"`
	Seq        uint64   `json:"seq"`
	Next       uint64   `json:"next"`
	Open       []uint64 `json:"open,omitempty"`
	Settled    []uint64 `json:"done,omitempty"`
}

// Charge is the number of tokens that were used of a reservation. Holder is the instance
// that granted the reservation; after a takeover it differs from the instance that
// wrote the journal.
type Charge struct {
	Budget string `json:"budget"`
	Holder string `json:"holder"`
	Number uint64 `json:"number"`
	Tokens int64  `json:"tokens"`
	Key    string `json:"key,omitempty"`
}

// Fold is a part of a journal to fold: the charges of its records up to Seq. Next, Open
// and Marks are the instance's state at Seq. A successor that folds a sealed journal
// leaves Next zero, because it does not know the open numbers.
type Fold struct {
	Instance string
	Seq      uint64
	Next     uint64
	Open     []uint64
	Marks    map[string]int64 // by budget
	Charges  []Charge
}

// FoldResult lists the charges that a fold reduced.
type FoldResult struct {
	Reduced []Charge // reduced to the rest of the grant
}
