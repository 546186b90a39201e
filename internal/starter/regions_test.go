package starter

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// located is a fleet whose runners are in several data centres: a is in the region north, b
// and c are in south.
type located struct {
	*fleet
	mu      sync.Mutex
	reached map[string]string // data centres that each request reached, in order, by its ID
}

func startLocated(t *testing.T, edit func(bounds map[string]any)) *located {
	t.Helper()
	f := &located{fleet: startFleet(t, 0, 0, nil), reached: make(map[string]string)}
	f.edit = func(settings map[string]any) {
		settings["region"], settings["zones"] = "north", map[string]string{"a": "north", "b": "south", "c": "south"}
		if edit != nil {
			edit(settings["bounds"].(map[string]any))
		}
	}
	return f
}

// add adds a runner of a service in a data centre.
func (f *located) add(service, centre string, respond func() platformtest.Response) {
	f.t.Helper()
	f.addRunner(service, func(_ int, req platformtest.Request) platformtest.Response {
		f.mu.Lock()
		f.reached[req.Header.Get("Daisylane-Attempt-Id")] += centre
		f.mu.Unlock()
		return respond()
	})
	r := f.runners[len(f.runners)-1]
	f.store.Put(platform.KindRunners, r.id, r.runner.Registration(service, centre))
}

func (f *located) centresOf(c fleetCall) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reached[c.id]
}

// configure writes a configuration with a route of each service, whose path is its name.
func (f *located) configure(version int, routes, tenants string) {
	f.store.Put(platform.KindConfig, platform.ConfigName, json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[%s],
		"services":[{"name":"s1","max_conns":90,"engine_name":{"slots":64,"kv_capacity":99999,"stride":4}},{"name":"s2","max_conns":90},
		{"name":"s3","max_conns":90},{"name":"s4","max_conns":90},{"name":"s5","max_conns":90}],"tenants":[%s]}`, version, routes, tenants)))
}

// routeTo returns a route; extra holds further fields.
func routeTo(path, service, kind, extra string) string {
	return fmt.Sprintf(`{"name":"%s","hostname":"a.example","path_prefix":"/%s/","route_type":"%s","timeout_ms":5000,"target_latency_ms":1000,"service":"%s","max_attempts":3%s}`,
		path, path, kind, service, extra)
}

const (
	inNorth   = `,"allowed_regions":["north"]`
	inSouth   = `,"allowed_regions":["south"]`
	inUnknown = `,"allowed_regions":["east"]`
)

func awaitLog(f *fleet, what string) {
	f.t.Helper()
	platformtest.Eventually(f.t, what+" is logged", func() bool {
		for _, out := range f.logs {
			if !strings.Contains(out.String(), what) {
				return false
			}
		}
		return true
	})
}

// Guards against a request that reaches a target in a region which its route or its account
// does not allow, at first or in a retry or as a resumed stream, also when the breakers of all
// allowed targets are open; against one that is refused without need, or for another reason
// than the region, or without a time to come back; and against a retry by the configuration
// that was in force when the request arrived.
func TestRegions(t *testing.T) {
	f := startLocated(t, nil)
	plain := func() platformtest.Response { return platformtest.Response{Body: "ok"} }
	stream := func() platformtest.Response { return platformtest.Response{Events: 3} }
	fails := func() platformtest.Response { return platformtest.Response{Reset: true} }
	cut := func() platformtest.Response { return platformtest.Response{Events: 3, CutAfter: 1} }
	arrived, release := make(chan struct{}, 9), make(chan struct{})
	failsLater := func() platformtest.Response {
		arrived <- struct{}{}
		<-release
		return platformtest.Response{Reset: true}
	}
	for _, centre := range []string{"a", "b", "c"} {
		f.add("s1", centre, stream)
		f.add("s2", centre, plain)
	}
	for service, inNorth := range map[string]func() platformtest.Response{"s3": fails, "s4": cut, "s5": failsLater} {
		f.add(service, "a", inNorth)
		f.add(service, "a", inNorth)
		f.add(service, "b", stream)
	}
	routes := []string{
		routeTo("any", "s2", "idempotent", `,"allowed_regions":[]`), routeTo("north", "s2", "idempotent", inNorth), routeTo("unknown", "s2", "non_idempotent", inUnknown),
		routeTo("public", "s2", "idempotent", inNorth+`,"public":true`),
		routeTo("engine", "s1", "streaming", inSouth), routeTo("enginefree", "s1", "streaming", ""),
		routeTo("retry", "s3", "idempotent", inNorth), routeTo("resume", "s4", "streaming", inNorth+`,"resumable":true`),
	}
	tenants := `{"name":"t1","api_keys":["k1"]},{"name":"t2","api_keys":["k2"]` + inSouth + `},{"name":"t3","api_keys":["k3"],"allowed_regions":["north","south"]},
		{"name":"t4","api_keys":["k4"]` + inUnknown + `}`
	f.configure(4, strings.Join(append(routes, routeTo("moved", "s5", "idempotent", inNorth)), ","), tenants)
	f.startEntry()
	f.startEntry()
	// First, because the retry budget has to last.
	call := make(chan fleetCall)
	go func() { call <- f.postAs("k1", f.callers[0], "/moved/1", "body") }()
	<-arrived
	f.configure(5, strings.Join(append(routes, routeTo("moved", "s5", "idempotent", inSouth)), ","), tenants)
	awaitLog(f.fleet, `"version":5`)
	close(release)
	if c := <-call; !c.whole || f.centresOf(c) != "ab" {
		t.Errorf("retry after a change of the regions: status %d, reached %q", c.status, f.centresOf(c))
	}

	tests := []struct {
		name, path, key string
		allowed         string // data centres
		cause           string // of refusals, empty: all are served; "any": some or all may fail
	}{
		{"no regions", "/any/1", "k1", "abc", ""},
		{"route", "/north/1", "k1", "a", ""},
		{"account", "/any/1", "k2", "bc", ""},
		{"both, in common", "/north/1", "k3", "a", ""},
		{"both, nothing in common", "/north/1", "k2", "", "region"},
		{"unknown region of the route", "/unknown/1", "k1", "", "region"},
		{"unknown region of the account", "/any/1", "k4", "", "region"},
		{"public, without a key", "/public/1", "", "a", ""},
		{"public, with a key", "/public/1", "k2", "", "region"},
		{"engine, route", "/engine/1", "k1", "bc", ""},
		{"engine, account", "/enginefree/1", "k2", "bc", ""},
		{"engine, unknown region", "/engine/1", "k4", "", "region"},
		{"retries", "/retry/1", "k1", "a", "any"},
		{"resumed streams", "/resume/1", "k1", "a", "any"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			outside, served := 0, 0
			for i := range 20 {
				began := time.Now()
				c := f.postAs(tt.key, f.callers[i%2], tt.path, "body")
				if c.whole {
					served++
				} else if tt.cause != "any" && (c.cause != tt.cause || c.status != 503 || c.after == "" || time.Since(began) > 500*time.Millisecond) {
					t.Errorf("refused after %v with %d %q, Retry-After %q", time.Since(began), c.status, c.cause, c.after)
				}
				if strings.Trim(f.centresOf(c), tt.allowed) != "" {
					outside++
				}
			}
			if outside > 0 || tt.cause == "" && served < 20 || tt.cause == "region" && served > 0 {
				t.Errorf("%d of 20 reached a region that is not allowed, %d were served", outside, served)
			}
		})
	}
}
