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

// writeFiles creates an authority and a certificate that it signed.
func writeFiles(t *testing.T, dir string) credentialer.Settings {
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

// Guards against sessions with processes of another authority or without a certificate.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	e := startEngine(t, 1, nil)
	f := newFixture(t)
	f.cfg.TLS = writeFiles(t, t.TempDir())
	f.cfg.Target = Target{URL: e.URL, Name: "engine", Kind: Model, Model: "m"}
	f.start(&platform{}, &platform{})
	call := func(files credentialer.Settings) error {
		cfg := f.cfg
		cfg.TLS = files
		credentials, err := files.Load()
		if err != nil {
			t.Fatal(err)
		}
		pool := cfg.pool("router", credentials)
		defer pool.Close()
		_, err = connector.Call[*wirepb.Report](t.Context(), pool, f.addr, "s", &wirepb.Status{})
		return err
	}
	if err := call(f.cfg.TLS); err != nil {
		t.Errorf("same authority: %v", err)
	}
	for name, files := range map[string]credentialer.Settings{"foreign": writeFiles(t, t.TempDir()), "plain": {Plain: true}} {
		if err := call(files); !errors.Is(err, connector.ErrDial) {
			t.Errorf("%s: err = %v, want ErrDial", name, err)
		}
	}
}
