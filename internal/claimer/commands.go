package claimer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"daisylane/internal/checker"
)

// Claim asks for the right to send a call.
func (c *Claimer) Claim(now time.Time, r Request) []Action {
	if err := r.Check(); err != nil {
		return []Action{Refuse{r.ID, Invalid, err.Error(), 0}}
	}
	n := name{r.Account, r.Service, r.Key}
	if token, ok := c.busy[n]; ok {
		return c.claimBusy(r, c.pending[token])
	}
	old, known := c.claims[n]
	switch {
	case !known || c.expired(now, old):
	case !bytes.Equal(old.Digest, r.Digest):
		return []Action{Answer{r.ID, Mismatch, old}}
	case old.State != NotRun:
		return []Action{Answer{r.ID, old.State, old}}
	}
	next := Claim{
		Shard: r.Shard, Account: r.Account, Service: r.Service, Key: r.Key, Digest: r.Digest,
		State: Running, Request: r.ID, Holder: c.holder, Rev: old.Rev + 1, Time: now,
	}
	return c.change(now, next, waiter{id: r.ID})
}

func (c *Claimer) claimBusy(r Request, p *pending) []Action {
	switch {
	case !bytes.Equal(p.claim.Digest, r.Digest):
		return []Action{Answer{r.ID, Mismatch, p.claim}}
	case p.abandoned:
		return []Action{refusePlatform(waiter{id: r.ID})}
	case p.claim.Request == r.ID && p.claim.State == Running:
		return nil // answered with the first try, when the claim is durable
	case p.claim.Request == r.ID:
		return []Action{refusePlatform(waiter{id: r.ID})}
	default:
		running := p.claim
		running.State, running.Status, running.Header, running.Payload = Running, 0, nil, nil
		return []Action{Answer{r.ID, Running, running}}
	}
}

// Conclude records the outcome of a call.
func (c *Claimer) Conclude(now time.Time, o Outcome) []Action {
	if o.State != Done && o.State != NotRun && o.State != Unknown {
		return []Action{Refuse{o.ID, Invalid, fmt.Sprintf("state is %q, allowed is done, notrun or unknown", o.State), 0}}
	}
	n := name{o.Account, o.Service, o.Key}
	old, known := c.claims[n]
	token, busy := c.busy[n]
	if busy {
		p := c.pending[token]
		if p.claim.State == o.State && p.claim.Request == o.ID && !p.abandoned {
			p.waiters = append(p.waiters, waiter{o.ID, true})
			p.due = now.Add(durableTimeout)
			return nil
		}
		return []Action{refusePlatform(waiter{o.ID, true})}
	}
	switch {
	case !known:
		return []Action{Refuse{o.ID, Absent, "there is no such claim", 0}}
	case old.Request != o.ID:
		return []Action{Refuse{o.ID, Owner, fmt.Sprintf("the claim belongs to request %s", old.Request), 0}}
	case old.State == o.State:
		return []Action{Concluded{o.ID}}
	case old.State == Done || old.State == NotRun:
		return []Action{Refuse{o.ID, Outdated, fmt.Sprintf("the claim is %s already", old.State), 0}}
	}
	return c.change(now, c.concluded(now, old, o), waiter{o.ID, true})
}

// concluded returns the claim with its outcome. An outcome that is too large to
// keep cannot be replayed, so it is unknown to later requests.
func (c *Claimer) concluded(now time.Time, old Claim, o Outcome) Claim {
	next := old
	next.State, next.Time, next.Rev, next.Holder = o.State, now, old.Rev+1, c.holder
	if o.State != Done {
		return next
	}
	if len(o.Payload) > maxPayloadBytes {
		next.State = Unknown
		return next
	}
	next.Status, next.Header, next.Payload = o.Status, o.Header, o.Payload
	return next
}

// Durable reports that an entry is in the journal.
func (c *Claimer) Durable(now time.Time, token uint64) []Action {
	p, ok := c.pending[token]
	if !ok {
		return nil
	}
	c.release(token, p)
	c.store(p.claim)
	if p.abandoned {
		// The request was refused, so its call was never sent.
		next := p.claim
		next.State, next.Time, next.Rev = NotRun, now, next.Rev+1
		return c.change(now, next)
	}
	var actions []Action
	for _, w := range p.waiters {
		if w.conclude {
			actions = append(actions, Concluded{w.id})
			continue
		}
		actions = append(actions, Answer{w.id, Granted, p.claim})
	}
	return actions
}

// Failed reports that the journal ended before an entry was durable. The holder
// stops; its successor finds the entry in the journal or not.
func (c *Claimer) Failed(token uint64) []Action {
	p, ok := c.pending[token]
	if !ok {
		return nil
	}
	c.release(token, p)
	return refuseAll(p)
}

// Replay applies a journal entry of a former holder.
func (c *Claimer) Replay(e Entry) error {
	claim, err := checker.Decode[Claim](e.Data)
	if err != nil {
		return fmt.Errorf("replay claim of shard %d: %w", e.Shard, err)
	}
	if old, ok := c.claims[claim.name()]; !ok || claim.Rev >= old.Rev {
		c.store(claim)
	}
	return nil
}

// Load applies the folded claims of a shard.
func (c *Claimer) Load(o Object) {
	for _, claim := range o.Claims {
		if old, ok := c.claims[claim.name()]; !ok || claim.Rev > old.Rev {
			c.claims[claim.name()] = claim
		}
	}
}

// Lost makes the running claims of a crashed holder unknown. Their requests may
// still conclude them.
func (c *Claimer) Lost(now time.Time, holder string) []Action {
	return c.forgetRunning(now, func(claim Claim) bool { return claim.Holder == holder })
}

// Tick refuses requests whose claim is not durable in time, makes claims unknown
// that run for too long, and drops claims over the age limit.
func (c *Claimer) Tick(now time.Time) []Action {
	var actions []Action
	for _, token := range slices.Sorted(maps.Keys(c.pending)) {
		p := c.pending[token]
		if now.Before(p.due) || len(p.waiters) == 0 {
			continue
		}
		actions = append(actions, refuseAll(p)...)
		p.abandoned = p.claim.State == Running
		p.waiters = nil
	}
	for n, claim := range c.claims {
		if _, busy := c.busy[n]; !busy && c.expired(now, claim) {
			delete(c.claims, n)
		}
	}
	return append(actions, c.forgetRunning(now, func(claim Claim) bool { return now.Sub(claim.Time) >= runLimit })...)
}

// Release forgets the claims of a shard that this instance no longer holds.
func (c *Claimer) Release(shard int) []Action {
	var actions []Action
	for _, token := range slices.Sorted(maps.Keys(c.pending)) {
		if p := c.pending[token]; p.claim.Shard == shard {
			actions = append(actions, c.Failed(token)...)
		}
	}
	maps.DeleteFunc(c.claims, func(_ name, claim Claim) bool { return claim.Shard == shard })
	delete(c.dirty, shard)
	return actions
}

// Folded reports that the object of a shard was written with these claims.
func (c *Claimer) Folded(o Object) {
	for _, claim := range o.Claims {
		if changed, ok := c.dirty[o.Shard][claim.name()]; ok && changed.Rev <= claim.Rev {
			delete(c.dirty[o.Shard], claim.name())
		}
	}
}

func (c *Claimer) forgetRunning(now time.Time, match func(Claim) bool) []Action {
	var lost []Claim
	for n, claim := range c.claims {
		if _, busy := c.busy[n]; !busy && claim.State == Running && match(claim) {
			lost = append(lost, claim)
		}
	}
	slices.SortFunc(lost, compareNames)
	var actions []Action
	for _, claim := range lost {
		claim.State, claim.Time, claim.Rev, claim.Holder = Unknown, now, claim.Rev+1, c.holder
		actions = append(actions, c.change(now, claim)...)
	}
	return actions
}

// change journals a claim. The durable state stays as it is until then.
func (c *Claimer) change(now time.Time, next Claim, waiters ...waiter) []Action {
	data, err := json.Marshal(next)
	if err != nil {
		var actions []Action
		for _, w := range waiters {
			actions = append(actions, Refuse{w.id, Invalid, err.Error(), 0})
		}
		return actions
	}
	c.token++
	c.pending[c.token] = &pending{claim: next, waiters: waiters, due: now.Add(durableTimeout)}
	c.busy[next.name()] = c.token
	return []Action{Append{c.token, Entry{next.Shard, data}}}
}

func (c *Claimer) release(token uint64, p *pending) {
	delete(c.pending, token)
	delete(c.busy, p.claim.name())
}

func (c *Claimer) store(claim Claim) {
	c.claims[claim.name()] = claim
	if c.dirty[claim.Shard] == nil {
		c.dirty[claim.Shard] = make(map[name]Claim)
	}
	c.dirty[claim.Shard][claim.name()] = claim
}

func refuseAll(p *pending) []Action {
	var actions []Action
	for _, w := range p.waiters {
		actions = append(actions, refusePlatform(w))
	}
	return actions
}

func refusePlatform(w waiter) Refuse {
	text := "the claim could not be made durable, the call must not be sent"
	if w.conclude {
		text = "the outcome is not durable yet, send it again"
	}
	return Refuse{w.id, Platform, text, durableTimeout}
}
