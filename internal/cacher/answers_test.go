package cacher

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/follower"
	"daisylane/internal/gatekeeper"
	"daisylane/internal/storer"
)

// account is a gatekeeper's memory for concurrent use that records the most that was held.
type account struct {
	mu   sync.Mutex
	m    *gatekeeper.Memory
	most int64
}

func (a *account) HoldAnswer(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	ok := a.m.HoldAnswer(n)
	a.most = max(a.most, a.m.Held())
	return ok
}

func (a *account) FreeAnswer(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.m.FreeAnswer(n)
}

// slowPeer is the connection of a peer that reads nothing of a large answer for some time.
type slowPeer struct {
	*httptest.ResponseRecorder
	once    sync.Once
	reached *sync.WaitGroup // done when the answer begins to be written, or is small
	reads   chan struct{}
	done    sync.WaitGroup
}

func (p *slowPeer) Write(b []byte) (int, error) {
	if len(b) < 8<<10 {
		return p.ResponseRecorder.Write(b)
	}
	p.once.Do(p.reached.Done)
	<-p.reads
	return p.ResponseRecorder.Write(b)
}

// Guards against answers to neighbours that take more memory than the instance has, if all of
// them ask at the same time and read slowly: for the same large change, or from different
// positions. Those without room are refused, and what was held is freed.
func TestManyNeighboursAtOnce(t *testing.T) {
	const peers, limit = 320, 35 << 20
	tests := []struct {
		name    string
		changes int
		size    int
		from    int // number of positions from which the peers ask
		limit   int64
		served  func(n int) bool
	}{
		{"the same large change", 1, 256 << 10, 1, limit, func(n int) bool { return n == peers }},
		{"different positions", 64, 30 << 10, 64, limit, func(n int) bool { return n > 0 && n < peers }},
		{"without room", 1, 256 << 10, 1, 256 << 10, func(n int) bool { return n == 0 }},
		{"small changes without room", 4, 100, 4, 0, func(n int) bool { return n == peers }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, memory := &world{era: 1}, &account{m: gatekeeper.NewMemory(tt.limit)}
			c := New(w, w, NewDirectory("a", "self"), WithKind("config", time.Second), WithMemory(memory), WithClock(func() time.Duration { return time.Minute }))
			c.update("config", func(k *kind, now time.Duration) {
				k.view.Listed(now, at(1, 0))
				for i := range tt.changes {
					change := follower.Change{Item: storer.Item{Key: fmt.Sprint(i), Version: uint64(i + 1), Body: make([]byte, tt.size)}}
					k.view.Add(now, at(1, int64(i)), at(1, int64(i+1)), []follower.Change{change}, true)
				}
			})
			h, before := c.Handler(http.NotFoundHandler()), heapBytes()
			var reached sync.WaitGroup
			list := make([]*slowPeer, peers)
			for i := range list {
				list[i] = &slowPeer{ResponseRecorder: httptest.NewRecorder(), reached: &reached, reads: make(chan struct{})}
				reached.Add(1)
				list[i].done.Go(func() {
					ask := fmt.Sprintf(`{"kind":"config","era":1,"revision":%d,"wait":0,"age":1000}`, i%tt.from)
					h.ServeHTTP(list[i], httptest.NewRequest(http.MethodPost, watchPath, strings.NewReader(ask)))
					list[i].once.Do(reached.Done)
				})
			}
			reached.Wait()
			if taken := heapBytes() - before; taken > limit {
				t.Errorf("%d MB are taken, the limit is %d MB", taken>>20, limit>>20)
			}
			if memory.most > tt.limit {
				t.Errorf("%d bytes were charged, the limit is %d", memory.most, tt.limit)
			}
			served := 0
			for i, p := range list {
				close(p.reads)
				p.done.Wait()
				reply, err := checker.Decode[Reply](bytes.TrimSpace(p.Body.Bytes()))
				switch {
				case err != nil:
					t.Fatalf("peer %d: %v", i, err)
				case reply.Refused == "" && len(reply.Changes) == tt.changes-i%tt.from && reply.Revision == int64(tt.changes):
					served++
				case reply.Refused != Busy:
					t.Errorf("peer %d: refused %q, %d changes to %d", i, reply.Refused, len(reply.Changes), reply.Revision)
				}
				p.Body = nil
			}
			if !tt.served(served) {
				t.Errorf("%d of %d are served", served, peers)
			}
			if held := memory.m.Held(); held != 0 || len(c.answers.encoded) > 0 {
				t.Errorf("%d bytes in %d answers are still held", held, len(c.answers.encoded))
			}
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
