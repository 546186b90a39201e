package executor

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// server returns a function that gives the TLS settings of a session. Renewed
// files take effect with the next session; unreadable files leave the former
// settings in force.
func (t TLSFiles) server() (func() *tls.Config, error) { return t.reload() }

// Client returns a function that gives the TLS settings of a session to
// another process. Processes are addressed by IP address, so the certificate of
// the peer is checked against the authority and not against a host name.
func (t TLSFiles) Client() (func() *tls.Config, error) {
	current, err := t.reload()
	if err != nil {
		return nil, err
	}
	return func() *tls.Config {
		cfg := current().Clone()
		cfg.InsecureSkipVerify = true // replaced by VerifyConnection
		cfg.VerifyConnection = func(state tls.ConnectionState) error {
			return verifyPeer(cfg.RootCAs, state.PeerCertificates)
		}
		return cfg
	}, nil
}

func verifyPeer(roots *x509.CertPool, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return errors.New("peer sent no certificate")
	}
	opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
	for _, c := range chain[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := chain[0].Verify(opts); err != nil {
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	return nil
}

func (t TLSFiles) reload() (func() *tls.Config, error) {
	first, err := t.load()
	if err != nil {
		return nil, err
	}
	var last atomic.Pointer[tls.Config]
	last.Store(first)
	return func() *tls.Config {
		if cfg, err := t.load(); err == nil {
			last.Store(cfg)
		}
		return last.Load()
	}, nil
}

func (t TLSFiles) load() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s: %w", t.Cert, err)
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load authority %s: no PEM certificate in the file", t.CA)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		RootCAs:      pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
