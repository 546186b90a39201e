package soaker

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"daisylane/platform/platformtest"
)

var (
	seedCount = flag.Int("soak.seeds", 2, "number of seeds to play")
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	soakTime  = flag.Duration("soak.time", 8*time.Second, "duration of the faults of each seed")
	clients   = flag.Int("soak.clients", 8, "callers at once")
)

// regressions are seeds that once failed, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

const calmTime = 4500 * time.Millisecond // the users' stable window, and some

// Guards against broken promises under faults that come together: a wrong or
// foreign answer, a refusal of what ran, a second run, more tokens than prepaid, a
// configuration that goes back, requests cut off by a planned stop, processes that
// end by themselves, and a fleet that does not recover.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binaries := build(t)
	var seeds []uint64
	for _, r := range regressions {
		seeds = append(seeds, r.seed)
	}
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, seed, binaries) })
	}
}

func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/entry", "./cmd/side")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

func soak(t *testing.T, seed uint64, binaries string) {
	w := newWorld(t, seed, binaries)
	w.eventually("all entries are ready", func() bool { return !slices.ContainsFunc(w.entries, func(p *process) bool { return !p.ready() }) })
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for i := range *clients {
		work.Go(func() { newClient(w, i).run(ctx) })
	}
	w.disturb()
	w.settle()
	w.recovered()
	w.rollingStop()
	cancel()
	work.Wait()
	w.verify()
	for _, p := range append(slices.Clone(w.entries), w.side) {
		w.failures = append(w.failures, p.strange...)
	}
	for _, f := range w.failures {
		t.Error(f)
	}
	t.Logf("seed %d: %d requests, %d of them ran", seed, len(w.calls), len(w.ran))
}

func (w *world) eventually(what string, ok func() bool) {
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			w.fail("%s: not within 10 s", what)
			return
		}
	}
}

// disturb starts faults at random times, which overlap.
func (w *world) disturb() {
	rng := rand.New(rand.NewPCG(w.seed, 3))
	var open sync.WaitGroup
	busy := make(map[*process]*sync.Mutex)
	for _, p := range append(slices.Clone(w.entries), w.side) {
		busy[p] = &sync.Mutex{}
	}
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		act := w.fault(rng, busy)
		open.Go(act)
		time.Sleep(time.Duration(50+rng.IntN(450)) * time.Millisecond)
	}
	open.Wait()
}

// fault chooses a fault; the result carries it out until it is over.
func (w *world) fault(rng *rand.Rand, busy map[*process]*sync.Mutex) func() {
	p := pick(rng, w.entries...)
	if rng.IntN(8) == 0 {
		p = w.side
	}
	w.mu.Lock()
	link, target := pick(rng, w.links...), pick(rng, w.targets...)
	w.mu.Unlock()
	long := time.Duration(200+rng.IntN(3300)) * time.Millisecond
	how := pick(rng, silent, oneWay, reset, slow)
	once := func(do func()) func() {
		return func() {
			if busy[p].TryLock() {
				defer busy[p].Unlock()
				do()
			}
		}
	}
	switch rng.IntN(11) {
	case 0, 1:
		return once(func() { w.kill(p, long/5) })
	case 2:
		return once(func() { w.stop(p) })
	case 3:
		return once(func() {
			p.signal(syscall.SIGSTOP)
			time.Sleep(long)
			p.signal(syscall.SIGCONT)
		})
	case 4:
		return func() { w.killAll(busy, long/5) }
	case 5, 6:
		return func() {
			link.set(how)
			time.Sleep(long)
			link.set(pass)
		}
	case 7:
		return func() {
			target.link.set(how)
			time.Sleep(long / 2)
			target.link.set(pass)
		}
	case 8:
		f := pick(rng, platformtest.Faults{Status: http.StatusServiceUnavailable}, platformtest.Faults{Silent: true},
			platformtest.Faults{Lost: true}, platformtest.Faults{Late: time.Second}, platformtest.Faults{Slow: 200 * time.Millisecond}, platformtest.Faults{Stale: true})
		return func() {
			w.store.Set(f)
			time.Sleep(long / 2)
			w.store.Set(platformtest.Faults{})
		}
	case 9:
		return func() {
			w.configure()
			w.store.Compact()
		}
	}
	return func() { w.replace(target, long/4) }
}

func (w *world) kill(p *process, pause time.Duration) {
	p.signal(syscall.SIGKILL)
	p.wait(time.Second)
	time.Sleep(pause)
	p.start(w.t)
}

// killAll kills the processes that no other fault holds.
func (w *world) killAll(busy map[*process]*sync.Mutex, pause time.Duration) {
	var open sync.WaitGroup
	for p, mu := range busy {
		if mu.TryLock() {
			open.Go(func() {
				defer mu.Unlock()
				w.kill(p, pause)
			})
		}
	}
	open.Wait()
}

// stop ends a process as planned and starts it again.
func (w *world) stop(p *process) {
	p.signal(syscall.SIGTERM)
	if !p.wait(graceTime + time.Second) {
		w.fail("%s does not end within its grace period", p.name)
		p.signal(syscall.SIGKILL)
		p.wait(time.Second)
	}
	p.start(w.t)
}

// settle ends all faults and waits until they count no more.
func (w *world) settle() {
	for _, l := range w.links {
		l.set(pass)
	}
	w.store.Set(platformtest.Faults{})
	w.mu.Lock()
	for _, t := range w.targets {
		t.link.set(pass)
	}
	w.healthy = true
	w.mu.Unlock()
	time.Sleep(calmTime)
}

// recovered checks that every entry serves again, by the newest configuration.
func (w *world) recovered() {
	const tries = 10
	c := newClient(w, *clients)
	for _, p := range w.entries {
		for _, path := range []string{"/look/", "/plan/", fmt.Sprintf("/v%d/", w.version())} {
			served, last := 0, call{}
			for range tries {
				if k := c.send(p, path, "a1"); k.status == http.StatusOK && k.err == nil {
					served++
				} else {
					last = k
				}
			}
			if served < tries-1 {
				w.fail("%s serves %d of %d requests of %s after the faults, last %+v", p.name, served, tries, path, last)
			}
		}
	}
}

// rollingStop stops one entry after the other while callers go on.
func (w *world) rollingStop() {
	w.mu.Lock()
	w.calm = time.Now()
	w.mu.Unlock()
	p := w.entries[int(w.seed)%len(w.entries)]
	w.stop(p)
	w.eventually(p.name+" is ready again", p.ready)
}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}
