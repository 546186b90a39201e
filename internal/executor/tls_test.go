package executor

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"daisylane/internal/connector"
	"daisylane/internal/credentialer"
	"daisylane/internal/wirepb"
)

// writeFiles writes a certificate of an authority, and the certificate of the
// authority that its owner accepts.
func writeFiles(t *testing.T, ca *credentialer.Authority, pair credentialer.Pair, role string) TLSFiles {
	t.Helper()
	dir := t.TempDir()
	files := TLSFiles{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	leaf, err := ca.Issue("process", role, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(leaf.Write(files.Cert, files.Key), os.WriteFile(files.CA, pair.Cert, 0o600)); err != nil {
		t.Fatal(err)
	}
	return files
}

func newAuthority(t *testing.T) (*credentialer.Authority, credentialer.Pair) {
	t.Helper()
	ca, pair, err := credentialer.NewAuthority("authority", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return ca, pair
}

// Guards against sessions with processes of another authority, of another role or
// without a certificate.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	e := startEngine(t, 1, nil)
	f := newFixture(t)
	ca, pair := newAuthority(t)
	f.cfg.TLS = writeFiles(t, ca, pair, "side")
	f.cfg.Target = Target{URL: e.URL, Name: "engine", Kind: Model, Model: "m"}
	f.start(&platform{}, &platform{})
	call := func(files TLSFiles) error {
		cfg := f.cfg
		cfg.TLS = files
		var opts []connector.PoolOption
		if !files.Plain {
			credentials, err := files.credentials()
			if err != nil {
				t.Fatal(err)
			}
			opts = append(opts, connector.WithClientTLS(credentials.Client("side")))
		}
		pool := connector.NewPool(cfg.identity("router"), opts...)
		defer pool.Close()
		_, err := connector.Call[*wirepb.Report](t.Context(), pool, f.addr, "s", &wirepb.Status{})
		return err
	}
	for _, role := range []string{"entry", "operator"} {
		if err := call(writeFiles(t, ca, pair, role)); err != nil {
			t.Errorf("same authority, %s: %v", role, err)
		}
	}
	other, otherPair := newAuthority(t)
	for name, files := range map[string]TLSFiles{
		"foreign":  writeFiles(t, other, otherPair, "entry"),
		"stranger": writeFiles(t, other, pair, "entry"), // accepts the side, which must refuse it
		"role":     writeFiles(t, ca, pair, "side"),
		"plain":    {Plain: true},
	} {
		if err := call(files); !errors.Is(err, connector.ErrDial) {
			t.Errorf("%s: err = %v, want ErrDial", name, err)
		}
	}
}

// Guards against charges delivered to a process that is not a router.
func TestPoolRoles(t *testing.T) {
	t.Parallel()
	ca, pair := newAuthority(t)
	other, otherPair := newAuthority(t)
	f := newFixture(t)
	f.cfg.TLS = writeFiles(t, ca, pair, "side")
	pool, err := f.cfg.pool("side")
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	for _, tt := range []struct {
		name  string
		files TLSFiles
		ok    bool
	}{
		{"entry", writeFiles(t, ca, pair, "entry"), true},
		{"side", writeFiles(t, ca, pair, "side"), false},
		{"foreign entry", writeFiles(t, other, otherPair, "entry"), false},
	} {
		_, err := connector.Call[*wirepb.Report](t.Context(), pool, serveTLS(t, f.cfg, tt.files), "", &wirepb.Status{})
		if (err == nil) != tt.ok {
			t.Errorf("%s: err = %v, want success %v", tt.name, err, tt.ok)
		}
	}
}

func serveTLS(t *testing.T, cfg Settings, files TLSFiles) string {
	t.Helper()
	credentials, err := files.credentials()
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := connector.NewServer(cfg.identity("peer"), connector.WithServerTLS(credentials.Server("side")))
	connector.Answer(srv, func(context.Context, string, *wirepb.Status) (*wirepb.Report, error) { return &wirepb.Report{}, nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		_ = srv.Close()
		<-done
	})
	return ln.Addr().String()
}
