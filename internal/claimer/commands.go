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

// Claim requests the right to send a call. It is answered by Answer or Refused.
func (c *Claimer) Claim(now time.Time, r Request) []Action {
	if err := r.Check(); err != nil {
		return []Action{Refused{r.ID, ReasonInvalid, err.Error(), 0}}
	}
	k := claimID{r.Account, r.Service, r.Key}
	if token, ok := c.pendingTokens[k]; ok {
		return c.claimPending(r, c.pending[token])
	}
	old, known := c.claims[k]
	switch {
	case !known || c.expired(now, old):
	case !bytes.Equal(old.Digest, r.Digest):
		return []Action{Answer{r.ID, StateMismatch, old}}
	case old.State != StateNotRun:
		return []Action{Answer{r.ID, old.State, old}}
	}
	next := Claim{
		Shard: r.Shard, Account: r.Account, Service: r.Service, Key: r.Key, Digest: r.Digest,
		State: StateRunning, Request: r.ID, Holder: c.holder, Revision: old.Revision + 1, ChangedAt: now,
	}
	return c.journalChange(now, next, waitingRequest{id: r.ID})
}

// claimPending answers a request for a claim that has a pending change.
func (c *Claimer) claimPending(r Request, p *pendingChange) []Action {
	switch {
	case !bytes.Equal(p.claim.Digest, r.Digest):
		return []Action{Answer{r.ID, StateMismatch, p.claim}}
	case p.timedOut:
		return []Action{refuseNotDurable(waitingRequest{id: r.ID})}
	case p.claim.Request == r.ID && p.claim.State == StateRunning:
		return nil // answered together with the first call, when the claim is durable
	case p.claim.Request == r.ID:
		return []Action{refuseNotDurable(waitingRequest{id: r.ID})}
	default:
		running := p.claim
		running.State, running.Status, running.Header, running.Payload = StateRunning, 0, nil, nil
		return []Action{Answer{r.ID, StateRunning, running}}
	}
}

// Conclude records the outcome of a call. It is answered by Concluded or Refused.
func (c *Claimer) Conclude(now time.Time, o Outcome) []Action {
	if o.State != StateDone && o.State != StateNotRun && o.State != StateUnknown {
		return []Action{Refused{o.ID, ReasonInvalid, fmt.Sprintf("state is %q, allowed is done, notrun or unknown", o.State), 0}}
	}
	k := claimID{o.Account, o.Service, o.Key}
	old, known := c.claims[k]
	token, busy := c.pendingTokens[k]
	if busy {
		p := c.pending[token]
		if p.claim.State == o.State && p.claim.Request == o.ID && !p.timedOut {
			p.waiters = append(p.waiters, waitingRequest{o.ID, true})
			p.deadline = now.Add(durableTimeout)
			return nil
		}
		return []Action{refuseNotDurable(waitingRequest{o.ID, true})}
	}
	switch {
	case !known:
		return []Action{Refused{o.ID, ReasonAbsent, "there is no such claim", 0}}
	case old.Request != o.ID:
		return []Action{Refused{o.ID, ReasonOwner, fmt.Sprintf("the claim belongs to request %s", old.Request), 0}}
	case old.State == o.State:
		return []Action{Concluded{o.ID}}
	case old.State == StateDone || old.State == StateNotRun:
		return []Action{Refused{o.ID, ReasonOutdated, fmt.Sprintf("the claim is %s already", old.State), 0}}
	}
	return c.journalChange(now, c.withOutcome(now, old, o), waitingRequest{o.ID, true})
}

// withOutcome returns the claim with its outcome. An outcome that is too large to store
// cannot be returned to later requests, so the claim becomes unknown.
func (c *Claimer) withOutcome(now time.Time, old Claim, o Outcome) Claim {
	next := old
	next.State, next.ChangedAt, next.Revision, next.Holder = o.State, now, old.Revision+1, c.holder
	if o.State != StateDone {
		return next
	}
	if len(o.Payload) > maxPayloadBytes {
		next.State = StateUnknown
		return next
	}
	next.Status, next.Header, next.Payload = o.Status, o.Header, o.Payload
	return next
}

// AppendDurable reports that an entry was written to the journal.
func (c *Claimer) AppendDurable(now time.Time, token uint64) []Action {
	p, ok := c.pending[token]
	if !ok {
		return nil
	}
	c.removePending(token, p)
	c.storeDurable(p.claim)
	if p.timedOut {
		// The request was refused after a timeout, so its call was never sent.
		next := p.claim
		next.State, next.ChangedAt, next.Revision = StateNotRun, now, next.Revision+1
		return c.journalChange(now, next)
	}
	var actions []Action
	for _, w := range p.waiters {
		if w.hasOutcome {
			actions = append(actions, Concluded{w.id})
			continue
		}
		actions = append(actions, Answer{w.id, StateNew, p.claim})
	}
	return actions
}

// AppendFailed reports that the journal was lost before an entry was known to be durable.
// The holder stops; the entry takes effect if its successor finds it in the journal.
func (c *Claimer) AppendFailed(token uint64) []Action {
	p, ok := c.pending[token]
	if !ok {
		return nil
	}
	c.removePending(token, p)
	return refuseAll(p)
}

// Replay applies a journal entry of a former holder. An older revision of a claim does not
// replace a newer one.
func (c *Claimer) Replay(e Entry) error {
	claim, err := checker.Decode[Claim](e.Data)
	if err != nil {
		return fmt.Errorf("replay claim of shard %d: %w", e.Shard, err)
	}
	if old, ok := c.claims[claim.claimID()]; !ok || claim.Revision >= old.Revision {
		c.storeDurable(claim)
	}
	return nil
}

// Load adds the folded claims of a shard.
func (c *Claimer) Load(o Object) {
	for _, claim := range o.Claims {
		if old, ok := c.claims[claim.claimID()]; !ok || claim.Revision > old.Revision {
			c.claims[claim.claimID()] = claim
		}
	}
}

// HolderCrashed changes the running claims of a crashed holder to unknown. The requests
// that own them may still report the outcomes.
func (c *Claimer) HolderCrashed(now time.Time, holder string) []Action {
	return c.markRunningUnknown(now, func(claim Claim) bool { return claim.Holder == holder })
}

// Tick refuses requests whose change is not durable in time, removes claims after the
// retention period, and changes claims to unknown that are running for too long.
func (c *Claimer) Tick(now time.Time) []Action {
	var actions []Action
	for _, token := range slices.Sorted(maps.Keys(c.pending)) {
		p := c.pending[token]
		if now.Before(p.deadline) || len(p.waiters) == 0 {
			continue
		}
		actions = append(actions, refuseAll(p)...)
		p.timedOut = p.claim.State == StateRunning
		p.waiters = nil
	}
	for k, claim := range c.claims {
		if _, busy := c.pendingTokens[k]; !busy && c.expired(now, claim) {
			delete(c.claims, k)
		}
	}
	return append(actions, c.markRunningUnknown(now, func(claim Claim) bool { return now.Sub(claim.ChangedAt) >= runTimeout })...)
}

// DropShard drops the claims of a shard that this instance no longer holds and refuses
// the requests that wait for them.
func (c *Claimer) DropShard(shard int) []Action {
	var actions []Action
	for _, token := range slices.Sorted(maps.Keys(c.pending)) {
		if p := c.pending[token]; p.claim.Shard == shard {
			actions = append(actions, c.AppendFailed(token)...)
		}
	}
	maps.DeleteFunc(c.claims, func(_ claimID, claim Claim) bool { return claim.Shard == shard })
	delete(c.unfolded, shard)
	return actions
}

// Folded reports that the object of a shard was written with the given claims.
func (c *Claimer) Folded(o Object) {
	for _, claim := range o.Claims {
		if changed, ok := c.unfolded[o.Shard][claim.claimID()]; ok && changed.Revision <= claim.Revision {
			delete(c.unfolded[o.Shard], claim.claimID())
		}
	}
}

// markRunningUnknown changes the matching running claims to unknown.
func (c *Claimer) markRunningUnknown(now time.Time, match func(Claim) bool) []Action {
	var running []Claim
	for k, claim := range c.claims {
		if _, busy := c.pendingTokens[k]; !busy && claim.State == StateRunning && match(claim) {
			running = append(running, claim)
		}
	}
	slices.SortFunc(running, compareIDs)
	var actions []Action
	for _, claim := range running {
		claim.State, claim.ChangedAt, claim.Revision, claim.Holder = StateUnknown, now, claim.Revision+1, c.holder
		actions = append(actions, c.journalChange(now, claim)...)
	}
	return actions
}

// journalChange appends a changed claim to the journal. The durable claim stays as it is
// until the entry is durable.
func (c *Claimer) journalChange(now time.Time, next Claim, waiters ...waitingRequest) []Action {
	data, err := json.Marshal(next)
	if err != nil {
		var actions []Action
		for _, w := range waiters {
			actions = append(actions, Refused{w.id, ReasonInvalid, err.Error(), 0})
		}
		return actions
	}
	c.lastToken++
	c.pending[c.lastToken] = &pendingChange{claim: next, waiters: waiters, deadline: now.Add(durableTimeout)}
	c.pendingTokens[next.claimID()] = c.lastToken
	return []Action{Append{c.lastToken, Entry{next.Shard, data}}}
}

func (c *Claimer) removePending(token uint64, p *pendingChange) {
	delete(c.pending, token)
	delete(c.pendingTokens, p.claim.claimID())
}

func (c *Claimer) storeDurable(claim Claim) {
	c.claims[claim.claimID()] = claim
	if c.unfolded[claim.Shard] == nil {
		c.unfolded[claim.Shard] = make(map[claimID]Claim)
	}
	c.unfolded[claim.Shard][claim.claimID()] = claim
}

func refuseAll(p *pendingChange) []Action {
	var actions []Action
	for _, w := range p.waiters {
		actions = append(actions, refuseNotDurable(w))
	}
	return actions
}

func refuseNotDurable(w waitingRequest) Refused {
	text := "the claim could not be made durable, the call must not be sent"
	if w.hasOutcome {
		text = "the outcome is not durable yet, send it again"
	}
	return Refused{w.id, ReasonPlatform, text, durableTimeout}
}
