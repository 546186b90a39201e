package resolver

import (
	"testing"
	"time"
)

func route(name, host, prefix string, shares ...WeightedService) Route {
	if len(shares) == 0 {
		shares = []WeightedService{{"engine", 1}}
	}
	return Route{Name: name, Host: host, Prefix: prefix, Kind: Idempotent, Shares: shares, Timeout: time.Second, MaxAttempts: 1}
}

// Guards against matching a request to a route with a shorter prefix or of another
// host, and against matching part of a path segment.
func TestRoute(t *testing.T) {
	table, err := New(Config{Routes: []Route{
		route("short", "a.example", "/plans/"),
		route("long", "a.example", "/plans/new/"),
		route("root", "b.example", "/"),
	}})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, host, path, want string }{
		{"prefix", "a.example", "/plans/7", "short"},
		{"longest prefix", "a.example", "/plans/new/7", "long"},
		{"the prefix itself", "a.example", "/plans/new/", "long"},
		{"no slash at the end", "a.example", "/plans/new", "short"},
		{"part of a name", "a.example", "/plansx/7", ""},
		{"host with port and capitals", "A.Example:8080", "/plans/7", "short"},
		{"other host", "b.example", "/plans/7", "root"},
		{"unknown host", "c.example", "/plans/7", ""},
		{"no path", "a.example", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if r, ok := table.Route(tt.host, tt.path); ok {
				got = r.Name
			}
			if got != tt.want {
				t.Errorf("got route %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a service that gets more or fewer requests than its weight, and against
// one that gets any if all weights are 0.
func TestServiceWeights(t *testing.T) {
	r := route("split", "a.example", "/", WeightedService{"old", 90}, WeightedService{"off", 0}, WeightedService{"new", 10})
	counts := map[string]int{}
	for n := range r.TotalWeight() {
		counts[r.ServiceAt(n)]++
	}
	if counts["old"] != 90 || counts["new"] != 10 || counts["off"] != 0 {
		t.Errorf("got %v", counts)
	}
	if off := route("off", "a.example", "/", WeightedService{"old", 0}).ServiceAt(0); off != "" {
		t.Errorf("got %q although all weights are 0", off)
	}
}

// Guards against a configuration that is accepted although requests of one of its
// routes cannot be served.
func TestInvalidRoute(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Route)
	}{
		{"no host", func(r *Route) { r.Host = "" }},
		{"prefix without slash", func(r *Route) { r.Prefix = "/plans" }},
		{"unknown kind", func(r *Route) { r.Kind = "batch" }},
		{"no service", func(r *Route) { r.Shares = nil }},
		{"negative weight", func(r *Route) { r.Shares = []WeightedService{{"engine", -1}} }},
		{"no timeout", func(r *Route) { r.Timeout = 0 }},
		{"no attempt", func(r *Route) { r.MaxAttempts = 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := route("plans", "a.example", "/plans/")
			tt.change(&r)
			if _, err := New(Config{Routes: []Route{r}}); err == nil {
				t.Error("the route is accepted")
			}
		})
	}
}
