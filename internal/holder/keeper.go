package holder

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"

	"daisylane/internal/budgeter"
	"daisylane/internal/connector"
	"daisylane/internal/journaler"
	"daisylane/internal/storer"
)

const (
	// checkInterval is how often grants of other instances are checked.
	checkInterval = 3 * time.Second
	// maxReservations bounds the request ids that are kept to answer repeated calls.
	maxReservations = 100_000
)

// keeper is the actor that owns the decision state of a holder.
type keeper struct {
	h       *Holder
	budgets *budgeter.Holder
	journal *journaler.Journal

	token     budgeter.Token
	reserves  map[budgeter.Token]reserve
	settles   map[budgeter.Token]replyTo[bool]
	gives     map[budgeter.Token]replyTo[int64]
	granted   map[string]budgeter.Reservation // open reservations by request id
	owners    map[reservationKey]string       // request id of an open reservation
	waiting   *waitlist
	expected  map[int]string // dead holder that a pending hold replaces
	conflicts map[int]int    // tries of the pending update
	takeovers map[takeoverKey]*takeover
	reclaim   *reclaim
	claims    *claims

	up        bool // whether the platform answered last
	foldedAt  time.Time
	checkedAt time.Time // last look for grants of dead holders
	stopping  *handOver
	sealing   bool
}

type reservationKey struct {
	holder string
	shard  int
	number uint64
}

func keyOf(r budgeter.Reservation) reservationKey { return reservationKey{r.Holder, r.Shard, r.Number} }

func newKeeper(h *Holder) *keeper {
	return &keeper{
		h: h,
		budgets: budgeter.New(budgeter.Config{
			Instance: h.cfg.Instance, Region: h.cfg.Region, Regions: len(h.cfg.Regions), Ahead: h.cfg.Ahead,
		}),
		journal:   journaler.New(journaler.Config{Writer: h.cfg.Instance, Slots: h.cfg.Slots, Flush: h.cfg.Flush}),
		reserves:  make(map[budgeter.Token]reserve),
		settles:   make(map[budgeter.Token]replyTo[bool]),
		gives:     make(map[budgeter.Token]replyTo[int64]),
		granted:   make(map[string]budgeter.Reservation),
		owners:    make(map[reservationKey]string),
		waiting:   newWaitlist(),
		expected:  make(map[int]string),
		conflicts: make(map[int]int),
		takeovers: make(map[takeoverKey]*takeover),
		reclaim:   newReclaim(h.cfg),
		claims:    newClaims(h.cfg.Instance),
		up:        true,
		foldedAt:  time.Now(),
		checkedAt: time.Now(),
	}
}

// Receive handles one message of the actor.
func (k *keeper) Receive(ctx actor.Context) {
	now := time.Now()
	switch m := ctx.Message().(type) {
	case reserve:
		k.reserve(now, m)
	case settle:
		k.settle(now, m)
	case giveBack:
		k.giveBack(now, m)
	case status:
		m.reply.send(k.status(), nil)
	case handOver:
		k.handOver(now, m)
	case tick:
		k.tick(now)
	case slotWritten:
		k.slotWritten(now, m)
	case slotRead:
		k.slotRead(now, m)
	case objectRead:
		k.objectRead(now, m)
	case objectWritten:
		k.objectWritten(now, m)
	case tenureRead:
		k.tenureRead(now, m)
	case claim:
		k.claim(now, m)
	case conclude:
		k.conclude(now, m)
	case claimsRead:
		k.claimsRead(now, m)
	case claimsFolded:
		k.claimsFolded(now, m)
	case holderLost:
		if k.budgets.Holds(m.key.shard) {
			k.takeOver(now, m.key.shard, m.key.instance)
		}
	case regionsAsked:
		k.carryOut(now, k.budgets.Asked(m.shard, m.budget))
	case takeoverResult:
		k.takeoverResult(now, m)
	case reclaimResult:
		k.reclaimActions(now, m.apply(now, k.reclaim.state))
	}
}

func (k *keeper) nextToken() budgeter.Token {
	k.token++
	return k.token
}

func (k *keeper) reserve(now time.Time, m reserve) {
	if r, ok := k.granted[m.id]; ok && m.id != "" {
		m.reply.send(r, nil)
		return
	}
	if !k.holds(now, m.req.Shard, m) {
		return
	}
	token := k.nextToken()
	k.reserves[token] = m
	k.carryOut(now, k.budgets.Reserve(now, token, m.req))
}

func (r replyTo[T]) fail(err error) {
	var zero T
	r.send(zero, err)
}

func (k *keeper) settle(now time.Time, m settle) {
	r := m.charge.Reservation
	if r.Holder != k.h.cfg.Instance && !k.holds(now, r.Shard, m) {
		return
	}
	k.forget(r)
	if r.Holder == k.h.cfg.Instance {
		k.reclaim.state.Concluded(r.Number)
	}
	if m.charge.Tokens == 0 {
		k.carryOut(now, k.budgets.Release(now, r))
		m.reply.send(false, nil)
		return
	}
	token := k.nextToken()
	k.settles[token] = m.reply
	k.carryOut(now, k.budgets.Settle(now, token, m.charge))
}

func (k *keeper) forget(r budgeter.Reservation) {
	if id, ok := k.owners[keyOf(r)]; ok {
		delete(k.owners, keyOf(r))
		delete(k.granted, id)
	}
}

func (k *keeper) giveBack(now time.Time, m giveBack) {
	token := k.nextToken()
	k.gives[token] = m.reply
	k.carryOut(now, k.budgets.Return(now, token, int(m.m.GetShard()), m.m.GetBudget(), m.m.GetTokens()))
}

// holds reports whether this instance holds a shard. Otherwise the call waits until
// it is known who does.
func (k *keeper) holds(now time.Time, shard int, c call) bool {
	if k.budgets.Holds(shard) {
		return true
	}
	k.await(now, k.waiting, shard, c, func(ctx context.Context) any { return k.h.readTenure(ctx, shard) })
	return false
}

func (k *keeper) tenureRead(now time.Time, m tenureRead) {
	switch {
	case m.err != nil:
		k.platform(now, m.err)
		k.waiting.refuse(m.shard, &connector.RefusedError{
			Reason: string(budgeter.ReasonPlatform), Text: "the holder of the budget cannot be found, the platform is not reachable", After: 5 * time.Second,
		})
	case m.holder.Name != "":
		k.waiting.redirect(now, m.shard, m.holder)
	default:
		k.expected[m.shard] = m.former
		k.carryOut(now, k.budgets.Hold(m.shard))
	}
}

// platform learns from the result of a platform call whether it is reachable.
func (k *keeper) platform(now time.Time, err error) {
	up := !errors.Is(err, storer.ErrUnavailable) && !errors.Is(err, storer.ErrUncertain)
	if up == k.up {
		return
	}
	k.up = up
	k.h.log.Info().Bool("up", up).Msg("platform reachability changed")
	k.carryOut(now, k.budgets.Platform(now, up))
}

func (k *keeper) tick(now time.Time) {
	k.carryOut(now, k.budgets.Tick(now))
	k.journalActions(now, k.journal.Tick(now))
	for _, t := range k.takeovers {
		t.tick(now)
	}
	k.reclaimTick(now)
	k.claimActions(now, k.claims.state.Tick(now))
	if now.Sub(k.checkedAt) >= checkInterval {
		k.checkedAt = now
		k.checkGrants()
		k.reportAmounts()
	}
	if now.Sub(k.foldedAt) >= k.h.cfg.Fold || k.journal.Crowded() && now.Sub(k.foldedAt) >= time.Second {
		k.foldedAt = now
		k.fold(now)
	}
}

// fold brings what only the journal has into the platform's objects.
func (k *keeper) fold(now time.Time) {
	for _, shard := range k.journal.Unfolded() {
		if shard >= claimOffset {
			k.foldClaims(now, shard-claimOffset, k.h.cfg.Instance)
			continue
		}
		k.carryOut(now, k.budgets.Fold(shard))
	}
}

func (k *keeper) handOver(now time.Time, m handOver) {
	k.stopping = &m
	for _, shard := range k.budgets.Shards() {
		k.carryOut(now, k.budgets.HandOver(now, shard))
	}
	k.handOverClaims(now)
	k.journalActions(now, k.journal.Flush())
	k.finishStop(now)
}

// finishStop seals the journal once all shards are handed over.
func (k *keeper) finishStop(_ time.Time) {
	if k.stopping == nil || k.sealing || len(k.budgets.Shards()) > 0 || len(k.claims.held) > 0 {
		return
	}
	k.sealing = true
	k.journalActions(time.Now(), k.journal.Seal(sealToken))
}

// sealToken marks the own seal among the appends of the budgeter, which count from 1.
const sealToken journaler.Token = 1 << 63
