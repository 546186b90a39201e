package holder

import (
	"context"
	"time"

	"daisylane/internal/watcher"
)

// redirectTime is how long the answer to a lookup of a holder is reused.
const redirectTime = 500 * time.Millisecond

// call is a request that needs the holder of a shard.
type call interface {
	fail(err error)
	repeat(now time.Time, k *keeper)
}

func (m reserve) fail(err error)  { m.reply.fail(err) }
func (m settle) fail(err error)   { m.reply.fail(err) }
func (m claim) fail(err error)    { m.reply.fail(err) }
func (m conclude) fail(err error) { m.reply.fail(err) }

func (m reserve) repeat(now time.Time, k *keeper)  { k.reserve(now, m) }
func (m settle) repeat(now time.Time, k *keeper)   { k.settle(now, m) }
func (m claim) repeat(now time.Time, k *keeper)    { k.claim(now, m) }
func (m conclude) repeat(now time.Time, k *keeper) { k.conclude(now, m) }

// waitlist keeps the calls for shards whose holder is being looked up, and the
// holders that were found lately.
type waitlist struct {
	calls     map[int][]call
	redirects map[int]redirect
}

type redirect struct {
	holder watcher.Member
	at     time.Time
}

func newWaitlist() *waitlist {
	return &waitlist{calls: make(map[int][]call), redirects: make(map[int]redirect)}
}

// await keeps a call until the holder of the shard is known, or refuses it with
// the name of the holder. The first call for a shard starts the lookup.
func (k *keeper) await(now time.Time, w *waitlist, shard int, c call, lookup func(context.Context) any) {
	if k.stopping != nil || k.journal.Stopped() {
		c.fail(errStopping)
		return
	}
	if r, ok := w.redirects[shard]; ok && now.Sub(r.at) < redirectTime && !k.h.members.Suspected(r.holder.Name) {
		c.fail(notHolder(r.holder.Name, r.holder.Addr))
		return
	}
	w.calls[shard] = append(w.calls[shard], c)
	if len(w.calls[shard]) == 1 {
		k.h.effect(lookup)
	}
}

// redirect refuses the waiting calls with the name of the holder.
func (w *waitlist) redirect(now time.Time, shard int, holder watcher.Member) {
	w.redirects[shard] = redirect{holder, now}
	w.refuse(shard, notHolder(holder.Name, holder.Addr))
}

func (w *waitlist) refuse(shard int, err error) {
	for _, c := range w.take(shard) {
		c.fail(err)
	}
}

// take removes the waiting calls of a shard.
func (w *waitlist) take(shard int) []call {
	calls := w.calls[shard]
	delete(w.calls, shard)
	return calls
}

// resume repeats the calls that waited for a shard that is held now.
func (k *keeper) resume(now time.Time, w *waitlist, shard int) {
	delete(w.redirects, shard)
	for _, c := range w.take(shard) {
		c.repeat(now, k)
	}
}
