package faker

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const maxWatchWait = 5 * time.Minute

// waiting is a pending watch.
type waiting struct {
	prefix string
	wake   chan struct{} // holds one signal
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "after: want a revision")
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		fail(w, http.StatusBadRequest, "wait: want a duration, for example 30s")
		return
	}
	expired := time.NewTimer(min(wait, maxWatchWait))
	defer expired.Stop()
	own := &waiting{query.Get("prefix"), make(chan struct{}, 1)}
	p.enter(own)
	defer p.leave(own)
	for done := false; ; {
		if p.refuse(w, r) {
			return
		}
		p.mu.Lock()
		page := p.page(own.prefix, after)
		p.mu.Unlock()
		if len(page.Items) > 0 || done {
			reply(w, http.StatusOK, page)
			return
		}
		select {
		case <-own.wake:
		case <-expired.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) enter(w *waiting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[w] = true
	p.calls.Pending++
}

func (p *Platform) leave(w *waiting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, w)
	p.calls.Pending--
}

// notify wakes the watches of a key. The caller holds the lock.
func (p *Platform) notify(key string) {
	for w := range p.waiting {
		if strings.HasPrefix(key, w.prefix) {
			w.signal()
		}
	}
}

// notifyAll wakes all watches. The caller holds the lock.
func (p *Platform) notifyAll() {
	for w := range p.waiting {
		w.signal()
	}
}

func (w *waiting) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
