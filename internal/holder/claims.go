package holder

import (
	"context"
	"time"

	"daisylane/internal/claimer"
	"daisylane/internal/connector"
	"daisylane/internal/journaler"
	"daisylane/internal/reporter"
	"daisylane/internal/wirepb"
)

const (
	// claimShardOffset is added to the number of a claim shard in journal entries, to
	// distinguish it from the budget shard with the same number.
	claimShardOffset = 1 << 20
	// claimTokenBase is added to the journal tokens of claims, to distinguish them
	// from those of the budgeter.
	claimTokenBase journaler.Token = 1 << 62

	maxClaimAttempts = 5
	// outageRetryAfter is the retry time given to callers during a platform outage.
	outageRetryAfter = 5 * time.Second
)

// claims is the state of the shards whose claim object names this instance as
// holder. A shard's claims can have another holder than its budgets, so that after
// a bundle has changed an account's home region a key still finds its earlier claim.
type claims struct {
	state           *claimer.Claimer
	held            map[int]bool
	waiting         *waitlist
	claimReplies    map[string][]replyChan[*wirepb.Claimed] // by request id
	concludeReplies map[string][]replyChan[struct{}]
	folding         map[int]bool
}

func newClaims(instance string) *claims {
	return &claims{
		state:           claimer.New(instance),
		held:            make(map[int]bool),
		waiting:         newWaitlist(),
		claimReplies:    make(map[string][]replyChan[*wirepb.Claimed]),
		concludeReplies: make(map[string][]replyChan[struct{}]),
		folding:         make(map[int]bool),
	}
}

func (ha *holderActor) claim(now time.Time, m claimCall) {
	if !ha.ensureClaimsHeld(now, m.req.Shard, m) {
		return
	}
	if _, known := ha.claims.state.Get(m.req.Account, m.req.Service, m.req.Key); !known && !ha.platformUp {
		// A new claim cannot become durable during an outage, so refuse it at once.
		m.reply.fail(&connector.RefusedError{
			Reason: claimer.ReasonPlatform, Text: "the platform is not reachable, the call was not sent", RetryAfter: outageRetryAfter,
		})
		return
	}
	ha.claims.claimReplies[m.req.ID] = append(ha.claims.claimReplies[m.req.ID], m.reply)
	ha.performClaimActions(now, ha.claims.state.Claim(now, m.req))
}

func (ha *holderActor) conclude(now time.Time, m concludeCall) {
	if !ha.ensureClaimsHeld(now, m.shard, m) {
		return
	}
	ha.claims.concludeReplies[m.outcome.ID] = append(ha.claims.concludeReplies[m.outcome.ID], m.reply)
	ha.performClaimActions(now, ha.claims.state.Conclude(now, m.outcome))
}

// ensureClaimsHeld reports whether this instance holds the claims of a shard. If not,
// it queues the call until the claims are acquired or their holder is known.
func (ha *holderActor) ensureClaimsHeld(now time.Time, shard int, c pendingCall) bool {
	if ha.claims.held[shard] {
		return true
	}
	ha.queueCall(now, ha.claims.waiting, shard, c, func(ctx context.Context) any { return ha.h.acquireClaims(ctx, shard) })
	return false
}

func (ha *holderActor) claimsAcquired(now time.Time, m claimsAcquired) {
	c := ha.claims
	switch {
	case m.err != nil:
		ha.updatePlatformState(now, m.err)
		ha.h.log.Warn().Int("shard", m.shard).Err(m.err).Msg("acquiring claims failed")
		c.waiting.failCalls(m.shard, &connector.RefusedError{
			Reason: "platform", Text: "the claim cannot be made durable, the platform is not reachable", RetryAfter: 5 * time.Second,
		})
	case m.holder.Name != "":
		c.waiting.redirectCalls(now, m.shard, m.holder)
	case ha.stopping != nil || ha.journal.Stopped():
		c.waiting.failCalls(m.shard, errStopping)
	default:
		ha.h.log.Info().Int("shard", m.shard).Int("claims", len(m.object.Claims)).Msg("claims acquired")
		c.held[m.shard] = true
		c.state.Load(m.object)
		ha.retryCalls(now, c.waiting, m.shard)
	}
}

// performClaimActions performs the actions that the claimer requests.
func (ha *holderActor) performClaimActions(now time.Time, actions []claimer.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claimer.Append:
			entry := journaler.Entry{Kind: journaler.KindClaim, Shard: claimShardOffset + a.Entry.Shard, Data: a.Entry.Data}
			ha.performJournalActions(now, ha.journal.Append(claimTokenBase+journaler.Token(a.Token), entry))
		case claimer.Answer:
			ha.h.scope.Tagged(map[string]string{"state": string(a.State)}).Counter(reporter.Claims).Inc(1)
			replyAll(ha.claims.claimReplies, a.ID, claimedMessage(a), nil)
		case claimer.Concluded:
			replyAll(ha.claims.concludeReplies, a.ID, struct{}{}, nil)
		case claimer.Refused:
			err := &connector.RefusedError{Reason: a.Reason, Text: a.Text, RetryAfter: a.RetryAfter}
			replyAll(ha.claims.claimReplies, a.ID, nil, err)
			replyAll(ha.claims.concludeReplies, a.ID, struct{}{}, err)
		}
	}
}

func replyAll[T any](waiting map[string][]replyChan[T], id string, value T, err error) {
	for _, reply := range waiting[id] {
		reply.send(value, err)
	}
	delete(waiting, id)
}

func claimedMessage(a claimer.Answer) *wirepb.Claimed {
	return &wirepb.Claimed{
		State: string(a.State), Status: uint32(a.Claim.Status), Payload: a.Claim.Payload,
		Header: a.Claim.Header, Request: a.Claim.Request,
	}
}

// releaseAllClaims gives up all claims after a successor has sealed the journal, and
// refuses the calls that wait for them.
func (ha *holderActor) releaseAllClaims() {
	now := time.Now()
	for shard := range ha.claims.held {
		delete(ha.claims.held, shard)
		ha.performClaimActions(now, ha.claims.state.DropShard(shard))
	}
}
