package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/credentialer"
	"daisylane/internal/loader"
	"daisylane/internal/storer"
	"daisylane/internal/wirepb"
)

// commandTimeout is the deadline of a command as a whole.
const commandTimeout = 2 * time.Minute

// Settings are the settings of the operator's command line.
type Settings struct {
	Platform string             `toml:"platform"` // URL of the platform
	Author   string             `toml:"author"`   // name of the operator's signing key
	Key      string             `toml:"key"`      // file of the signing key
	Trust    map[string]string  `toml:"trust"`    // base64 public key by operator name
	Shards   int                `toml:"shards"`   // number of budget shards, as in the settings of the entries
	TLS      credentialer.Files `toml:"tls"`
	Plain    bool               `toml:"plain"` // connect to processes without TLS
}

// Defaults returns the settings that a file may leave out.
func Defaults() Settings { return Settings{Shards: 64} }

const maxShards = 65_536

// Check reports invalid fields.
func (s Settings) Check() error {
	var f checker.Validator
	checker.Range(&f, "shards", s.Shards, 1, maxShards)
	if s.TLS != (credentialer.Files{}) {
		f.AddNested("tls", s.TLS.Check())
	}
	_, err := bundler.ParseTrustedKeys(s.Trust)
	f.AddNested("trust", err)
	return f.Err()
}

// platformClient is the part of the platform client that commands use.
type platformClient interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Put(ctx context.Context, key string, body []byte, version uint64) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
	List(ctx context.Context, prefix string) ([]storer.Item, error)
	Instances(ctx context.Context) ([]storer.Instance, error)
}

// env holds the global options and the output that all commands share.
type env struct {
	globals globals
	stdout  io.Writer
}

func (e *env) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), commandTimeout)
}

func (e *env) settings() (Settings, error) {
	cfg := Defaults()
	if e.globals.Settings != "" {
		var err error
		if cfg, err = loader.Load(e.globals.Settings, Defaults()); err != nil {
			return cfg, err
		}
	}
	if e.globals.Platform != "" {
		cfg.Platform = e.globals.Platform
	}
	return cfg, nil
}

func (e *env) platform() (platformClient, Settings, error) {
	cfg, err := e.settings()
	if err != nil {
		return nil, cfg, err
	}
	if cfg.Platform == "" {
		return nil, cfg, fmt.Errorf("%w: no platform, set it in the settings or with --platform", errUsage)
	}
	return storer.New(cfg.Platform, storer.WithName(credentialer.RoleOperator)), cfg, nil
}

// pool returns a pool of connections to processes.
func (e *env) pool(cfg Settings) (*connector.Pool, error) {
	identity := func() *wirepb.Hello {
		return &wirepb.Hello{Protocol: connector.ProtocolVersion, Instance: credentialer.RoleOperator, Role: credentialer.RoleOperator}
	}
	if cfg.Plain {
		return connector.NewPool(identity), nil
	}
	creds, err := credentialer.New(cfg.TLS)
	if err != nil {
		return nil, fmt.Errorf("%w: set [tls] or plain = true in the settings: %w", errUsage, err)
	}
	return connector.NewPool(identity, connector.WithClientTLS(creds.Client("entry", "side"))), nil
}

// print writes the result as JSON with --json, and as text with human otherwise.
func (e *env) print(v any, human func(w io.Writer)) error {
	if !e.globals.JSON {
		human(e.stdout)
		return nil
	}
	enc := json.NewEncoder(e.stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}

func printLine(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
