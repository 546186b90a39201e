package claimer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Dirty returns the shards with claims that are not folded yet.
func (c *Claimer) Dirty() []int {
	var shards []int
	for shard, claims := range c.dirty {
		if len(claims) > 0 {
			shards = append(shards, shard)
		}
	}
	slices.Sort(shards)
	return shards
}

// Fold returns the object of a shard with the claims that changed since the
// last fold. Write it with the version that was read, then call Folded.
func (c *Claimer) Fold(now time.Time, o Object) (Object, error) {
	return o.With(now, slices.Collect(maps.Values(c.dirty[o.Shard]))...)
}

// Get returns a durable claim.
func (c *Claimer) Get(account, service, key string) (Claim, bool) {
	claim, ok := c.claims[name{account, service, key}]
	return claim, ok
}

// With returns the object with the given claims, without those over the age
// limit. If the object gets too large, the oldest outcomes lose their payload
// and become unknown. [ErrFull] means that this is not enough.
func (o Object) With(now time.Time, claims ...Claim) (Object, error) {
	merged := make(map[name]Claim, len(o.Claims)+len(claims))
	for _, claim := range slices.Concat(o.Claims, claims) {
		if old, ok := merged[claim.name()]; !ok || claim.Rev >= old.Rev {
			merged[claim.name()] = claim
		}
	}
	maps.DeleteFunc(merged, func(_ name, claim Claim) bool { return now.Sub(claim.Time) >= keepPeriod })
	next := Object{Shard: o.Shard, Holder: o.Holder, Claims: slices.SortedFunc(maps.Values(merged), compareNames)}
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
	return next.shrink(sizes, size)
}

func (o Object) shrink(sizes []int, size int) (Object, error) {
	oldest := make([]int, len(o.Claims))
	for i := range oldest {
		oldest[i] = i
	}
	slices.SortStableFunc(oldest, func(x, y int) int { return o.Claims[x].Time.Compare(o.Claims[y].Time) })
	for _, i := range oldest {
		if size <= maxObjectBytes {
			return o, nil
		}
		if o.Claims[i].State != Done {
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
	c.State, c.Status, c.Header, c.Payload = Unknown, 0, nil, nil
	return c
}

// expired reports whether a claim is over the age limit. A running claim never
// is: it becomes unknown first.
func (c *Claimer) expired(now time.Time, claim Claim) bool {
	return claim.State != Running && now.Sub(claim.Time) >= keepPeriod
}

func compareNames(x, y Claim) int {
	return cmp.Or(cmp.Compare(x.Account, y.Account), cmp.Compare(x.Service, y.Service), cmp.Compare(x.Key, y.Key))
}

// WithLost returns the object with the running claims of a crashed holder unknown.
func (o Object) WithLost(now time.Time, holder string) Object {
	next := o
	next.Claims = slices.Clone(o.Claims)
	for i, claim := range next.Claims {
		if claim.State == Running && claim.Holder == holder {
			claim.State, claim.Time, claim.Rev = Unknown, now, claim.Rev+1
			next.Claims[i] = claim
		}
	}
	return next
}
