package holder

import (
	"time"

	"daisylane/internal/budgeter"
	"daisylane/internal/connector"
	"daisylane/internal/journaler"
	"daisylane/internal/reporter"
)

// carryOut performs the actions of the budgeter.
func (k *keeper) carryOut(now time.Time, actions []budgeter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case budgeter.Granted:
			k.grant(now, a)
		case budgeter.Refused:
			k.refuse(a)
		case budgeter.Settled:
			k.countCharge(a)
			if reply, ok := k.settles[a.Token]; ok {
				delete(k.settles, a.Token)
				reply.send(a.Duplicate, nil)
			}
		case budgeter.Returned:
			if reply, ok := k.gives[a.Token]; ok {
				delete(k.gives, a.Token)
				reply.send(a.Tokens, nil)
			}
		case budgeter.Append:
			if a.Lazy {
				k.journalActions(now, k.journal.Defer(a.Token, a.Entries...))
				continue
			}
			k.journalActions(now, k.journal.Append(a.Token, a.Entries...))
		case budgeter.Update:
			k.conflicts[a.Shard] = 0
			k.readObject(a.Shard)
		case budgeter.Ask:
			k.askRegions(a)
		case budgeter.Folded:
			k.h.scope.Counter(reporter.Folds).Inc(1)
			k.journalActions(now, k.journal.Folded(a.Shard, a.Seq))
		case budgeter.Held:
			k.held(now, a)
		case budgeter.Closed:
			k.closed(now, a)
		case budgeter.Left:
			k.h.log.Info().Int("shard", a.Shard).Msg("shard handed over")
			k.forgetTakeovers(a.Shard)
			k.finishStop(now)
		case budgeter.Fenced:
			k.journal.Stop()
			k.lost(journaler.Stop{})
		}
	}
}

func (k *keeper) grant(now time.Time, a budgeter.Granted) {
	m, ok := k.reserves[a.Token]
	if !ok {
		return
	}
	delete(k.reserves, a.Token)
	k.reclaim.state.Opened(now, a.Reservation, m.left)
	if m.id != "" && len(k.granted) < maxReservations {
		k.granted[m.id] = a.Reservation
		k.owners[keyOf(a.Reservation)] = m.id
	}
	m.reply.send(a.Reservation, nil)
}

func (k *keeper) refuse(a budgeter.Refused) {
	if m, ok := k.reserves[a.Token]; ok {
		delete(k.reserves, a.Token)
		k.h.scope.Tagged(map[string]string{"result": string(a.Err.Reason)}).Counter(reporter.Reservations).Inc(1)
		m.reply.fail(refusal(a.Err))
	}
	if reply, ok := k.settles[a.Token]; ok {
		delete(k.settles, a.Token)
		reply.fail(refusal(a.Err))
	}
}

func (k *keeper) held(now time.Time, a budgeter.Held) {
	k.h.log.Info().Int("shard", a.Shard).Uint64("term", a.Tenure.Term).Strs("former", a.Former).Msg("shard held")
	k.h.scope.Gauge(reporter.HeldShards).Update(float64(len(k.budgets.Shards())))
	for _, name := range a.Former {
		k.takeOver(now, a.Shard, name)
	}
	k.resume(now, k.waiting, a.Shard)
}

// journalActions performs the actions of the journal.
func (k *keeper) journalActions(now time.Time, actions []journaler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case journaler.Write:
			k.writeSlot(a)
		case journaler.Read:
			k.readSlot(a)
		case journaler.Durable:
			k.durable(now, a)
		case journaler.Stop:
			k.lost(a)
		}
	}
}

func (k *keeper) durable(now time.Time, a journaler.Durable) {
	tokens := a.Tokens[:0:0]
	for _, t := range a.Tokens {
		switch {
		case t == sealToken:
			k.stopping.reply.send(struct{}{}, nil)
		case t >= claimToken:
			k.claimActions(now, k.claims.state.Durable(now, uint64(t-claimToken)))
		default:
			tokens = append(tokens, t)
		}
	}
	k.carryOut(now, k.budgets.Durable(now, a.Seq, tokens))
}

// lost ends all holding: a successor has sealed the journal.
func (k *keeper) lost(a journaler.Stop) {
	if k.sealing {
		return // the own seal
	}
	k.h.log.Warn().Str("sealer", a.Sealer).Msg("journal sealed by a successor")
	k.carryOut(time.Now(), k.budgets.Stop())
	err := &connector.RefusedError{Reason: "stopping", Text: "the instance lost its shards", After: 250 * time.Millisecond}
	for shard := range k.waiting.calls {
		k.waiting.refuse(shard, err)
	}
	k.reclaim.state.Stop()
	k.loseClaims()
	if k.stopping != nil {
		k.stopping.reply.fail(ErrStopped)
	}
	go k.h.sealed(a.Sealer)
}
