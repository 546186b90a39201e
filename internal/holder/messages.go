package holder

import (
	"time"

	"daisylane/internal/budgeter"
	"daisylane/internal/claimer"
	"daisylane/internal/journaler"
	"daisylane/internal/reclaimer"
	"daisylane/internal/storer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

// Calls to the actor.
type (
	reserve struct {
		id    string
		req   budgeter.Request
		left  time.Duration // to the deadline, 0 if unknown
		reply replyTo[budgeter.Reservation]
	}
	settle struct {
		charge budgeter.Charge
		reply  replyTo[bool]
	}
	giveBack struct {
		m     *wirepb.Return
		reply replyTo[int64]
	}
	claim struct {
		req   claimer.Request
		reply replyTo[*wirepb.Claimed]
	}
	conclude struct {
		shard   int
		outcome claimer.Outcome
		reply   replyTo[struct{}]
	}
	status   struct{ reply replyTo[Status] }
	handOver struct{ reply replyTo[struct{}] }
	tick     struct{}
)

// Results of effects.
type (
	// slotWritten is the result of a journal write.
	slotWritten struct {
		write   journaler.Write
		took    time.Duration
		version uint64
		err     error
	}
	// slotRead is the result of reading a journal slot back.
	slotRead struct {
		read journaler.Read
		slot journaler.Slot
		err  error
	}
	// objectRead is the result of reading a shard object for an update.
	objectRead struct {
		shard int
		item  storer.Item
		err   error
	}
	// objectWritten is the result of writing a shard object.
	objectWritten struct {
		shard int
		err   error
	}
	// tenureRead is the result of looking up who holds a shard.
	tenureRead struct {
		shard  int
		holder watcher.Member // alive instance other than this process to ask, empty if none
		former string         // dead holder in the object, empty if none
		err    error
	}
	// claimsRead is the result of taking the claims of a shard.
	claimsRead struct {
		shard  int
		object claimer.Object // as written with this instance as holder
		holder watcher.Member // alive holder to ask instead, empty if none
		err    error
	}
	// claimsFolded is the result of folding the claims of a shard.
	claimsFolded struct {
		shard  int
		seq    uint64
		object claimer.Object
		err    error
	}
	// holderLost says that a former holder with grants of a shard does not answer.
	holderLost struct{ key takeoverKey }
	// reclaimResult reports the result of a call to the reclaimer.
	reclaimResult struct {
		apply func(now time.Time, r *reclaimer.Reclaimer) []reclaimer.Action
	}
	// regionsAsked says that all other regions answered a request for tokens.
	regionsAsked struct {
		shard  int
		budget string
	}
)
