// Package waiter waits.
//
// # Usage
//
//	waiter.Pause(ctx, 100*time.Millisecond)
package waiter

import (
	"context"
	"time"
)

// Pause returns after a time, or when the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
