package executor

import (
	"slices"
	"strings"
	"time"

	"daisylane/internal/admitter"
	"daisylane/internal/bundler"
	"daisylane/internal/checker"
	"daisylane/internal/credentialer"
	"daisylane/internal/loader"
	"daisylane/internal/logger"
	"daisylane/internal/tracer"
)

// Kinds of targets.
const (
	KindModel   = "model"   // OpenAI-compatible model engine
	KindService = "service" // any other HTTP service
)

// Settings of a side.
type Settings struct {
	Listen    string                `toml:"listen"`    // listening address for routers
	Advertise string                `toml:"advertise"` // registered address, default: the listening address
	HTTP      string                `toml:"http"`      // address for metrics and probes, empty: disabled
	Platform  string                `toml:"platform"`  // URL of the platform
	Name      string                `toml:"name"`
	Centre    string                `toml:"centre"`
	Region    string                `toml:"region"`
	Target    Target                `toml:"target"`
	Limits    Limits                `toml:"limits"`
	TLS       credentialer.Settings `toml:"tls"`
	Trust     map[string]string     `toml:"trust"` // base64 public keys by operator, empty: no access checks
	Level     string                `toml:"level"` // log level
	Trace     tracer.Config         `toml:"trace"`
}

// Target is the back end that a side serves.
type Target struct {
	URL      string   `toml:"url"`
	Name     string   `toml:"name"`
	Kind     string   `toml:"kind"`
	Model    string   `toml:"model"`
	Adapters []string `toml:"adapters"`
}

// Limits restrict the load and the memory use of a side.
type Limits struct {
	Slots        int             `toml:"slots"`    // concurrent requests until the target reports its slots
	Queue        int             `toml:"queue"`    // maximum number of waiting requests
	BufferBytes  int             `toml:"buffer"`   // buffered bytes per response
	MaxDeadline  loader.Duration `toml:"deadline"` // maximum duration of a request
	FlushTimeout loader.Duration `toml:"flush"`    // time to deliver charges during shutdown
	SettleDelay  loader.Duration `toml:"settle"`   // delay before the side delivers an unbilled charge
}

// Defaults returns the values of settings that a settings file may omit.
func Defaults() Settings {
	return Settings{
		Listen: "127.0.0.1:7400",
		Target: Target{Kind: KindModel},
		Level:  "info",
		Limits: Limits{
			Slots:        8,
			Queue:        64,
			BufferBytes:  16 << 20,
			MaxDeadline:  loader.Duration(10 * time.Minute),
			FlushTimeout: loader.Duration(30 * time.Second),
			SettleDelay:  loader.Duration(admitter.SettleDelay),
		},
	}
}

// advertisedAddr returns the address at which other processes reach the side.
func (s Settings) advertisedAddr() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Listen
}

// Check validates the settings.
func (s Settings) Check() error {
	var f checker.Validator
	checker.Address(&f, "listen", s.Listen)
	if s.Advertise != "" {
		checker.Address(&f, "advertise", s.Advertise)
	}
	if s.HTTP != "" {
		checker.Address(&f, "http", s.HTTP)
	}
	checker.URL(&f, "platform", s.Platform)
	f.Require(s.Name != "", "name", "is empty, set the name of this instance")
	f.Require(s.Centre != "", "centre", "is empty, set the data centre of this instance")
	f.Require(s.Region != "", "region", "is empty, set the region of this instance")
	f.AddNested("target", s.Target.Check())
	f.AddNested("limits", s.Limits.Check())
	f.AddNested("tls", s.TLS.Check())
	_, err := bundler.ParseTrustedKeys(s.Trust)
	f.AddNested("trust", err)
	f.Require(slices.Contains(logger.Levels, s.Level), "level", "is %q, allowed is %s", s.Level, strings.Join(logger.Levels, ", "))
	f.AddNested("trace", s.Trace.Check())
	return f.Err()
}

// Check validates the target.
func (t Target) Check() error {
	var f checker.Validator
	checker.URL(&f, "url", t.URL)
	f.Require(t.Name != "", "name", "is empty, set the name that the bundle uses")
	f.Require(t.Kind == KindModel || t.Kind == KindService, "kind", "is %q, allowed is %q or %q", t.Kind, KindModel, KindService)
	f.Require(t.Kind != KindModel || t.Model != "", "model", "is empty, a target of kind %q needs a model", KindModel)
	return f.Err()
}

// Check validates the limits.
func (l Limits) Check() error {
	var f checker.Validator
	checker.Range(&f, "slots", l.Slots, 1, 10_000)
	checker.Range(&f, "queue", l.Queue, 0, 100_000)
	checker.Range(&f, "buffer", l.BufferBytes, 64<<10, 256<<20)
	checker.Range(&f, "deadline", l.MaxDeadline.Std(), time.Second, time.Hour)
	checker.Range(&f, "flush", l.FlushTimeout.Std(), 0, time.Hour)
	checker.Range(&f, "settle", l.SettleDelay.Std(), time.Second, time.Minute)
	return f.Err()
}
