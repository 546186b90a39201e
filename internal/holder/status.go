package holder

import (
	"maps"
	"slices"

	"daisylane/internal/budgeter"
)

// Status is the state of a holder and its shards.
type Status struct {
	Instance    string     `json:"instance"`
	PlatformUp  bool       `json:"up"`      // whether the platform was reachable at the last call
	Stopped     bool       `json:"stopped"` // whether the journal is sealed
	JournalSeq  uint64     `json:"seq"`     // number of the journal's last durable record
	JournalUsed float64    `json:"used"`    // fraction of the journal slots whose records are not folded
	Shards      []Shard    `json:"shards"`
	Takeovers   []Takeover `json:"takeovers"`
	// Revoking lists the sides that can still run or bill revoked reservations.
	Revoking []string `json:"revoking,omitempty"`
}

// Shard is the state of a held shard.
type Shard struct {
	Number  int               `json:"number"`
	Term    uint64            `json:"term"`
	Budgets map[string]Budget `json:"budgets"`
}

// Budget has the token amounts of a budget at this holder.
type Budget struct {
	budgeter.Amounts
	Withheld int64 `json:"withheld"` // granted to former holders and not yet released
}

// Takeover is the state of an incomplete recovery.
type Takeover struct {
	Instance string   `json:"instance"`
	Shard    int      `json:"shard"`
	Waiting  []string `json:"waiting"` // sides that have not answered
}

func (ha *holderActor) status() Status {
	s := Status{
		Instance: ha.h.cfg.Instance, PlatformUp: ha.platformUp, Stopped: ha.journal.Stopped(), JournalSeq: ha.journal.Seq(), JournalUsed: ha.journal.UnfoldedFraction(),
		Shards: []Shard{}, Takeovers: []Takeover{}, Revoking: ha.reclaim.state.PendingSides(),
	}
	for _, number := range ha.budgets.Shards() {
		object := ha.budgets.Object(number)
		sh := Shard{Number: number, Term: object.Holders[ha.h.cfg.Region].Term, Budgets: make(map[string]Budget)}
		for _, name := range slices.Sorted(maps.Keys(object.Budgets)) {
			sh.Budgets[name] = Budget{Amounts: ha.budgets.Amounts(number, name), Withheld: object.Withheld(name)}
		}
		s.Shards = append(s.Shards, sh)
	}
	for key, t := range ha.takeovers {
		s.Takeovers = append(s.Takeovers, Takeover{Instance: key.instance, Shard: key.shard, Waiting: t.recovery.PendingSides()})
	}
	return s
}
