package faker

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const maxWatchWait = 5 * time.Minute

// pendingWatch is a watch that waits for changes below its prefix.
type pendingWatch struct {
	prefix string
	wake   chan struct{} // buffers one signal
}

func (p *Platform) watchObjects(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "after: want a revision")
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "wait: want a duration, for example 30s")
		return
	}
	expired := time.NewTimer(min(wait, maxWatchWait))
	defer expired.Stop()
	pending := &pendingWatch{query.Get("prefix"), make(chan struct{}, 1)}
	p.addWatch(pending)
	defer p.removeWatch(pending)
	for done := false; ; {
		if p.refuse(w, r) {
			return
		}
		p.mu.Lock()
		page := p.changesAfter(pending.prefix, after)
		p.mu.Unlock()
		if len(page.Items) > 0 || done {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-pending.wake:
		case <-expired.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) addWatch(w *pendingWatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watches[w] = true
	p.calls.PendingWatches++
}

func (p *Platform) removeWatch(w *pendingWatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.watches, w)
	p.calls.PendingWatches--
}

// notifyWatches wakes the watches of a key. The caller must hold the lock.
func (p *Platform) notifyWatches(key string) {
	for w := range p.watches {
		if strings.HasPrefix(key, w.prefix) {
			w.signal()
		}
	}
}

// notifyAllWatches wakes all watches. The caller must hold the lock.
func (p *Platform) notifyAllWatches() {
	for w := range p.watches {
		w.signal()
	}
}

func (w *pendingWatch) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
