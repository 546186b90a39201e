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

type testCA struct {
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

func newTestCA(t *testing.T) testCA {
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
	return testCA{cert, key}
}

// issueFiles writes the certificate, key and CA files of a process with the role.
func (a testCA) issueFiles(t *testing.T, dir, role string, expires time.Time) Files {
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

func mustLoad(t *testing.T, files Files, opts ...Option) *Credentials {
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

// serve starts a server that accepts peers with the role entry, and returns its address.
func serve(t *testing.T, c *Credentials) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := connector.NewServer(identity, connector.WithServerTLS(c.Server("entry")))
	connector.HandleCall(srv, func(context.Context, string, *wirepb.Status) (*wirepb.Report, error) { return &wirepb.Report{}, nil })
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

// Guards against accepting a peer, as client or as server, whose certificate is
// missing, expired, signed by another CA or issued for another role.
func TestPeers(t *testing.T) {
	ca, other := newTestCA(t), newTestCA(t)
	valid, expired := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	addr := serve(t, mustLoad(t, ca.issueFiles(t, t.TempDir(), "side", valid)))
	expiredAddr := serve(t, mustLoad(t, ca.issueFiles(t, t.TempDir(), "side", expired)))
	// This client has a certificate of another CA and accepts every server, so only the
	// server's check can reject the session.
	otherFiles := other.issueFiles(t, t.TempDir(), "entry", valid)
	otherPair, err := tls.LoadX509KeyPair(otherFiles.Cert, otherFiles.Key)
	if err != nil {
		t.Fatal(err)
	}
	acceptAnyServer := func(pairs ...tls.Certificate) func() *tls.Config {
		return func() *tls.Config { return &tls.Config{Certificates: pairs, InsecureSkipVerify: true} }
	}
	entry := mustLoad(t, ca.issueFiles(t, t.TempDir(), "entry", valid))
	tests := []struct {
		name string
		addr string
		cfg  func() *tls.Config
		ok   bool
	}{
		{"valid", addr, entry.Client("side"), true},
		{"client without TLS", addr, nil, false},
		{"client without certificate", addr, acceptAnyServer(), false},
		{"client of another CA", addr, acceptAnyServer(otherPair), false},
		{"expired client", addr, mustLoad(t, ca.issueFiles(t, t.TempDir(), "entry", expired)).Client("side"), false},
		{"client of another role", addr, mustLoad(t, ca.issueFiles(t, t.TempDir(), "side", valid)).Client("side"), false},
		{"server of another CA", addr, mustLoad(t, otherFiles).Client("side"), false},
		{"server of another role", addr, entry.Client("entry"), false},
		{"expired server", expiredAddr, entry.Client("side"), false},
	}
	for _, tt := range tests {
		if err := call(t, tt.addr, tt.cfg); (err == nil) != tt.ok {
			t.Errorf("%s: err = %v, want success %v", tt.name, err, tt.ok)
		}
	}
}

// Guards against renewed files that are ignored until a restart, and against invalid
// files that replace working ones.
func TestReload(t *testing.T) {
	ca, dir := newTestCA(t), t.TempDir()
	start := time.Now()
	var elapsed, failures atomic.Int64
	advance := func(d time.Duration) { elapsed.Add(int64(d)) }
	clock := WithClock(func() time.Time { return start.Add(time.Duration(elapsed.Load())) })
	files := ca.issueFiles(t, dir, "side", start.Add(time.Minute))
	server := mustLoad(t, files, clock, WithLoadError(func(error) { failures.Add(1) }))
	client := mustLoad(t, ca.issueFiles(t, t.TempDir(), "entry", start.Add(50*time.Minute)), clock)
	addr := serve(t, server)
	advance(10 * time.Minute)
	if err := call(t, addr, client.Client("side")); err == nil {
		t.Error("an expired certificate is accepted")
	}
	ca.issueFiles(t, dir, "side", start.Add(50*time.Minute))
	advance(reloadInterval)
	if err := call(t, addr, client.Client("side")); err != nil {
		t.Errorf("renewed certificate is not used: %v", err)
	}
	if err := os.WriteFile(files.Key, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	advance(reloadInterval)
	if err := call(t, addr, client.Client("side")); err != nil || failures.Load() != 1 {
		t.Errorf("err = %v, failures = %d, want the previous files in use and one failure", err, failures.Load())
	}
	if _, err := New(files); err == nil {
		t.Error("invalid files are accepted by New")
	}
	if _, err := New(Files{Cert: files.Cert}); err == nil {
		t.Error("missing file names are accepted")
	}
}
