package receiver_test

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/internal/follower"
	"daisylane/internal/receiver"
	"daisylane/internal/registrar"
	"daisylane/platform/platformtest"
)

// origins is a fake of [receiver.Streams].
type origins struct {
	versions []string
	known    map[string]registrar.Origin

	mu    sync.Mutex
	begun map[string]registrar.Origin
	ended map[string]bool // whether the stream broke off
}

func (o *origins) Ready() bool                               { return true }
func (o *origins) Versions(context.Context, string) []string { return o.versions }

func (o *origins) Origin(_ context.Context, _, id string, _ time.Duration) (registrar.Origin, error) {
	if origin, ok := o.known[id]; ok {
		return origin, nil
	}
	return registrar.Origin{}, errors.New("unknown")
}

func (o *origins) Begin(id string, origin registrar.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun[id] = origin
}

func (o *origins) End(id string, broken bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended[id] = broken
}

// Guards against each path on which a stream could reach a target of another software
// version than the one that began it, or on which its origin would not be recorded.
func TestStreamVersions(t *testing.T) {
	whole, broken := platformtest.Response{Events: 3}, platformtest.Response{Events: 3, CutAfter: 1}
	at := func(version string) registrar.Origin { return registrar.Origin{Service: "engine", Version: version} }
	tests := []struct {
		name     string
		path     string
		versions []string // at which streams may begin
		script   platformtest.Response
		resumes  string
		status   int
		targets  string // that got a request, in order of their versions
		cause    string
		ends     map[string]bool
	}{
		{name: "new stream", path: "/summary/7", versions: []string{"v2"}, script: whole, status: 200, targets: "v2", ends: map[string]bool{"id-1": false}},
		{name: "no listed version serves", path: "/summary/7", versions: []string{"v3"}, script: whole, status: 503, cause: "notargets"},
		{name: "breaks off and goes on at its version", path: "/summary/7", versions: []string{"v2"}, script: broken, status: 200, targets: "v2 v2", ends: map[string]bool{"id-1": false}},
		{name: "taken up", path: "/summary/7", versions: []string{"v1", "v2"}, script: whole, resumes: "old", status: 200, targets: "v1", ends: map[string]bool{"old": false}},
		{name: "taken up, unknown", path: "/summary/7", versions: []string{"v1", "v2"}, script: whole, resumes: "new", status: 503, cause: "versionunknown"},
		{name: "taken up, version gone", path: "/summary/7", versions: []string{"v1", "v2"}, script: whole, resumes: "gone", status: 503, cause: "versiongone"},
		{name: "taken up, other service", path: "/summary/7", versions: []string{"v1", "v2"}, script: whole, resumes: "moved", status: 503, cause: "versiongone"},
		{name: "no stream that may be resumed", path: "/plan/7", versions: []string{"v3"}, script: whole, status: 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := &origins{
				versions: tt.versions, begun: make(map[string]registrar.Origin), ended: make(map[string]bool),
				known: map[string]registrar.Origin{"old": at("v1"), "gone": at("v0"), "moved": {Service: "booking", Version: "v1"}},
			}
			script := []platformtest.Response{tt.script}
			f := startWith(t, []receiver.Option{receiver.WithStreams(o)}, script, script, script)
			versions := []string{"v1", "v2", "v2"}
			f.dispatcher.WithRoster(func(ros *follower.Roster) {
				for i, r := range f.runners {
					ros.Put(follower.Target{ID: r.ID + "engine", Service: "engine", Addr: r.Addr(), Centre: "a", Slots: 8, Version: versions[i]})
				}
			})
			headers := map[string]string{}
			if tt.resumes != "" {
				headers["Resumes"], headers["Last-Event-Id"] = tt.resumes, "1"
			}
			res, body, err := f.call(t, tt.path, "x", headers)
			if err != nil || res.StatusCode != tt.status || tt.cause != "" && strings.TrimSpace(body) != tt.cause {
				t.Fatalf("response %v %q, %v, want %d %s", res, body, err, tt.status, tt.cause)
			}
			if tt.status != 200 && res.Header.Get("Retry-After") == "" {
				t.Error("refused without a time to come back")
			}
			var reached []string
			for i, r := range f.runners {
				for range r.Requests() {
					reached = append(reached, versions[i])
				}
			}
			if got := strings.Join(reached, " "); tt.path != "/plan/7" && got != tt.targets {
				t.Errorf("targets %q, want %q", got, tt.targets)
			}
			if len(o.ended) != len(tt.ends) {
				t.Errorf("ended %v, want %v", o.ended, tt.ends)
			}
			for id, broken := range tt.ends {
				if got, ok := o.ended[id]; !ok || got != broken || o.begun[id].Service != "engine" {
					t.Errorf("stream %s begun at %v, ended %v", id, o.begun[id], o.ended)
				}
			}
		})
	}
}

// Guards against a stream that goes on at a target, or from one, whose process may be another
// one than the registered, and against streams that are given up without need.
func TestUncertainVersions(t *testing.T) {
	broken := platformtest.Response{Events: 3, CutAfter: 1, Pause: 100 * time.Millisecond}
	tests := []struct {
		name      string
		uncertain int  // targets, the first ones
		confirmed bool // all, while the stream runs
		others    bool // the others are confirmed while it runs
		resumes   string
		status    int
		complete  bool
		targets   string // that got a request
		begunAt   string // version, "?" if it is not known
	}{
		{name: "breaks off, certain", status: 200, complete: true, targets: "2", begunAt: "v1"},
		{name: "breaks off, uncertain", uncertain: 2, status: 200, targets: "1", begunAt: "?"},
		{name: "breaks off, certain since", uncertain: 2, confirmed: true, status: 200, complete: true, targets: "2", begunAt: "v1"},
		{name: "breaks off, only others are certain since", uncertain: 2, others: true, status: 200, targets: "1", begunAt: "?"},
		{name: "new, one target is certain", uncertain: 1, status: 200, targets: "1", begunAt: "v1"},
		{name: "taken up, one target is certain", uncertain: 1, resumes: "old", status: 200, complete: true, targets: "1", begunAt: "v1"},
		{name: "taken up, all are uncertain", uncertain: 2, resumes: "old", status: 503, targets: "0", begunAt: "v1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := &origins{
				versions: []string{"v1"}, begun: make(map[string]registrar.Origin), ended: make(map[string]bool),
				known: map[string]registrar.Origin{"old": {Service: "engine", Version: "v1"}},
			}
			script := []platformtest.Response{broken}
			f := startWith(t, []receiver.Option{receiver.WithStreams(o)}, script, script)
			f.dispatcher.WithRoster(func(ros *follower.Roster) {
				for i, r := range f.runners {
					ros.Put(follower.Target{ID: r.ID + "engine", Service: "engine", Addr: r.Addr(), Centre: "a", Slots: 8, Version: "v1"})
					if i < tt.uncertain {
						ros.RecordClosed(time.Now(), r.Addr())
					}
				}
			})
			if tt.confirmed {
				time.AfterFunc(50*time.Millisecond, func() {
					f.dispatcher.WithRoster(func(ros *follower.Roster) { ros.RecordContact(time.Now()) })
				})
			}
			if tt.others {
				time.AfterFunc(50*time.Millisecond, func() {
					f.dispatcher.WithRoster(func(ros *follower.Roster) {
						for _, v := range ros.Ready("engine") {
							if i := slices.IndexFunc(f.runners, func(r *platformtest.Runner) bool { return r.Addr() == v.Addr }); len(f.runners[i].Requests()) == 0 {
								ros.Confirm(time.Now(), v)
							}
						}
					})
				})
			}
			headers, id := map[string]string{}, "id-1"
			if tt.resumes != "" {
				headers["Resumes"], headers["Last-Event-Id"], id = tt.resumes, "1", tt.resumes
			}
			res, body, err := f.call(t, "/summary/7", "x", headers)
			if res == nil || res.StatusCode != tt.status || (err == nil && tt.status == 200) != tt.complete {
				t.Fatalf("response %v %q, %v, want %d", res, body, err, tt.status)
			}
			if tt.status == 503 && strings.TrimSpace(body) != "versionunknown" {
				t.Errorf("refused as %q", body)
			}
			if got := strconv.Itoa(f.runs()); got != tt.targets {
				t.Errorf("%s requests reached targets, want %s", got, tt.targets)
			}
			o.mu.Lock()
			defer o.mu.Unlock()
			if got := o.begun[id].Version; got != tt.begunAt {
				t.Errorf("begun at %q, want %q", got, tt.begunAt)
			}
		})
	}
}

// Guards against a stream that goes on at a target whose restart shows only when the stream is
// about to be sent: on a connection that is taken from the idle ones, or when a new one is made
// while an older one has ended and nobody has read from it since.
func TestRestartSeenWhenSent(t *testing.T) {
	for _, inUse := range []bool{false, true} {
		t.Run("connection in use "+strconv.FormatBool(inUse), func(t *testing.T) {
			o := &origins{
				versions: []string{"v1"}, begun: make(map[string]registrar.Origin), ended: make(map[string]bool),
				known: map[string]registrar.Origin{"old": {Service: "engine", Version: "v1"}},
			}
			script := []platformtest.Response{{Events: 3, Pause: 300 * time.Millisecond}}
			f := startWith(t, []receiver.Option{receiver.WithStreams(o)}, script)
			f.watchesEnds = true
			r := f.runners[0]
			f.dispatcher.WithRoster(func(ros *follower.Roster) {
				ros.Put(follower.Target{ID: r.ID + "engine", Service: "engine", Addr: r.Addr(), Centre: "a", Slots: 8, Version: "v1"})
			})
			first := make(chan error, 1)
			go func() {
				_, _, err := f.call(t, "/plan/7", "x", map[string]string{"Daisylane-Deadline-Ms": "5000"})
				first <- err
			}()
			if inUse {
				platformtest.Eventually(t, "it is sent", func() bool { return f.runs() == 1 })
			} else if err := <-first; err != nil {
				t.Fatal(err)
			}
			r.Close()
			if err := r.Restart(); err != nil {
				t.Fatal(err)
			}
			res, body, err := f.call(t, "/summary/7", "x", map[string]string{"Resumes": "old", "Last-Event-Id": "1", "Daisylane-Attempt-Id": "id-2"})
			if err != nil || res.StatusCode != 503 || strings.TrimSpace(body) != "versionunknown" {
				t.Errorf("response %v %q, %v, want versionunknown", res, body, err)
			}
			if n := f.runs(); n != 1 {
				t.Errorf("%d requests reached the target, want 1", n)
			}
		})
	}
}
