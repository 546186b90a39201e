package launcher

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/internal/executor"
)

// crashTolerance is how long after the third crash requests may still reach targets.
const crashTolerance = 2 * time.Second

// mortalTarget is a service that ends when it runs a deadly request, and starts again half
// a second later.
type mortalTarget struct {
	t    testing.TB
	addr string
	log  *mortalLog

	mu     sync.Mutex
	server *http.Server // nil: not running
}

// mortalLog records the requests that reach the targets of a test.
type mortalLog struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time // of deadly requests
}

func (m *mortalTarget) start() {
	ln, err := net.Listen("tcp", m.addr)
	if err != nil {
		m.t.Error(err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addr, m.server = ln.Addr().String(), &http.Server{Handler: m}
	go func() { _ = m.server.Serve(ln) }()
}

// stop ends the target and reports whether it ran.
func (m *mortalTarget) stop() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.server == nil {
		return false
	}
	_ = m.server.Close()
	m.server = nil
	return true
}

// ServeHTTP implements [http.Handler].
func (m *mortalTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	deadly := strings.Contains(r.URL.RawQuery, "deadly")
	if deadly {
		m.log.mu.Lock()
		m.log.arrivals = append(m.log.arrivals, time.Now())
		m.log.mu.Unlock()
	}
	time.Sleep(20 * time.Millisecond)
	if !deadly {
		_, _ = w.Write([]byte("answer"))
		return
	}
	m.log.mu.Lock()
	m.log.crashes = append(m.log.crashes, time.Now())
	m.log.mu.Unlock()
	if m.stop() {
		time.AfterFunc(500*time.Millisecond, m.start)
	}
	panic(http.ErrAbortHandler)
}

// get sends a request that may be repeated and returns its status, -1 if there was none.
func (f *fixture) get(url, path string) int {
	req, err := http.NewRequest(http.MethodGet, url+path, nil)
	if err != nil {
		f.t.Error(err)
		return -1
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return -1
	}
	defer res.Body.Close()
	return res.StatusCode
}

// Guards against an equal request that ends target after target through any entry, one that
// starts later and one that starts when all that saw the crashes have died, because a side
// says only that an answer broke off; and against refusing other requests.
func TestEqualRequestEndsTargets(t *testing.T) {
	f := newFixture(t)
	f.pushBundle(testBundle())
	log := &mortalLog{}
	for n := range 3 {
		m := &mortalTarget{t: t, addr: "127.0.0.1:0", log: log}
		m.start()
		t.Cleanup(func() { m.stop() })
		f.startSideAt(fmt.Sprint("side-", n), "http://"+m.addr, executor.Target{Name: "booking", Kind: executor.KindService}, func() { m.stop() })
	}
	entries := []*testProcess{f.startEntry("entry-1"), f.startEntry("entry-2")}
	for _, e := range entries {
		f.waitReady(e)
	}
	type sound struct {
		at     time.Time
		status int
	}
	var mu sync.Mutex
	var sounds []sound
	refused := 0
	var wg sync.WaitGroup
	run := func(d time.Duration, deadly bool) {
		for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
			time.Sleep(40 * time.Millisecond)
			url := entries[i%len(entries)].url
			for _, q := range []string{"popular", fmt.Sprint("other", i)} {
				wg.Go(func() {
					s := sound{time.Now(), f.get(url, "/services/booking/lookup?q="+q)}
					mu.Lock()
					defer mu.Unlock()
					sounds = append(sounds, s)
				})
			}
			if deadly && i%3 == 0 {
				wg.Go(func() {
					status := f.get(url, "/services/booking/lookup?q=deadly")
					mu.Lock()
					defer mu.Unlock()
					if status == http.StatusServiceUnavailable {
						refused++
					}
				})
			}
		}
	}
	run(500*time.Millisecond, false)
	run(4*time.Second, true)
	entries = append(entries, f.startEntry("entry-3"))
	f.waitReady(entries[2])
	run(time.Second, true)
	for _, e := range entries {
		e.kill()
	}
	entries = []*testProcess{f.startEntry("entry-4")}
	f.waitReady(entries[0])
	restarted := time.Now()
	run(2*time.Second, true)
	wg.Wait()

	log.mu.Lock()
	defer log.mu.Unlock()
	if len(log.crashes) < 3 {
		t.Fatalf("%d targets ended, the test needs more", len(log.crashes))
	}
	late := 0
	for _, at := range log.arrivals {
		if at.After(log.crashes[2].Add(crashTolerance)) {
			late++
		}
	}
	served, of := 0, 0
	for _, s := range sounds {
		if s.at.After(restarted) {
			if of++; s.status == http.StatusOK {
				served++
			}
		}
	}
	if late > 3 || refused == 0 {
		t.Errorf("deadly requests reached targets %d times later than %v after the third crash, allowed are 3; %d refused", late, crashTolerance, refused)
	}
	if of < 20 || served*10 < of*9 {
		t.Errorf("%d of %d other requests served at the end", served, of)
	}
	t.Logf("%d targets ended, %d arrivals too late, %d deadly requests refused, %d of %d others served at the end", len(log.crashes), late, refused, served, of)
}
