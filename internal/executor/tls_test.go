package executor

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/connector"
	"daisylane/internal/credentialer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

// writeTLSFiles writes the certificate of a new authority, and a key and a certificate
// that it signed.
func writeTLSFiles(t *testing.T, dir string) credentialer.Settings {
	t.Helper()
	key := newKey(t)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	own := newKey(t)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process", OrganizationalUnit: []string{watcher.Entry, watcher.Side}}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	files := credentialer.Settings{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	raw, err := x509.MarshalECPrivateKey(own)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, files.Key, "EC PRIVATE KEY", raw)
	writePEM(t, files.CA, "CERTIFICATE", sign(t, authority, authority, key, key))
	writePEM(t, files.Cert, "CERTIFICATE", sign(t, leaf, authority, own, key))
	return files
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t *testing.T, c, parent *x509.Certificate, own, signer *ecdsa.PrivateKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &own.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against sessions with processes that have a certificate of another authority or
// none.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	e := startEngine(t, 1, nil)
	f := newFixture(t)
	f.cfg.TLS = writeTLSFiles(t, t.TempDir())
	f.cfg.Target = Target{URL: e.URL, Name: "engine", Kind: KindModel, Model: "m"}
	f.start(&fakePlatform{}, &fakePlatform{})
	call := func(files credentialer.Settings) error {
		cfg := f.cfg
		cfg.TLS = files
		credentials, err := files.Load()
		if err != nil {
			t.Fatal(err)
		}
		pool := cfg.newPool("router", credentials)
		defer pool.Close()
		_, err = connector.Call[*wirepb.Report](t.Context(), pool, f.addr, "s", &wirepb.Status{})
		return err
	}
	if err := call(f.cfg.TLS); err != nil {
		t.Errorf("same authority: %v", err)
	}
	for name, files := range map[string]credentialer.Settings{"foreign": writeTLSFiles(t, t.TempDir()), "plain": {DisableTLS: true}} {
		if err := call(files); !errors.Is(err, connector.ErrDial) {
			t.Errorf("%s: err = %v, want ErrDial", name, err)
		}
	}
}

// Guards against a side that accepts sessions from any role: only entries and operators
// may connect.
func TestServerRoles(t *testing.T) {
	t.Parallel()
	ca, pair, err := credentialer.NewAuthority("authority", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	issue := func(role string) credentialer.Settings {
		dir := t.TempDir()
		files := credentialer.Settings{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
		leaf, err := ca.Issue("process", role, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		if err := leaf.Write(files.Cert, files.Key); err != nil {
			t.Fatal(err)
		}
		writePEM(t, files.CA, "CERTIFICATE", decodePEM(pair.Cert))
		return files
	}
	e := startEngine(t, 1, nil)
	f := newFixture(t)
	f.cfg.TLS = issue(watcher.Side)
	f.cfg.Target = Target{URL: e.URL, Name: "engine", Kind: KindModel, Model: "m"}
	f.start(&fakePlatform{}, &fakePlatform{})
	for role, ok := range map[string]bool{watcher.Entry: true, credentialer.RoleOperator: true, watcher.Side: false, "other": false} {
		credentials, err := issue(role).Load()
		if err != nil {
			t.Fatal(err)
		}
		pool := f.cfg.newPool("caller", credentials)
		_, err = connector.Call[*wirepb.Report](t.Context(), pool, f.addr, "s", &wirepb.Status{})
		pool.Close()
		if (err == nil) != ok {
			t.Errorf("role %s: err = %v, want success %v", role, err, ok)
		}
	}
}

func decodePEM(data []byte) []byte {
	block, _ := pem.Decode(data)
	return block.Bytes
}
