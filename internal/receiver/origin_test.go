package receiver_test

import (
	"context"
	"errors"
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
