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
		cfg:       cfg,
		sides:     make(map[string]*side),
		closed:    make(map[int]bool),
		confirmed: make(map[string]bool),
	}
}

// Start begins with the listing of the journal.
func (r *Recovery) Start() []Action { return r.list() }

// Listed reports the slots of the journal.
func (r *Recovery) Listed(slots []journaler.Slot) []Action {
	if r.step != stepSeal {
		return nil
	}
	log, err := journaler.Replay(r.cfg.Instance, r.cfg.Slots, slots)
	if err != nil { // a record was written during the listing
		r.retry = List{Prefix: journaler.Prefix(r.cfg.Instance)}
		return nil
	}
	r.log = log
	if !log.Sealed {
		return []Action{Seal{Write: log.Seal(r.cfg.Successor)}}
	}
	return r.Sealed()
}

// Sealed reports that the seal took effect. The last listing is complete then,
// because the seal is conditional on the slot after its last record.
func (r *Recovery) Sealed() []Action {
	if r.step != stepSeal {
		return nil
	}
	r.step = stepClosure
	var actions []Action
	for _, shard := range r.cfg.Shards {
		actions = append(actions, Replay{Shard: shard, Log: r.log})
	}
	return append(actions, Closure{Key: ClosureKey(r.cfg.Instance)})
}

// Unsealed reports that the seal met another version or that its response was
// lost. The journal is listed again.
func (r *Recovery) Unsealed() []Action {
	if r.step != stepSeal {
		return nil
	}
	return r.list()
}

// ClosureWritten reports that the closure object exists.
func (r *Recovery) ClosureWritten() []Action {
	if r.step != stepClosure {
		return nil
	}
	r.step = stepSides
	return []Action{Sides{}}
}

// SidesListed reports the registered sides.
func (r *Recovery) SidesListed(now time.Time, sides []string) []Action {
	if r.step != stepSides {
		return nil
	}
	r.step = stepClose
	var actions []Action
	for _, name := range slices.Sorted(slices.Values(sides)) {
		r.sides[name] = &side{asked: now}
		actions = append(actions, Close{Side: name, Instance: r.cfg.Instance})
	}
	return append(actions, r.advance()...)
}

// Acknowledged reports that a side refuses the instance's work, with its open
// requests and unbilled charges of that instance.
func (r *Recovery) Acknowledged(name string, open []budgeter.Reservation, charges []budgeter.Charge) []Action {
	s := r.sides[name]
	if s == nil || s.answered || s.gone {
		return nil
	}
	s.answered, s.open = true, open
	var actions []Action
	for _, shard := range r.cfg.Shards {
		a := Report{Shard: shard, Instance: r.cfg.Instance}
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
	return append(actions, r.advance()...)
}

// Listing reports the instance list. A side that is absent from it for 90 s is
// gone, with the operator's confirmation if the settings require it.
func (r *Recovery) Listing(now time.Time, instances []string) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(r.sides)) {
		s := r.sides[name]
		switch {
		case slices.Contains(instances, name):
			s.absent = time.Time{}
			continue
		case s.absent.IsZero():
			s.absent = now
		}
		if now.Sub(s.absent) < AbsentInterval || r.cfg.Release == ReleaseOperator && !r.confirmed[name] {
			continue
		}
		actions = append(actions, r.gone(s)...)
	}
	return append(actions, r.advance()...)
}

// Confirm is the operator's word that a side is gone. It counts once the side is
// absent from the instance list for 90 s.
func (r *Recovery) Confirm(name string) { r.confirmed[name] = true }

// Closed reports that the budgeter has released a shard.
func (r *Recovery) Closed(shard int) []Action {
	r.closed[shard] = true
	if r.step != stepRelease || len(r.closed) < len(r.cfg.Shards) {
		return nil
	}
	r.step = stepDone
	return []Action{Done{Instance: r.cfg.Instance}}
}

// Failed reports a List, Seal, Closure or Sides that had no effect. A lost
// response to Closure or Sides is reported in the same way.
func (r *Recovery) Failed(a Action) { r.retry = a }

// Tick repeats a failed call and asks the sides that have not answered again.
func (r *Recovery) Tick(now time.Time) []Action {
	var actions []Action
	if r.retry != nil {
		actions = append(actions, r.retry)
		r.retry = nil
	}
	if r.step != stepClose {
		return actions
	}
	for _, name := range r.Waiting() {
		if s := r.sides[name]; now.Sub(s.asked) >= retryInterval {
			s.asked = now
			actions = append(actions, Close{Side: name, Instance: r.cfg.Instance})
		}
	}
	return actions
}

func (r *Recovery) list() []Action {
	return []Action{List{Prefix: journaler.Prefix(r.cfg.Instance)}}
}

func (r *Recovery) gone(s *side) []Action {
	if s.gone {
		return nil
	}
	s.gone = true
	var actions []Action
	for _, o := range s.open {
		if slices.Contains(r.cfg.Shards, o.Shard) {
			actions = append(actions, Release{Reservation: o})
		}
	}
	return actions
}

// advance completes the shards when no side is outstanding.
func (r *Recovery) advance() []Action {
	if r.step != stepClose || len(r.Waiting()) > 0 {
		return nil
	}
	r.step = stepRelease
	var actions []Action
	for _, shard := range r.cfg.Shards {
		actions = append(actions, Complete{Shard: shard, Instance: r.cfg.Instance})
	}
	return actions
}
