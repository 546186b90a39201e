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
	reserveCall struct {
		id        string
		req       budgeter.Request
		remaining time.Duration // until the deadline, 0 if unknown
		reply     replyChan[budgeter.Reservation]
	}
	settleCall struct {
		charge budgeter.Charge
		reply  replyChan[bool]
	}
	returnCall struct {
		request *wirepb.Return
		reply   replyChan[int64]
	}
	claimCall struct {
		req   claimer.Request
		reply replyChan[*wirepb.Claimed]
	}
	concludeCall struct {
		shard   int
		outcome claimer.Outcome
		reply   replyChan[struct{}]
	}
	statusCall   struct{ reply replyChan[Status] }
	handOverCall struct{ reply replyChan[struct{}] }
	tick         struct{}
)

// Results of calls that run outside the actor.
type (
	// slotWritten is the result of a journal write.
	slotWritten struct {
		write   journaler.WriteSlot
		took    time.Duration
		version uint64
		err     error
	}
	// slotRead is the result of reading a journal slot after an uncertain write.
	slotRead struct {
		read journaler.ReadSlot
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
	// holderLookedUp is the result of looking up the holder of a shard.
	holderLookedUp struct {
		shard  int
		holder watcher.Member // live instance to call instead, empty if there is none
		former string         // dead holder named in the shard object, empty if none
		err    error
	}
	// claimsAcquired is the result of acquiring the claims of a shard.
	claimsAcquired struct {
		shard  int
		object claimer.Object // as written, with this instance as holder
		holder watcher.Member // live holder to call instead, empty if there is none
		err    error
	}
	// claimsFolded is the result of folding the claims of a shard.
	claimsFolded struct {
		shard  int
		seq    uint64
		object claimer.Object
		err    error
	}
	// formerHolderDead reports that a former holder with grants of a shard does not
	// answer a probe.
	formerHolderDead struct{ key takeoverKey }
	// reclaimResult is the result of a call for the reclaimer. The actor applies it.
	reclaimResult struct {
		apply func(now time.Time, r *reclaimer.Reclaimer) []reclaimer.Action
	}
	// returnsCollected reports that the requests for unused tokens to all other regions
	// were answered or failed.
	returnsCollected struct {
		shard  int
		budget string
	}
)
