// Package waiter has sleeps and periodic calls that end with a context.
//
// # Usage
//
//	waiter.Sleep(ctx, 100*time.Millisecond)
//	go waiter.Every(ctx, time.Second, func(now time.Time) { expire(now) })
package waiter

import (
	"context"
	"time"
)

// Sleep sleeps for d, or until the context ends if that is sooner.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Every calls a function at an interval until the context ends. Calls do not overlap: a
// call that takes longer than the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, call func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			call(now)
		}
	}
}
