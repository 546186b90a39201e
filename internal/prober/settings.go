package prober

import (
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/loader"
	"daisylane/internal/logger"
)

// Kinds of requests.
const (
	KindChat    = "chat"
	KindService = "service"
)

const (
	maxRequests = 1_000_000
	maxInFlight = 5_000
	maxRate     = 10_000
	maxRetries  = 10
	maxDuration = loader.Duration(2 * time.Hour)
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Entries     []string        `toml:"entries"`
	Engines     []string        `toml:"engines"`
	Bookings    []string        `toml:"bookings"`
	Seed        uint64          `toml:"seed"`
	MaxRequests int             `toml:"limit"`
	MaxInFlight int             `toml:"inflight"`
	Timeout     loader.Duration `toml:"timeout"`
	SettleTime  loader.Duration `toml:"settle"`
	BillsFile   string          `toml:"bills"` // path of a JSON file with settled tokens per caller
	Callers     []Caller        `toml:"caller"`
	Phases      []Phase         `toml:"phase"`
}

// Caller describes one kind of request.
type Caller struct {
	Name        string        `toml:"name"`
	Key         logger.Secret `toml:"key"`
	Kind        string        `toml:"kind"`
	Path        string        `toml:"path"`
	Model       string        `toml:"model"`
	Share       float64       `toml:"share"`
	Worth       float64       `toml:"worth"`
	Tokens      int           `toml:"tokens"`
	PrefixBytes int           `toml:"prefix"`
	Budget      int           `toml:"budget"`
	Retries     int           `toml:"repeat"` // retries after an attempt without a final outcome
}

// Phase is a part of the experiment with a constant mean rate.
type Phase struct {
	Name     string          `toml:"name"`
	Rate     float64         `toml:"rate"`
	Duration loader.Duration `toml:"duration"`
	Faults   []Fault         `toml:"fault"`
}

// Fault is a request that sets fault switches at the start of a phase.
type Fault struct {
	URL  string `toml:"url"`
	Body string `toml:"body"`
}

// Defaults are the values of settings that a file omits.
var Defaults = Experiment{
	MaxRequests: 10_000, MaxInFlight: 500, Timeout: loader.Duration(time.Minute), SettleTime: loader.Duration(2 * time.Second),
}

// Check validates the experiment.
func (e Experiment) Check() error {
	var f checker.Validator
	f.Require(len(e.Entries) > 0, "entries", "is empty")
	for key, list := range map[string][]string{"entries": e.Entries, "engines": e.Engines, "bookings": e.Bookings} {
		for i, u := range list {
			checkURL(&f, key+"."+strconv.Itoa(i), u)
		}
	}
	checker.Range(&f, "limit", e.MaxRequests, 1, maxRequests)
	checker.Range(&f, "inflight", e.MaxInFlight, 1, maxInFlight)
	f.Require(e.Timeout > 0, "timeout", "is not positive")
	f.Require(e.SettleTime >= 0, "settle", "is negative")
	f.Require(len(e.Callers) > 0, "caller", "is missing")
	f.Require(len(e.Phases) > 0, "phase", "is missing")
	for i, c := range e.Callers {
		f.AddNested("caller."+strconv.Itoa(i), c.Check())
	}
	for i, p := range e.Phases {
		f.AddNested("phase."+strconv.Itoa(i), p.Check())
	}
	return f.Err()
}

// Check validates the caller.
func (c Caller) Check() error {
	var f checker.Validator
	f.Require(c.Name != "", "name", "is empty")
	f.Require(c.Kind == KindChat || c.Kind == KindService, "kind", "is %q, allowed is chat or service", c.Kind)
	f.Require(c.Path != "" && c.Path[0] == '/', "path", "is %q, want a path", c.Path)
	f.Require(c.Share > 0, "share", "is not positive")
	f.Require(c.Worth >= 0, "worth", "is negative")
	f.Require(c.Kind != KindChat || c.Tokens > 0, "tokens", "is not positive")
	f.Require(c.PrefixBytes >= 0, "prefix", "is negative")
	f.Require(c.Budget >= 0, "budget", "is negative")
	checker.Range(&f, "repeat", c.Retries, 0, maxRetries)
	return f.Err()
}

// Check validates the phase.
func (p Phase) Check() error {
	var f checker.Validator
	f.Require(p.Name != "", "name", "is empty")
	checker.Range(&f, "rate", p.Rate, 0, maxRate)
	checker.Range(&f, "duration", p.Duration, 0, maxDuration)
	for i, s := range p.Faults {
		key := "fault." + strconv.Itoa(i)
		checkURL(&f, key+".url", s.URL)
		f.Require(json.Valid([]byte(s.Body)), key+".body", "is no JSON")
	}
	return f.Err()
}

// checkURL accepts loopback addresses only, so that a wrong experiment file sends no
// load to other systems.
func checkURL(f *checker.Validator, key, text string) {
	u, err := url.Parse(text)
	if err != nil {
		f.Add(key, "is %q, want a URL", text)
		return
	}
	ip := net.ParseIP(u.Hostname())
	f.Require(u.Scheme == "http" && ip != nil && ip.IsLoopback(), key, "is %q, want http:// and a loopback address", text)
}
