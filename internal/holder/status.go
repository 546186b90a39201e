package holder

import (
	"maps"
	"slices"

	"daisylane/internal/budgeter"
)

// Status describes the shards that a process holds.
type Status struct {
	Instance  string     `json:"instance"`
	Up        bool       `json:"up"`      // whether the platform answered last
	Stopped   bool       `json:"stopped"` // whether the journal is sealed
	Seq       uint64     `json:"seq"`     // last durable record of the journal
	Used      float64    `json:"used"`    // part of the journal that is not folded
	Shards    []Shard    `json:"shards"`
	Takeovers []Takeover `json:"takeovers"`
	Revoking  []string   `json:"revoking,omitempty"` // sides that can still run or bill revoked reservations
}

// Shard describes one held shard.
type Shard struct {
	Number  int               `json:"number"`
	Term    uint64            `json:"term"`
	Budgets map[string]Budget `json:"budgets"`
}

// Budget describes the tokens of a budget at this holder.
type Budget struct {
	budgeter.Amounts
	Withheld int64 `json:"withheld"` // granted to former holders and not released
}

// Takeover describes a recovery that is not complete.
type Takeover struct {
	Instance string   `json:"instance"`
	Shard    int      `json:"shard"`
	Waiting  []string `json:"waiting"` // sides that have not answered
}

func (k *keeper) status() Status {
	s := Status{
		Instance: k.h.cfg.Instance, Up: k.up, Stopped: k.journal.Stopped(), Seq: k.journal.Seq(), Used: k.journal.Used(),
		Shards: []Shard{}, Takeovers: []Takeover{}, Revoking: k.reclaim.state.Waiting(),
	}
	for _, number := range k.budgets.Shards() {
		object := k.budgets.Object(number)
		sh := Shard{Number: number, Term: object.Holders[k.h.cfg.Region].Term, Budgets: make(map[string]Budget)}
		for _, name := range slices.Sorted(maps.Keys(object.Budgets)) {
			sh.Budgets[name] = Budget{Amounts: k.budgets.Amounts(number, name), Withheld: object.Withheld(name)}
		}
		s.Shards = append(s.Shards, sh)
	}
	for key, t := range k.takeovers {
		s.Takeovers = append(s.Takeovers, Takeover{Instance: key.instance, Shard: key.shard, Waiting: t.recovery.Waiting()})
	}
	return s
}
