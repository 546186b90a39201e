package executor

import (
	"context"
	"net"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// crashProbeTimeout limits a connect that only asks whether the target is there. The
// target runs on the same machine.
const crashProbeTimeout = 200 * time.Millisecond

// crashDetector tells the crashes of the target apart.
type crashDetector struct {
	addr string

	mu        sync.Mutex
	crashedAt time.Time // of the last crash
	back      bool      // the target accepted a connection since
}

// newCrashDetector returns a detector for the target at a valid URL.
func newCrashDetector(target string) *crashDetector {
	u, err := url.Parse(target)
	if err != nil {
		return &crashDetector{}
	}
	port := u.Port()
	switch {
	case port != "":
	case u.Scheme == "https":
		port = "443"
	default:
		port = "80"
	}
	return &crashDetector{addr: net.JoinHostPort(u.Hostname(), port)}
}

// recordConnection records that the target accepted a connection.
func (d *crashDetector) recordConnection() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.back = true
}

// detect returns when the target ended, if it refuses connections now, and the zero time
// otherwise. It is the same time for all requests that the target ended with.
func (d *crashDetector) detect(ctx context.Context) time.Time {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.addr)
	if err == nil {
		_ = c.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return time.Time{}
	}
	if d.back || d.crashedAt.IsZero() {
		d.crashedAt, d.back = time.Now(), false
	}
	return d.crashedAt
}
