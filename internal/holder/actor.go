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
	// grantCheckInterval is the interval of the check for grants of dead holders.
	grantCheckInterval = 3 * time.Second
	// maxTrackedReservations limits the request ids that are kept to answer retried calls.
	maxTrackedReservations = 100_000
)

// holderActor is the actor that owns the state of a holder.
type holderActor struct {
	h       *Holder
	budgets *budgeter.Holder
	journal *journaler.Journal

	token          budgeter.Token
	reserveCalls   map[budgeter.Token]reserveCall
	settleReplies  map[budgeter.Token]replyChan[bool]
	returnReplies  map[budgeter.Token]replyChan[int64]
	openByRequest  map[string]budgeter.Reservation // open reservations by request id
	requestIDs     map[reservationKey]string       // request id of an open reservation
	waiting        *waitlist
	expectedFormer map[int]string // dead holder that a pending takeover of the shard replaces
	updateAttempts map[int]int    // failed attempts of the pending update, by shard
	takeovers      map[takeoverKey]*takeover
	reclaim        *reclaimRunner
	claims         *claims

	platformUp     bool // whether the platform was reachable at the last call
	lastFold       time.Time
	lastGrantCheck time.Time // last check for grants of dead holders
	stopping       *handOverCall
	sealing        bool
}

type reservationKey struct {
	holder string
	shard  int
	number uint64
}

func keyOf(r budgeter.Reservation) reservationKey { return reservationKey{r.Holder, r.Shard, r.Number} }

func newHolderActor(h *Holder) *holderActor {
	return &holderActor{
		h: h,
		budgets: budgeter.New(budgeter.Config{
			Instance: h.cfg.Instance, Region: h.cfg.Region, Regions: len(h.cfg.Regions), MarkAhead: h.cfg.MarkAheadFraction,
		}),
		journal:        journaler.New(journaler.Config{Writer: h.cfg.Instance, Slots: h.cfg.JournalSlots, FlushInterval: h.cfg.FlushInterval}),
		reserveCalls:   make(map[budgeter.Token]reserveCall),
		settleReplies:  make(map[budgeter.Token]replyChan[bool]),
		returnReplies:  make(map[budgeter.Token]replyChan[int64]),
		openByRequest:  make(map[string]budgeter.Reservation),
		requestIDs:     make(map[reservationKey]string),
		waiting:        newWaitlist(),
		expectedFormer: make(map[int]string),
		updateAttempts: make(map[int]int),
		takeovers:      make(map[takeoverKey]*takeover),
		reclaim:        newReclaimRunner(h.cfg),
		claims:         newClaims(h.cfg.Instance),
		platformUp:     true,
		lastFold:       time.Now(),
		lastGrantCheck: time.Now(),
	}
}

// Receive handles one message of the actor.
func (ha *holderActor) Receive(ctx actor.Context) {
	now := time.Now()
	switch m := ctx.Message().(type) {
	case reserveCall:
		ha.reserve(now, m)
	case settleCall:
		ha.settle(now, m)
	case returnCall:
		ha.returnTokens(now, m)
	case statusCall:
		m.reply.send(ha.status(), nil)
	case handOverCall:
		ha.startHandOver(now, m)
	case tick:
		ha.tick(now)
	case slotWritten:
		ha.slotWritten(now, m)
	case slotRead:
		ha.slotRead(now, m)
	case objectRead:
		ha.objectRead(now, m)
	case objectWritten:
		ha.objectWritten(now, m)
	case holderLookedUp:
		ha.holderLookedUp(now, m)
	case claimCall:
		ha.claim(now, m)
	case concludeCall:
		ha.conclude(now, m)
	case claimsAcquired:
		ha.claimsAcquired(now, m)
	case claimsFolded:
		ha.claimsFolded(now, m)
	case formerHolderDead:
		if ha.budgets.Holds(m.key.shard) {
			ha.startTakeover(now, m.key.shard, m.key.instance)
		}
	case returnsCollected:
		ha.performBudgetActions(now, ha.budgets.RegionsAnswered(m.shard, m.budget))
	case takeoverResult:
		ha.takeoverResult(now, m)
	case reclaimResult:
		ha.performReclaimActions(now, m.apply(now, ha.reclaim.state))
	}
}

func (ha *holderActor) nextToken() budgeter.Token {
	ha.token++
	return ha.token
}

func (ha *holderActor) reserve(now time.Time, m reserveCall) {
	if r, ok := ha.openByRequest[m.id]; ok && m.id != "" {
		m.reply.send(r, nil)
		return
	}
	if !ha.ensureShardHeld(now, m.req.Shard, m) {
		return
	}
	token := ha.nextToken()
	ha.reserveCalls[token] = m
	ha.performBudgetActions(now, ha.budgets.Reserve(now, token, m.req))
}

func (r replyChan[T]) fail(err error) {
	var zero T
	r.send(zero, err)
}

func (ha *holderActor) settle(now time.Time, m settleCall) {
	r := m.charge.Reservation
	if r.Holder != ha.h.cfg.Instance && !ha.ensureShardHeld(now, r.Shard, m) {
		return
	}
	ha.dropReservation(r)
	if r.Holder == ha.h.cfg.Instance {
		ha.reclaim.state.ReservationConcluded(r.Number)
	}
	if m.charge.Tokens == 0 {
		ha.performBudgetActions(now, ha.budgets.Release(now, r))
		m.reply.send(false, nil)
		return
	}
	token := ha.nextToken()
	ha.settleReplies[token] = m.reply
	ha.performBudgetActions(now, ha.budgets.Settle(now, token, m.charge))
}

func (ha *holderActor) dropReservation(r budgeter.Reservation) {
	if id, ok := ha.requestIDs[keyOf(r)]; ok {
		delete(ha.requestIDs, keyOf(r))
		delete(ha.openByRequest, id)
	}
}

func (ha *holderActor) returnTokens(now time.Time, m returnCall) {
	token := ha.nextToken()
	ha.returnReplies[token] = m.reply
	ha.performBudgetActions(now, ha.budgets.Return(now, token, int(m.request.GetShard()), m.request.GetBudget(), m.request.GetTokens()))
}

// ensureShardHeld reports whether this instance holds a shard. If not, it queues the
// call until the shard is acquired or its holder is known.
func (ha *holderActor) ensureShardHeld(now time.Time, shard int, c pendingCall) bool {
	if ha.budgets.Holds(shard) {
		return true
	}
	ha.queueCall(now, ha.waiting, shard, c, func(ctx context.Context) any { return ha.h.lookUpHolder(ctx, shard) })
	return false
}

func (ha *holderActor) holderLookedUp(now time.Time, m holderLookedUp) {
	switch {
	case m.err != nil:
		ha.updatePlatformState(now, m.err)
		ha.waiting.failCalls(m.shard, &connector.RefusedError{
			Reason: string(budgeter.ReasonPlatform), Text: "the holder of the budget cannot be found, the platform is not reachable", RetryAfter: 5 * time.Second,
		})
	case m.holder.Name != "":
		ha.waiting.redirectCalls(now, m.shard, m.holder)
	default:
		ha.expectedFormer[m.shard] = m.former
		ha.performBudgetActions(now, ha.budgets.Acquire(m.shard))
	}
}

// updatePlatformState updates whether the platform is reachable from the result of a
// platform call.
func (ha *holderActor) updatePlatformState(now time.Time, err error) {
	up := !errors.Is(err, storer.ErrUnavailable) && !errors.Is(err, storer.ErrUncertain)
	if up == ha.platformUp {
		return
	}
	ha.platformUp = up
	ha.h.log.Info().Bool("up", up).Msg("platform reachability changed")
	ha.performBudgetActions(now, ha.budgets.SetPlatformReachable(now, up))
}

func (ha *holderActor) tick(now time.Time) {
	ha.performBudgetActions(now, ha.budgets.Tick(now))
	ha.performJournalActions(now, ha.journal.Tick(now))
	for _, t := range ha.takeovers {
		t.tick(now)
	}
	ha.reclaimTick(now)
	ha.performClaimActions(now, ha.claims.state.Tick(now))
	if now.Sub(ha.lastGrantCheck) >= grantCheckInterval {
		ha.lastGrantCheck = now
		ha.checkOrphanedGrants()
		ha.reportTokenGauges()
	}
	if now.Sub(ha.lastFold) >= ha.h.cfg.FoldInterval || ha.journal.FoldDue() && now.Sub(ha.lastFold) >= time.Second {
		ha.lastFold = now
		ha.foldJournal(now)
	}
}

// foldJournal writes the state that is only in the journal to the shard and claim
// objects.
func (ha *holderActor) foldJournal(now time.Time) {
	for _, shard := range ha.journal.Unfolded() {
		if shard >= claimShardOffset {
			ha.foldClaims(now, shard-claimShardOffset, ha.h.cfg.Instance)
			continue
		}
		ha.performBudgetActions(now, ha.budgets.Fold(shard))
	}
}

func (ha *holderActor) startHandOver(now time.Time, m handOverCall) {
	ha.stopping = &m
	for _, shard := range ha.budgets.Shards() {
		ha.performBudgetActions(now, ha.budgets.HandOver(now, shard))
	}
	ha.handOverClaims(now)
	ha.performJournalActions(now, ha.journal.Flush())
	ha.finishStop(now)
}

// finishStop seals the journal once all shards are handed over.
func (ha *holderActor) finishStop(_ time.Time) {
	if ha.stopping == nil || ha.sealing || len(ha.budgets.Shards()) > 0 || len(ha.claims.held) > 0 {
		return
	}
	ha.sealing = true
	ha.performJournalActions(time.Now(), ha.journal.Seal(sealToken))
}

// sealToken identifies the seal of this instance's own journal. The tokens of the
// budgeter count from 1 and never reach it.
const sealToken journaler.Token = 1 << 63
