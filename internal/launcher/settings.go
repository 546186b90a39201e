package launcher

import (
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/checker"
	"daisylane/internal/credentialer"
	"daisylane/internal/holder"
	"daisylane/internal/loader"
	"daisylane/internal/recoverer"
	"daisylane/internal/tracer"
)

// Settings are the settings of an entry process.
type Settings struct {
	Name     string                `toml:"name"`
	Centre   string                `toml:"centre"`
	Region   string                `toml:"region"`
	Regions  []string              `toml:"regions"` // all regions of the deployment
	Platform string                `toml:"platform"`
	Level    string                `toml:"level"` // log level
	Listen   Listen                `toml:"listen"`
	Budgets  Budgets               `toml:"budgets"`
	Limits   Limits                `toml:"limits"`
	Stop     Stop                  `toml:"stop"`
	Trust    map[string]string     `toml:"trust"` // base64 public keys by operator
	Peers    []Peer                `toml:"peers"` // entries to use while the platform is down
	TLS      credentialer.Settings `toml:"tls"`
	Trace    tracer.Config         `toml:"trace"`
}

// Listen holds the listening and advertised addresses of an entry.
type Listen struct {
	HTTP      string `toml:"http"`      // HTTP API for callers
	Peer      string `toml:"peer"`      // sessions with other processes of the fleet
	Advertise string `toml:"advertise"` // registered peer address, empty for the listening address
}

// Budgets configures the budget shards. Shards and Slots must be equal in all entries.
type Budgets struct {
	Shards  int             `toml:"shards"`  // number of budget shards
	Slots   int             `toml:"slots"`   // slots of the journal
	Ahead   float64         `toml:"ahead"`   // part of the unspent allotment marked ahead of use
	Release string          `toml:"release"` // policy for releasing tokens, see package recoverer
	Fold    loader.Duration `toml:"fold"`    // interval of settling charges in the shard objects
	Flush   loader.Duration `toml:"flush"`   // maximum time until a charge is in the journal
}

// Limits limits the requests in flight at an entry, of which the lower limit applies, and
// what its clients may hold.
type Limits struct {
	Inflight    int     `toml:"inflight"` // maximum requests in flight
	Share       float64 `toml:"share"`    // multiple of the entry's share of the region's slots
	Memory      int     `toml:"memory"`   // MiB of the machine for this process, 0: all of it
	Descriptors int     `toml:"files"`    // open files of this process, 0: what the system allows
}

// Stop holds the timeouts of a graceful shutdown.
type Stop struct {
	Notice loader.Duration `toml:"notice"` // time for the load balancer to notice the stop
	Grace  loader.Duration `toml:"grace"`  // time to drain the requests in flight
	Flush  loader.Duration `toml:"flush"`  // time to settle charges and hand over the shards
}

// Peer is a statically configured entry.
type Peer struct {
	Name   string `toml:"name"`
	Addr   string `toml:"addr"`
	Centre string `toml:"centre"`
	Region string `toml:"region"`
}

// Defaults returns the default values of optional settings.
func Defaults() Settings {
	return Settings{
		Level:   "info",
		Listen:  Listen{HTTP: "127.0.0.1:8080", Peer: "127.0.0.1:7300"},
		Budgets: Budgets{Shards: 64, Slots: 64, Ahead: 1, Release: recoverer.ReleaseOperator, Fold: loader.Duration(5 * time.Minute), Flush: loader.Duration(5 * time.Second)},
		Limits:  Limits{Inflight: 4096, Share: 1.2},
		Stop: Stop{
			Notice: loader.Duration(2 * time.Second), Grace: loader.Duration(2 * time.Minute), Flush: loader.Duration(30 * time.Second),
		},
		Trace: tracer.Config{Ratio: 0.01},
	}
}

// Check validates the settings.
func (s Settings) Check() error {
	var f checker.Validator
	f.Require(s.Name != "", "name", "is empty, set the name of this instance")
	f.Require(s.Centre != "", "centre", "is empty, set the data centre of this instance")
	f.Require(s.Region != "", "region", "is empty, set the region of this instance")
	f.Require(len(s.Regions) > 0, "regions", "is empty, list all regions of the deployment")
	f.Require(len(s.Trust) > 0, "trust", "is empty, name at least one operator's public key")
	_, err := bundler.ParseTrustedKeys(s.Trust)
	f.AddNested("trust", err)
	checker.URL(&f, "platform", s.Platform)
	f.AddNested("listen", s.Listen.check())
	f.AddNested("budgets", s.Budgets.check())
	checker.Range(&f, "limits.inflight", s.Limits.Inflight, 1, 1<<20)
	checker.Range(&f, "limits.share", s.Limits.Share, 1, 100)
	checker.Range(&f, "limits.memory", s.Limits.Memory, 0, 1<<20)
	checker.Range(&f, "limits.files", s.Limits.Descriptors, 0, 1<<30)
	checker.Range(&f, "stop.notice", s.Stop.Notice.Std(), 0, time.Minute)
	checker.Range(&f, "stop.grace", s.Stop.Grace.Std(), 0, time.Hour)
	checker.Range(&f, "stop.flush", s.Stop.Flush.Std(), time.Second, time.Hour)
	f.AddNested("tls", s.TLS.Check())
	f.AddNested("trace", s.Trace.Check())
	return f.Err()
}

func (l Listen) check() error {
	var f checker.Validator
	checker.Address(&f, "http", l.HTTP)
	checker.Address(&f, "peer", l.Peer)
	if l.Advertise != "" {
		checker.Address(&f, "advertise", l.Advertise)
	}
	return f.Err()
}

func (b Budgets) check() error {
	var f checker.Validator
	checker.Range(&f, "shards", b.Shards, 1, 1<<16)
	checker.Range(&f, "slots", b.Slots, 8, 1024)
	checker.Range(&f, "ahead", b.Ahead, 0, 1)
	checker.Range(&f, "fold", b.Fold.Std(), time.Second, time.Hour)
	checker.Range(&f, "flush", b.Flush.Std(), 10*time.Millisecond, holder.MaxFlushInterval)
	f.Require(b.Release == recoverer.ReleaseOperator || b.Release == recoverer.ReleaseGone, "release",
		"is %q, allowed is %q or %q", b.Release, recoverer.ReleaseOperator, recoverer.ReleaseGone)
	return f.Err()
}
