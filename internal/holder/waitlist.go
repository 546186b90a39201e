package holder

import (
	"context"
	"time"

	"daisylane/internal/watcher"
)

// redirectTTL is how long the result of a holder lookup is cached.
const redirectTTL = 500 * time.Millisecond

// pendingCall is a call that waits until the holder of its shard is known.
type pendingCall interface {
	fail(err error)
	retry(now time.Time, ha *holderActor)
}

func (m reserveCall) fail(err error)  { m.reply.fail(err) }
func (m settleCall) fail(err error)   { m.reply.fail(err) }
func (m claimCall) fail(err error)    { m.reply.fail(err) }
func (m concludeCall) fail(err error) { m.reply.fail(err) }

func (m reserveCall) retry(now time.Time, ha *holderActor)  { ha.reserve(now, m) }
func (m settleCall) retry(now time.Time, ha *holderActor)   { ha.settle(now, m) }
func (m claimCall) retry(now time.Time, ha *holderActor)    { ha.claim(now, m) }
func (m concludeCall) retry(now time.Time, ha *holderActor) { ha.conclude(now, m) }

// waitlist has the calls for shards whose holder is being looked up, and a cache of
// recently found holders.
type waitlist struct {
	calls     map[int][]pendingCall
	redirects map[int]cachedRedirect
}

type cachedRedirect struct {
	holder  watcher.Member
	foundAt time.Time
}

func newWaitlist() *waitlist {
	return &waitlist{calls: make(map[int][]pendingCall), redirects: make(map[int]cachedRedirect)}
}

// queueCall queues a call until the holder of the shard is known, or redirects it at
// once if the holder is cached. The first queued call for a shard starts the lookup.
func (ha *holderActor) queueCall(now time.Time, w *waitlist, shard int, c pendingCall, lookup func(context.Context) any) {
	if ha.stopping != nil || ha.journal.Stopped() {
		c.fail(errStopping)
		return
	}
	if r, ok := w.redirects[shard]; ok && now.Sub(r.foundAt) < redirectTTL && !ha.h.members.IsSuspected(r.holder.Name) {
		c.fail(redirectError(r.holder.Name, r.holder.Addr))
		return
	}
	w.calls[shard] = append(w.calls[shard], c)
	if len(w.calls[shard]) == 1 {
		ha.h.runAsync(lookup)
	}
}

// redirectCalls redirects the queued calls of a shard to its holder.
func (w *waitlist) redirectCalls(now time.Time, shard int, holder watcher.Member) {
	w.redirects[shard] = cachedRedirect{holder, now}
	w.failCalls(shard, redirectError(holder.Name, holder.Addr))
}

func (w *waitlist) failCalls(shard int, err error) {
	for _, c := range w.removeCalls(shard) {
		c.fail(err)
	}
}

// removeCalls removes and returns the queued calls of a shard.
func (w *waitlist) removeCalls(shard int) []pendingCall {
	calls := w.calls[shard]
	delete(w.calls, shard)
	return calls
}

// retryCalls retries the queued calls of a shard that was acquired.
func (ha *holderActor) retryCalls(now time.Time, w *waitlist, shard int) {
	delete(w.redirects, shard)
	for _, c := range w.removeCalls(shard) {
		c.retry(now, ha)
	}
}
