package resolver

import (
	"fmt"
	"strings"
)

// New indexes a configuration. It returns an error if a route is invalid.
func New(cfg Config) (*Table, error) {
	t := &Table{
		cfg: cfg, routes: make(map[string]map[string]*Route), services: make(map[string]*Service),
		keys: make(map[string]*Account), accounts: make(map[string]*Account),
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Accounts {
		a := &cfg.Accounts[i]
		t.accounts[a.Name] = a
		for _, key := range a.Keys {
			t.keys[key] = a
		}
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if err := r.Check(); err != nil {
			return nil, fmt.Errorf("route %q of version %d: %w", r.Name, cfg.Version, err)
		}
		host := strings.ToLower(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = make(map[string]*Route)
		}
		t.routes[host][r.Prefix] = r
	}
	return t, nil
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.cfg.Version }

// KeyRequired reports whether requests need a key unless their route is public.
func (t *Table) KeyRequired() bool { return t.cfg.KeyRequired }

// Limits returns the limits on requests of callers.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Accounts returns all client accounts. The caller must not modify the slice.
func (t *Table) Accounts() []Account { return t.cfg.Accounts }

// Route returns the route of the host whose prefix is the longest that matches the
// path. The host is case-insensitive and may include a port, which is ignored.
func (t *Table) Route(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	prefixes := t.routes[host]
	for end := len(path); len(prefixes) > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if r, ok := prefixes[path[:slash+1]]; ok {
			return r, true
		}
		end = slash
	}
	return nil, false
}

// Routes returns all routes.
func (t *Table) Routes() []Route { return t.cfg.Routes }

// Services returns all services. The caller must not modify the slice.
func (t *Table) Services() []Service { return t.cfg.Services }

// Service returns the service with this name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// AccountByKey returns the account that has this key.
func (t *Table) AccountByKey(key string) (*Account, bool) {
	a, ok := t.keys[key]
	return a, ok
}

// AccountByName returns the account with this name.
func (t *Table) AccountByName(name string) (*Account, bool) {
	a, ok := t.accounts[name]
	return a, ok
}
