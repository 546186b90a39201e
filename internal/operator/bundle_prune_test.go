package operator

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/internal/faker"
)

// pausingHandler forwards platform calls and holds back one of them until the test
// resumes it.
type pausingHandler struct {
	next http.Handler

	mu     sync.Mutex
	left   int           // number of calls before the one to hold back
	paused chan struct{} // closed when the call is held back; nil if none is to be
	resume chan struct{}
}

func (p *pausingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Of the 256 list calls for chunks only one is counted, because they are
	// concurrent parts of the same step.
	skip := strings.Contains(r.URL.RawQuery, "chunk") && !strings.HasSuffix(r.URL.RawQuery, "00")
	p.mu.Lock()
	hold := p.paused != nil && !skip && p.left == 0
	resume := p.resume
	if !skip {
		p.left--
	}
	if hold {
		close(p.paused)
		p.paused = nil
	}
	p.mu.Unlock()
	if hold {
		<-resume
	}
	p.next.ServeHTTP(w, r)
}

func (p *pausingHandler) arm(calls int) (paused <-chan struct{}, resume chan<- struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left, p.paused, p.resume = calls, make(chan struct{}), make(chan struct{})
	return p.paused, p.resume
}

func (p *pausingHandler) disarm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = nil
}

// interleave runs the first command, pauses it before the given call, and runs the
// second command in the meantime. It reports whether the first command made enough
// calls to be paused.
func interleave(t *testing.T, calls int, first, second []string) bool {
	t.Helper()
	handler := &pausingHandler{next: faker.NewPlatform()}
	srv := httptest.NewServer(handler)
	defer srv.Close()
	o := newOperatorDir(t, srv.URL)
	t.Chdir(o.dir)
	for name, budget := range map[string]string{"a.toml": "a", "b.toml": "b"} {
		if err := os.WriteFile(filepath.Join(o.dir, name), []byte("regions = [\"north\"]\n[[budgets]]\nname = \""+budget+"\"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	run := func(args ...string) {
		if code, text := o.run(args...); code != exitOK {
			t.Errorf("%v before call %d of %v: exit code %d: %s", args, calls, first, code, text)
		}
	}
	run("bundle", "push", "a.toml")
	run("bundle", "push", "b.toml")
	paused, resume := handler.arm(calls)
	var wg sync.WaitGroup
	wg.Go(func() { run(first...) })
	ended := make(chan struct{})
	go func() {
		wg.Wait()
		close(ended)
	}()
	reached := false
	select {
	case <-paused:
		reached = true
		run(second...)
		close(resume)
	case <-ended:
	case <-time.After(10 * time.Second):
		close(resume)
		t.Errorf("%v does not end", first)
	}
	wg.Wait()
	handler.disarm()
	run("bundle", "show") // reads and checks all chunks
	return reached
}

// Guards against a prune that deletes a chunk which a concurrent push reuses, so
// that the pushed bundle lacks it. Either command is paused before each of its
// calls in turn while the other runs.
func TestPruneRace(t *testing.T) {
	push := []string{"bundle", "push", "a.toml"}
	prune := []string{"bundle", "prune", "--keep", "1", "--days", "0"}
	const minCalls, maxSteps = 5, 40
	for _, order := range [][2][]string{{push, prune}, {prune, push}, {prune, prune}} {
		calls := 0
		for calls < maxSteps && interleave(t, calls, order[0], order[1]) {
			calls++
		}
		if calls < minCalls || calls == maxSteps {
			t.Errorf("%v was paused at %d calls, want %d to %d", order[0], calls, minCalls, maxSteps-1)
		}
	}
}
