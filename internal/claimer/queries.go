package claimer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// UnfoldedShards returns the shards with claims that are not folded yet, in order.
func (c *Claimer) UnfoldedShards() []int {
	var shards []int
	for shard, claims := range c.unfolded {
		if len(claims) > 0 {
			shards = append(shards, shard)
		}
	}
	slices.Sort(shards)
	return shards
}

// Fold returns the object of a shard with the claims that changed since the last fold.
// The caller writes it with a conditional write on the version that it read, then
// calls Folded.
func (c *Claimer) Fold(now time.Time, o Object) (Object, error) {
	return o.With(now, slices.Collect(maps.Values(c.unfolded[o.Shard]))...)
}

// Get returns a durable claim.
func (c *Claimer) Get(account, service, key string) (Claim, bool) {
	claim, ok := c.claims[claimID{account, service, key}]
	return claim, ok
}

// With returns the object with the given claims added and without claims older than
// the retention period. If the object exceeds its size limit, the oldest outcomes are
// dropped and their claims become unknown. If it still exceeds the limit, the error is
// [ErrFull].
func (o Object) With(now time.Time, claims ...Claim) (Object, error) {
	merged := make(map[claimID]Claim, len(o.Claims)+len(claims))
	for _, claim := range slices.Concat(o.Claims, claims) {
		if old, ok := merged[claim.claimID()]; !ok || claim.Revision >= old.Revision {
			merged[claim.claimID()] = claim
		}
	}
	maps.DeleteFunc(merged, func(_ claimID, claim Claim) bool { return now.Sub(claim.ChangedAt) >= retentionPeriod })
	next := Object{Shard: o.Shard, Holder: o.Holder, Claims: slices.SortedFunc(maps.Values(merged), compareIDs)}
	size := 0
	sizes := make([]int, len(next.Claims))
	for i, claim := range next.Claims {
		data, err := json.Marshal(claim)
		if err != nil {
			return o, fmt.Errorf("encode claim: %w", err)
		}
		sizes[i] = len(data) + 1
		size += sizes[i]
	}
	return next.shrinkToLimit(sizes, size)
}

// shrinkToLimit drops outcomes, oldest first, until the object is within its size limit.
func (o Object) shrinkToLimit(sizes []int, size int) (Object, error) {
	oldest := make([]int, len(o.Claims))
	for i := range oldest {
		oldest[i] = i
	}
	slices.SortStableFunc(oldest, func(x, y int) int { return o.Claims[x].ChangedAt.Compare(o.Claims[y].ChangedAt) })
	for _, i := range oldest {
		if size <= maxObjectBytes {
			return o, nil
		}
		if o.Claims[i].State != StateDone {
			continue
		}
		o.Claims[i] = o.Claims[i].withoutOutcome()
		data, err := json.Marshal(o.Claims[i])
		if err != nil {
			return o, fmt.Errorf("encode claim: %w", err)
		}
		size -= sizes[i] - len(data) - 1
	}
	if size > maxObjectBytes {
		return o, fmt.Errorf("shard %d: %d bytes: %w", o.Shard, size, ErrFull)
	}
	return o, nil
}

func (c Claim) withoutOutcome() Claim {
	c.State, c.Status, c.Header, c.Payload = StateUnknown, 0, nil, nil
	return c
}

// expired reports whether a claim is older than the retention period. A running claim
// does not expire: it becomes unknown first.
func (c *Claimer) expired(now time.Time, claim Claim) bool {
	return claim.State != StateRunning && now.Sub(claim.ChangedAt) >= retentionPeriod
}

func compareIDs(x, y Claim) int {
	return cmp.Or(cmp.Compare(x.Account, y.Account), cmp.Compare(x.Service, y.Service), cmp.Compare(x.Key, y.Key))
}

// WithHolderCrashed returns the object with the running claims of a crashed holder changed
// to unknown.
func (o Object) WithHolderCrashed(now time.Time, holder string) Object {
	next := o
	next.Claims = slices.Clone(o.Claims)
	for i, claim := range next.Claims {
		if claim.State == StateRunning && claim.Holder == holder {
			claim.State, claim.ChangedAt, claim.Revision = StateUnknown, now, claim.Revision+1
			next.Claims[i] = claim
		}
	}
	return next
}
