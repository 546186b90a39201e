package starter

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"daisylane/internal/follower"
	"daisylane/internal/granter"
	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// changeBound is config_apply_ms and drain_ms in the settings of a fleet that shares its
// watches.
const changeBound = 2500 * time.Millisecond

// processVariable names the settings of an entry that runs as a process of its own.
const processVariable = "DAISYLANE_TEST_ENTRY"

// startSharingFleet starts entries of one data centre.
func startSharingFleet(t *testing.T, entries int) *fleet {
	t.Helper()
	f := startFleet(t, 0, 1, func(int, platformtest.Request) platformtest.Response { return platformtest.Response{Events: 3} })
	f.store.StartEras()
	f.edit = func(s map[string]any) {
		bounds := s["bounds"].(map[string]any)
		bounds["config_apply_ms"], bounds["drain_ms"] = changeBound.Milliseconds(), changeBound.Milliseconds()
	}
	for range entries {
		f.startEntry()
	}
	t.Cleanup(f.kill) // faster than a graceful stop
	return f
}

// Guards against watches of each instance, whose calls are the largest cost of a fleet.
func TestWatchesAreShared(t *testing.T) {
	f := startSharingFleet(t, 4)
	time.Sleep(3 * time.Second) // until all have greeted each other
	before := f.store.CallsByKind()
	const period = 8 * time.Second
	time.Sleep(period)
	after := f.store.CallsByKind()
	for kind, n := range after {
		t.Logf("%s: %d", kind, n-before[kind])
	}
	// One entry makes 6 or 7 watches of a kind, four make 24 to 28. On a loaded machine a
	// neighbour that gets no answer in time makes some of its own.
	for _, kind := range []string{platform.KindConfig, platform.KindRunners, "warnings"} {
		if n := after["watch "+kind] - before["watch "+kind]; n > 16 {
			t.Errorf("%d watches of %s in %v, want those of one entry", n, kind, period)
		}
	}
}

// TestEntryProcess is the entry that startWatcher starts, and tests nothing by itself.
func TestEntryProcess(t *testing.T) {
	path := os.Getenv(processVariable)
	if path == "" {
		t.Skip("runs as a process of another test")
	}
	os.Exit(RunEntry([]string{"--settings", path}, os.Stdout, os.Stderr))
}

// startWatcher starts an entry as a process which reaches the store at an address, and which
// the others ask for the configuration and the targets.
func startWatcher(t *testing.T, f *fleet, store string) *os.Process {
	t.Helper()
	kinds := []string{platform.KindConfig, platform.KindRunners}
	ip, peer := "", ""
	for i := f.nextIP + 100; ip == ""; i++ {
		candidate := fleetIP(i)
		g := granter.New(granter.Identity{Name: "edge-" + candidate + "-" + candidate})
		for _, e := range f.entries {
			g.SetPeer(e.cfg.Name+"-"+e.cfg.Addr, "addr")
		}
		first := true
		for _, kind := range kinds {
			_, before := g.Rank("watch/" + kind)
			first = first && before == 0
		}
		if first {
			ip = candidate
		}
	}
	path := editedSettings(t, store, ip)
	editSettings(t, path, f.edit)
	cfg, err := platform.LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	peer = cfg.Addr + ":" + cfg.PeerPort()
	cmd := exec.Command(os.Args[0], "-test.run=^TestEntryProcess$")
	cmd.Env = append(os.Environ(), processVariable+"="+path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // the process was killed
	})
	for i := range f.entries {
		for _, kind := range kinds {
			platformtest.Eventually(t, "the entries ask the watcher", func() bool {
				return strings.Contains(f.logs[i].String(), fmt.Sprintf(`"kind":%q,"addr":%q`, kind, peer))
			})
		}
	}
	return cmd.Process
}

// Guards against a change that takes effect late, or not at all, at instances whose watcher
// is killed, frozen, cut off from the store or without a response of it, or while the store
// goes back.
func TestChangesWhileWatcherFails(t *testing.T) {
	type part struct {
		store   *platformtest.Store
		watcher *os.Process
		path    *mutableProxy // of the watcher to the store
	}
	signal := func(s syscall.Signal) func(*testing.T, part) {
		return func(t *testing.T, p part) {
			if err := p.watcher.Signal(s); err != nil {
				t.Error(err)
			}
		}
	}
	tests := []struct {
		name string
		fail func(*testing.T, part)
	}{
		{"no failure", func(*testing.T, part) {}},
		{"killed", signal(syscall.SIGKILL)},
		{"frozen", signal(syscall.SIGSTOP)},
		{"cut off from the store", func(_ *testing.T, p part) { p.path.cut() }},
		{"response lost", func(_ *testing.T, p part) { p.path.mute() }},
		{"history dropped", func(_ *testing.T, p part) { p.store.Compact() }},
		{"store restored from an older copy", func(_ *testing.T, p part) {
			old := p.store.Copy()
			p.store.Put("warnings", "other.a", map[string]int{"n": 1})
			p.store.Restore(old)
		}},
		{"store restored, watcher frozen", func(t *testing.T, p part) {
			signal(syscall.SIGSTOP)(t, p)
			p.store.Restore(p.store.Copy())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startSharingFleet(t, 3)
			proxy := newMutableProxy(t, f.addr)
			process := startWatcher(t, f, proxy.addr)
			// Changes right after the failure, while it is noticed, and when the watcher is
			// replaced.
			tt.fail(t, part{f.store, process, proxy})
			for version := int64(4); version < 8; version++ {
				f.checkChange(t, version)
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
}

// checkChange changes the configuration and the targets, and checks that the entries know
// both within their bound.
func (f *fleet) checkChange(t *testing.T, version int64) {
	t.Helper()
	var cfg map[string]any
	if err := json.Unmarshal(f.store.Get(platform.KindConfig, platform.ConfigName), &cfg); err != nil {
		t.Fatal(err)
	}
	cfg["version"] = version
	f.store.Put(platform.KindConfig, platform.ConfigName, cfg)
	id := fmt.Sprintf("i-%d", version)
	f.store.Put(platform.KindRunners, id, f.runners[0].runner.Registration("s2", "a"))
	changed := time.Now()
	for i, e := range f.entries {
		for !e.hasChange(version, id) && time.Since(changed) < 2*changeBound {
			time.Sleep(5 * time.Millisecond)
		}
		if took := time.Since(changed); took > changeBound {
			t.Errorf("entry %d knows change %d after %v, want %v", i, version, took, changeBound)
		}
	}
	t.Logf("change %d known everywhere after %v", version, time.Since(changed))
}

// hasChange reports whether an entry has a version of the configuration and a target.
func (e *entry) hasChange(version int64, target string) (ok bool) {
	e.dispatcher.WithRoster(func(r *follower.Roster) { ok = r.Has(target) })
	return ok && e.receiver.Table().Version() == version
}
