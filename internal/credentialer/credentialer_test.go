package credentialer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"daisylane/internal/connector"
	"daisylane/internal/wirepb"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert, key}
}

// issue writes the files of a process that trusts the same authority.
func (a authority) issue(t *testing.T, dir, role string, expires time.Time) Files {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "p", OrganizationalUnit: []string{role}},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: expires,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := Files{filepath.Join(dir, "tls.crt"), filepath.Join(dir, "tls.key"), filepath.Join(dir, "ca.crt")}
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: der},
		files.Key:  {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.CA:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func load(t *testing.T, files Files, opts ...Option) *Credentials {
	t.Helper()
	c, err := New(files, opts...)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func identity() *wirepb.Hello {
	return &wirepb.Hello{Protocol: connector.ProtocolVersion, Instance: "p"}
}

// serve starts a server for peers with the role entry and returns its address.
func serve(t *testing.T, c *Credentials) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := connector.NewServer(identity, connector.WithServerTLS(c.Server("entry")))
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

func call(t *testing.T, addr string, cfg func() *tls.Config) error {
	t.Helper()
	var opts []connector.PoolOption
	if cfg != nil {
		opts = append(opts, connector.WithClientTLS(cfg))
	}
	pool := connector.NewPool(identity, opts...)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := connector.Call[*wirepb.Report](ctx, pool, addr, "", &wirepb.Status{})
	return err
}

// Guards against sessions with peers whose certificate is missing, expired, of
// another CA or of another role, in both directions.
func TestPeers(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	valid, expired := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	addr := serve(t, load(t, ca.issue(t, t.TempDir(), "side", valid)))
	expiredAddr := serve(t, load(t, ca.issue(t, t.TempDir(), "side", expired)))
	// A client of another CA that accepts every server shows the server's check.
	stranger := other.issue(t, t.TempDir(), "entry", valid)
	strangerPair, err := tls.LoadX509KeyPair(stranger.Cert, stranger.Key)
	if err != nil {
		t.Fatal(err)
	}
	credulous := func(pairs ...tls.Certificate) func() *tls.Config {
		return func() *tls.Config { return &tls.Config{Certificates: pairs, InsecureSkipVerify: true} }
	}
	entry := load(t, ca.issue(t, t.TempDir(), "entry", valid))
	tests := []struct {
		name string
		addr string
		cfg  func() *tls.Config
		ok   bool
	}{
		{"valid", addr, entry.Client("side"), true},
		{"client without TLS", addr, nil, false},
		{"client without certificate", addr, credulous(), false},
		{"client of another CA", addr, credulous(strangerPair), false},
		{"expired client", addr, load(t, ca.issue(t, t.TempDir(), "entry", expired)).Client("side"), false},
		{"client of another role", addr, load(t, ca.issue(t, t.TempDir(), "side", valid)).Client("side"), false},
		{"server of another CA", addr, load(t, stranger).Client("side"), false},
		{"server of another role", addr, entry.Client("entry"), false},
		{"expired server", expiredAddr, entry.Client("side"), false},
	}
	for _, tt := range tests {
		if err := call(t, tt.addr, tt.cfg); (err == nil) != tt.ok {
			t.Errorf("%s: err = %v, want success %v", tt.name, err, tt.ok)
		}
	}
}

// Guards against renewed files that need a restart, and against broken files
// that replace working ones.
func TestReload(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	start := time.Now()
	var passed, failures atomic.Int64
	pass := func(d time.Duration) { passed.Add(int64(d)) }
	clock := WithClock(func() time.Time { return start.Add(time.Duration(passed.Load())) })
	files := ca.issue(t, dir, "side", start.Add(time.Minute))
	server := load(t, files, clock, WithFailure(func(error) { failures.Add(1) }))
	client := load(t, ca.issue(t, t.TempDir(), "entry", start.Add(50*time.Minute)), clock)
	addr := serve(t, server)
	pass(10 * time.Minute)
	if err := call(t, addr, client.Client("side")); err == nil {
		t.Error("an expired certificate is accepted")
	}
	ca.issue(t, dir, "side", start.Add(50*time.Minute))
	pass(checkInterval)
	if err := call(t, addr, client.Client("side")); err != nil {
		t.Errorf("renewed certificate is not used: %v", err)
	}
	if err := os.WriteFile(files.Key, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	pass(checkInterval)
	if err := call(t, addr, client.Client("side")); err != nil || failures.Load() != 1 {
		t.Errorf("err = %v, failures = %d, want the former files and one failure", err, failures.Load())
	}
	if _, err := New(files); err == nil {
		t.Error("broken files are accepted at the start")
	}
	if _, err := New(Files{Cert: files.Cert}); err == nil {
		t.Error("missing names are accepted")
	}
}
