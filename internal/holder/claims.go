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
	// claimOffset separates the claim shards from the budget shards in the journal.
	claimOffset = 1 << 20
	// claimToken separates the appends of claims from those of the budgeter.
	claimToken journaler.Token = 1 << 62

	maxClaimTries = 5
	// outageBack is the time to come back while the platform is not reachable.
	outageBack = 5 * time.Second
)

// claims are the claims of the shards whose claim object names this instance as
// holder. They are independent of the hold of the budgets, so that a bundle can
// change an account's home region and a key still meets its former claim.
type claims struct {
	state     *claimer.Claimer
	held      map[int]bool
	waiting   *waitlist
	answers   map[string][]replyTo[*wirepb.Claimed] // by request id
	concludes map[string][]replyTo[struct{}]
	folding   map[int]bool
}

func newClaims(instance string) *claims {
	return &claims{
		state:     claimer.New(instance),
		held:      make(map[int]bool),
		waiting:   newWaitlist(),
		answers:   make(map[string][]replyTo[*wirepb.Claimed]),
		concludes: make(map[string][]replyTo[struct{}]),
		folding:   make(map[int]bool),
	}
}

func (k *keeper) claim(now time.Time, m claim) {
	if !k.holdsClaims(now, m.req.Shard, m) {
		return
	}
	if _, known := k.claims.state.Get(m.req.Account, m.req.Service, m.req.Key); !known && !k.up {
		// A new claim cannot become durable, so there is nothing to wait for.
		m.reply.fail(&connector.RefusedError{
			Reason: claimer.Platform, Text: "the platform is not reachable, the call was not sent", After: outageBack,
		})
		return
	}
	k.claims.answers[m.req.ID] = append(k.claims.answers[m.req.ID], m.reply)
	k.claimActions(now, k.claims.state.Claim(now, m.req))
}

func (k *keeper) conclude(now time.Time, m conclude) {
	if !k.holdsClaims(now, m.shard, m) {
		return
	}
	k.claims.concludes[m.outcome.ID] = append(k.claims.concludes[m.outcome.ID], m.reply)
	k.claimActions(now, k.claims.state.Conclude(now, m.outcome))
}

// holdsClaims reports whether this instance keeps the claims of a shard. Otherwise
// the call waits until they are taken or it is known who does.
func (k *keeper) holdsClaims(now time.Time, shard int, c call) bool {
	if k.claims.held[shard] {
		return true
	}
	k.await(now, k.claims.waiting, shard, c, func(ctx context.Context) any { return k.h.takeClaims(ctx, shard) })
	return false
}

func (k *keeper) claimsRead(now time.Time, m claimsRead) {
	c := k.claims
	switch {
	case m.err != nil:
		k.platform(now, m.err)
		k.h.log.Warn().Int("shard", m.shard).Err(m.err).Msg("claims not taken")
		c.waiting.refuse(m.shard, &connector.RefusedError{
			Reason: "platform", Text: "the claim cannot be made durable, the platform is not reachable", After: 5 * time.Second,
		})
	case m.holder.Name != "":
		c.waiting.redirect(now, m.shard, m.holder)
	case k.stopping != nil || k.journal.Stopped():
		c.waiting.refuse(m.shard, errStopping)
	default:
		k.h.log.Info().Int("shard", m.shard).Int("claims", len(m.object.Claims)).Msg("claims held")
		c.held[m.shard] = true
		c.state.Load(m.object)
		k.resume(now, c.waiting, m.shard)
	}
}

// claimActions performs the actions of the claimer.
func (k *keeper) claimActions(now time.Time, actions []claimer.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claimer.Append:
			entry := journaler.Entry{Kind: journaler.KindClaim, Shard: claimOffset + a.Entry.Shard, Data: a.Entry.Data}
			k.journalActions(now, k.journal.Append(claimToken+journaler.Token(a.Token), entry))
		case claimer.Answer:
			k.h.scope.Tagged(map[string]string{"state": string(a.State)}).Counter(reporter.Claims).Inc(1)
			sendAll(k.claims.answers, a.ID, claimedMessage(a), nil)
		case claimer.Concluded:
			sendAll(k.claims.concludes, a.ID, struct{}{}, nil)
		case claimer.Refuse:
			err := &connector.RefusedError{Reason: a.Reason, Text: a.Text, After: a.After}
			sendAll(k.claims.answers, a.ID, nil, err)
			sendAll(k.claims.concludes, a.ID, struct{}{}, err)
		}
	}
}

func sendAll[T any](waiting map[string][]replyTo[T], id string, value T, err error) {
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

// loseClaims refuses all calls after the journal was sealed by a successor.
func (k *keeper) loseClaims() {
	now := time.Now()
	for shard := range k.claims.held {
		delete(k.claims.held, shard)
		k.claimActions(now, k.claims.state.Release(shard))
	}
}
