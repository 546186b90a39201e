package recoverer

import (
	"maps"
	"slices"
	"time"

	"daisylane/internal/budgeter"
	"daisylane/internal/journaler"
)

// New returns a recovery that has not started.
func New(cfg Config) *Recovery {
	return &Recovery{
		cfg:               cfg,
		sides:             make(map[string]*side),
		releasedShards:    make(map[int]bool),
		operatorConfirmed: make(map[string]bool),
	}
}

// Start starts the recovery with a listing of the journal.
func (r *Recovery) Start() []Action { return r.requestSlots() }

// JournalListed reports the slots of the journal after [ListJournal].
func (r *Recovery) JournalListed(slots []journaler.Slot) []Action {
	if r.step != stepSeal {
		return nil
	}
	log, err := journaler.Replay(r.cfg.Instance, r.cfg.JournalSlots, slots)
	if err != nil { // a record was written during the listing, list again
		r.failedCall = ListJournal{Prefix: journaler.SlotPrefix(r.cfg.Instance)}
		return nil
	}
	r.log = log
	if !log.Sealed {
		return []Action{WriteSeal{Write: log.SealWrite(r.cfg.Successor)}}
	}
	return r.Sealed()
}

// Sealed reports that the seal was written. The last listing is complete then, because
// the seal is a conditional write to the slot after the last listed record.
func (r *Recovery) Sealed() []Action {
	if r.step != stepSeal {
		return nil
	}
	r.step = stepClosure
	var actions []Action
	for _, shard := range r.cfg.Shards {
		actions = append(actions, ReplayJournal{Shard: shard, Log: r.log})
	}
	return append(actions, WriteClosure{Key: ClosureKey(r.cfg.Instance)})
}

// SealFailed reports that the write of the seal conflicted or that its response was
// lost. The journal is listed again.
func (r *Recovery) SealFailed() []Action {
	if r.step != stepSeal {
		return nil
	}
	return r.requestSlots()
}

// ClosureWritten reports that the closure object exists.
func (r *Recovery) ClosureWritten() []Action {
	if r.step != stepClosure {
		return nil
	}
	r.step = stepSides
	return []Action{ListSides{}}
}

// SidesListed reports the registered sides after [ListSides].
func (r *Recovery) SidesListed(now time.Time, sides []string) []Action {
	if r.step != stepSides {
		return nil
	}
	r.step = stepClose
	var actions []Action
	for _, name := range slices.Sorted(slices.Values(sides)) {
		r.sides[name] = &side{askedAt: now}
		actions = append(actions, CloseSide{Side: name, Instance: r.cfg.Instance})
	}
	return append(actions, r.completeIfAllAnswered()...)
}

// SideClosed reports that a side has closed the instance and refuses its requests
// from now on. It passes the side's open requests and unbilled charges of the instance.
func (r *Recovery) SideClosed(name string, open []budgeter.Reservation, charges []budgeter.Charge) []Action {
	s := r.sides[name]
	if s == nil || s.answered || s.gone {
		return nil
	}
	s.answered, s.open = true, open
	var actions []Action
	for _, shard := range r.cfg.Shards {
		a := ReportSide{Shard: shard, Instance: r.cfg.Instance}
		for _, o := range open {
			if o.Shard == shard {
				a.Open = append(a.Open, o)
			}
		}
		for _, c := range charges {
			if c.Reservation.Shard == shard {
				a.Charges = append(a.Charges, c)
			}
		}
		if len(a.Open)+len(a.Charges) > 0 {
			actions = append(actions, a)
		}
	}
	return append(actions, r.completeIfAllAnswered()...)
}

// InstancesListed reports the instance list. A side that is absent from it for
// [AbsenceTimeout] is gone; if the settings require it, only after the operator has
// confirmed it.
func (r *Recovery) InstancesListed(now time.Time, instances []string) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(r.sides)) {
		s := r.sides[name]
		switch {
		case slices.Contains(instances, name):
			s.absentSince = time.Time{}
			continue
		case s.absentSince.IsZero():
			s.absentSince = now
		}
		if now.Sub(s.absentSince) < AbsenceTimeout || r.cfg.ReleasePolicy == ReleaseOperator && !r.operatorConfirmed[name] {
			continue
		}
		actions = append(actions, r.markGone(s)...)
	}
	return append(actions, r.completeIfAllAnswered()...)
}

// GoneConfirmed reports that the operator confirmed a side to be gone. The confirmation
// takes effect when the side has been absent from the instance list for
// [AbsenceTimeout].
func (r *Recovery) GoneConfirmed(name string) { r.operatorConfirmed[name] = true }

// ShardReleased reports that the budgeter has released the instance's grants of a shard.
func (r *Recovery) ShardReleased(shard int) []Action {
	r.releasedShards[shard] = true
	if r.step != stepRelease || len(r.releasedShards) < len(r.cfg.Shards) {
		return nil
	}
	r.step = stepDone
	return []Action{Done{Instance: r.cfg.Instance}}
}

// ActionFailed reports that a ListJournal, WriteSeal, WriteClosure or ListSides had no
// effect, or that the response to a WriteClosure or ListSides was lost. The action is
// retried at the next Tick.
func (r *Recovery) ActionFailed(a Action) { r.failedCall = a }

// Tick retries a failed call, and the CloseSide requests to sides that have not answered.
func (r *Recovery) Tick(now time.Time) []Action {
	var actions []Action
	if r.failedCall != nil {
		actions = append(actions, r.failedCall)
		r.failedCall = nil
	}
	if r.step != stepClose {
		return actions
	}
	for _, name := range r.PendingSides() {
		if s := r.sides[name]; now.Sub(s.askedAt) >= retryInterval {
			s.askedAt = now
			actions = append(actions, CloseSide{Side: name, Instance: r.cfg.Instance})
		}
	}
	return actions
}

func (r *Recovery) requestSlots() []Action {
	return []Action{ListJournal{Prefix: journaler.SlotPrefix(r.cfg.Instance)}}
}

func (r *Recovery) markGone(s *side) []Action {
	if s.gone {
		return nil
	}
	s.gone = true
	var actions []Action
	for _, o := range s.open {
		if slices.Contains(r.cfg.Shards, o.Shard) {
			actions = append(actions, ReleaseReservation{Reservation: o})
		}
	}
	return actions
}

// completeIfAllAnswered completes the shards when each side has answered or is gone.
func (r *Recovery) completeIfAllAnswered() []Action {
	if r.step != stepClose || len(r.PendingSides()) > 0 {
		return nil
	}
	r.step = stepRelease
	var actions []Action
	for _, shard := range r.cfg.Shards {
		actions = append(actions, CompleteShard{Shard: shard, Instance: r.cfg.Instance})
	}
	return actions
}
