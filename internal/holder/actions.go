package holder

import (
	"time"

	"daisylane/internal/budgeter"
	"daisylane/internal/connector"
	"daisylane/internal/journaler"
	"daisylane/internal/reporter"
)

// performBudgetActions performs the actions that the budgeter requests.
func (ha *holderActor) performBudgetActions(now time.Time, actions []budgeter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case budgeter.Granted:
			ha.replyGranted(now, a)
		case budgeter.Refused:
			ha.replyRefused(a)
		case budgeter.Settled:
			ha.countCharge(a)
			if reply, ok := ha.settleReplies[a.Token]; ok {
				delete(ha.settleReplies, a.Token)
				reply.send(a.Duplicate, nil)
			}
		case budgeter.Returned:
			if reply, ok := ha.returnReplies[a.Token]; ok {
				delete(ha.returnReplies, a.Token)
				reply.send(a.Tokens, nil)
			}
		case budgeter.Append:
			if a.Deferrable {
				ha.performJournalActions(now, ha.journal.AppendDeferred(a.Token, a.Entries...))
				continue
			}
			ha.performJournalActions(now, ha.journal.Append(a.Token, a.Entries...))
		case budgeter.Update:
			ha.updateAttempts[a.Shard] = 0
			ha.readObject(a.Shard)
		case budgeter.AskRegions:
			ha.requestReturns(a)
		case budgeter.Folded:
			ha.h.scope.Counter(reporter.Folds).Inc(1)
			ha.performJournalActions(now, ha.journal.Folded(a.Shard, a.Seq))
		case budgeter.Acquired:
			ha.shardHeld(now, a)
		case budgeter.FormerClosed:
			ha.formerHolderClosed(now, a)
		case budgeter.HandedOver:
			ha.h.log.Info().Int("shard", a.Shard).Msg("shard handed over")
			ha.dropTakeovers(a.Shard)
			ha.finishStop(now)
		case budgeter.Fenced:
			ha.journal.Stop()
			ha.journalLost(journaler.Ended{})
		}
	}
}

func (ha *holderActor) replyGranted(now time.Time, a budgeter.Granted) {
	m, ok := ha.reserveCalls[a.Token]
	if !ok {
		return
	}
	delete(ha.reserveCalls, a.Token)
	ha.reclaim.state.ReservationOpened(now, a.Reservation, m.remaining)
	if m.id != "" && len(ha.openByRequest) < maxTrackedReservations {
		ha.openByRequest[m.id] = a.Reservation
		ha.requestIDs[keyOf(a.Reservation)] = m.id
	}
	m.reply.send(a.Reservation, nil)
}

func (ha *holderActor) replyRefused(a budgeter.Refused) {
	if m, ok := ha.reserveCalls[a.Token]; ok {
		delete(ha.reserveCalls, a.Token)
		ha.h.scope.Tagged(map[string]string{"result": string(a.Err.Reason)}).Counter(reporter.Reservations).Inc(1)
		m.reply.fail(connectorRefusal(a.Err))
	}
	if reply, ok := ha.settleReplies[a.Token]; ok {
		delete(ha.settleReplies, a.Token)
		reply.fail(connectorRefusal(a.Err))
	}
}

func (ha *holderActor) shardHeld(now time.Time, a budgeter.Acquired) {
	ha.h.log.Info().Int("shard", a.Shard).Uint64("term", a.Holder.Term).Strs("former", a.FormerHolders).Msg("shard acquired")
	ha.h.scope.Gauge(reporter.HeldShards).Update(float64(len(ha.budgets.Shards())))
	for _, name := range a.FormerHolders {
		ha.startTakeover(now, a.Shard, name)
	}
	ha.retryCalls(now, ha.waiting, a.Shard)
}

// performJournalActions performs the actions that the journal requests.
func (ha *holderActor) performJournalActions(now time.Time, actions []journaler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case journaler.WriteSlot:
			ha.writeSlot(a)
		case journaler.ReadSlot:
			ha.readSlot(a)
		case journaler.Durable:
			ha.durable(now, a)
		case journaler.Ended:
			ha.journalLost(a)
		}
	}
}

func (ha *holderActor) durable(now time.Time, a journaler.Durable) {
	tokens := a.Tokens[:0:0]
	for _, t := range a.Tokens {
		switch {
		case t == sealToken:
			ha.stopping.reply.send(struct{}{}, nil)
		case t >= claimTokenBase:
			ha.performClaimActions(now, ha.claims.state.AppendDurable(now, uint64(t-claimTokenBase)))
		default:
			tokens = append(tokens, t)
		}
	}
	ha.performBudgetActions(now, ha.budgets.AppendsDurable(now, a.Seq, tokens))
}

// journalLost gives up all shards and claims after a successor has sealed the journal.
func (ha *holderActor) journalLost(a journaler.Ended) {
	if ha.sealing {
		return // this instance sealed its journal itself
	}
	ha.h.log.Warn().Str("sealer", a.Sealer).Msg("journal sealed by a successor")
	ha.performBudgetActions(time.Now(), ha.budgets.JournalLost())
	err := &connector.RefusedError{Reason: "stopping", Text: "the instance lost its shards", RetryAfter: 250 * time.Millisecond}
	for shard := range ha.waiting.calls {
		ha.waiting.failCalls(shard, err)
	}
	ha.reclaim.state.Stop()
	ha.releaseAllClaims()
	if ha.stopping != nil {
		ha.stopping.reply.fail(ErrStopped)
	}
	go ha.h.onSealed(a.Sealer)
}
