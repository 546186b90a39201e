package starter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/follower"
	"daisylane/internal/storer"
	"daisylane/internal/tunneler"
	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// versions records which objects a follower has reported.
type versions struct {
	mu      sync.Mutex
	seen    map[string]bool
	listed  chan struct{}
	started sync.Once
}

func newVersions() *versions {
	return &versions{seen: make(map[string]bool), listed: make(chan struct{})}
}

func (v *versions) add(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seen[name] = true
}

func (v *versions) has(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seen[name]
}

func (v *versions) Listed(items []storer.Item) {
	for _, i := range items {
		v.add(i.Key)
	}
	v.started.Do(func() { close(v.listed) })
}

func (v *versions) Changed(changes []follower.Change) {
	for _, c := range changes {
		v.add(c.Item.Key)
	}
}
func (v *versions) Disconnected(error) {}
func (v *versions) Reconnected()       {}
func (v *versions) Restored()          {}
func (v *versions) Synced(time.Time)   {}

// silentListener accepts connections and never responds.
func silentListener(t *testing.T) string {
	t.Helper()
	return platformtest.Listen(t, func(net.Conn) { <-t.Context().Done() })
}

// startTunnel serves a relay to an address until the test ends.
func startTunnel(t *testing.T, addr string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = tunneler.New(addr, zerolog.Nop()).Serve(ctx, l) }()
	return l.Addr().String()
}

// mutableProxy is a TCP proxy whose open connections can go silent.
type mutableProxy struct {
	addr string
	mu   sync.Mutex
	era  int  // connections of earlier eras are silent
	dead bool // all connections are silent
}

func newMutableProxy(t *testing.T, target string) *mutableProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &mutableProxy{addr: l.Addr().String()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			t.Cleanup(func() { _, _ = in.Close(), out.Close() })
			era := p.current()
			go p.copy(out, in, era)
			go p.copy(in, out, era)
		}
	}()
	return p
}

func (p *mutableProxy) current() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead {
		p.era++
	}
	return p.era
}

// cut silences all connections, also those that are opened later.
func (p *mutableProxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

// mute silences the connections that are open now.
func (p *mutableProxy) mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
}

func (p *mutableProxy) copy(to, from net.Conn, era int) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if p.current() == era {
			_, _ = to.Write(buf[:n])
		}
	}
}

// Guards against a change that is noticed late because all open connections to the
// store have gone silent, and each of several idle ones is tried in turn.
func TestChangeAfterSilentConnections(t *testing.T) {
	const delay = 2500 * time.Millisecond
	store, addr := platformtest.Start(t)
	proxy := newMutableProxy(t, addr)
	client := platform.NewStore(proxy.addr, newPaths(proxy.addr, zerolog.Nop()))
	v := newVersions()
	go follower.New(client, "kind", v, follower.WithWait(follower.WatchWait(delay))).Run(t.Context())
	<-v.listed
	store.SetFaults(platformtest.Faults{ResponseDelay: 50 * time.Millisecond})
	var reads sync.WaitGroup
	for range 4 { // leaves idle connections behind
		reads.Go(func() { _, _, _ = client.List(t.Context(), "other") })
	}
	reads.Wait()
	store.SetFaults(platformtest.Faults{})
	proxy.mute()
	store.Put("kind", "new", map[string]any{})
	start := time.Now()
	for !v.has("new") && time.Since(start) < 3*delay {
		time.Sleep(5 * time.Millisecond)
	}
	if late := time.Since(start); late > delay {
		t.Errorf("change known after %v, must be within %v", late, delay)
	}
}

// Guards against a change that is noticed late because the call that should have
// returned it was caught by a silence of the store. Every phase of a watch and of a
// list is caught, for the configuration and for the targets, directly and through a
// relay.
func TestChangeAfterSilence(t *testing.T) {
	const delay = 2500 * time.Millisecond // bound of the smallest deployment
	type phase struct {
		name    string
		before  time.Duration // from the first list to the silence; negative: the silence comes first
		silence time.Duration
	}
	var phases []phase
	for _, silence := range []time.Duration{100 * time.Millisecond, 1300 * time.Millisecond, 3 * time.Second} {
		phases = append(phases, phase{fmt.Sprintf("list, silent for %v", silence), -1, silence})
		for before := 20 * time.Millisecond; before < 1600*time.Millisecond; before += 250 * time.Millisecond {
			phases = append(phases, phase{fmt.Sprintf("watch after %v, silent for %v", before, silence), before, silence})
		}
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, kind := range []string{platform.KindConfig, platform.KindRunners} {
		for _, relayed := range []bool{false, true} {
			for _, p := range phases {
				store, addr := platformtest.Start(t)
				store.Put(kind, "old", map[string]any{})
				direct, relays := addr, []string(nil)
				if relayed {
					direct, relays = silentListener(t), []string{startTunnel(t, addr)}
				}
				wg.Go(func() {
					late, err := delayAfterSilence(store, direct, relays, kind, delay, p.before, p.silence)
					if err != nil || late > delay {
						t.Errorf("%s, relayed %v, %s: change known after %v, must be within %v (%v)", kind, relayed, p.name, late, delay, err)
					}
				})
			}
		}
	}
}

// delayAfterSilence silences the store while a follower runs, writes an object at the
// end of the silence, and returns how long the follower takes to report it.
func delayAfterSilence(store *platformtest.Store, direct string, relays []string, kind string, delay, before, silence time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newPaths(direct, zerolog.Nop())
	p.setRelays(relays)
	v := newVersions()
	if before < 0 {
		store.SetFaults(platformtest.Faults{Unresponsive: true})
	}
	go follower.New(platform.NewStore(direct, p), kind, v, follower.WithWait(follower.WatchWait(delay))).Run(ctx)
	if before >= 0 {
		select {
		case <-v.listed:
		case <-time.After(5 * time.Second):
			return 0, errors.New("nothing listed")
		}
		time.Sleep(before)
		store.SetFaults(platformtest.Faults{Unresponsive: true})
	}
	time.Sleep(silence)
	store.Put(kind, "new", map[string]any{})
	store.SetFaults(platformtest.Faults{})
	start := time.Now()
	for !v.has("new") {
		if time.Since(start) > 3*delay {
			return time.Since(start), errors.New("change not known at all")
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start), nil
}
