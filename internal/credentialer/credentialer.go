// Package credentialer provides the mutual-TLS configuration of the fleet's
// processes.
//
// Certificate, key and CA are PEM files. They are reloaded when they change on
// disk, so that certificates can be renewed without a restart. If the files are
// invalid or do not match, for example in the middle of a renewal, the previously
// loaded ones stay in use. A peer is accepted if its certificate is signed by the
// CA, currently valid, and has one of the accepted roles as an organizational unit.
//
// An [Authority] issues such certificates, for fleets that have no CA.
//
// # Usage
//
//	c, err := credentialer.New(credentialer.Files{Cert: "tls.crt", Key: "tls.key", CA: "ca.crt"})
//	serverTLS := c.Server("entry", "side", "operator")
//	srv := connector.NewServer(identity, connector.WithServerTLS(serverTLS))
//	pool := connector.NewPool(identity, connector.WithClientTLS(c.Client("entry", "side")))
//
//	ca, pair, err := credentialer.NewAuthority("fleet", 10*365*24*time.Hour)
//	pair, err = ca.Issue("side-1", "side", 365*24*time.Hour)
//	err = pair.Write("tls.crt", "tls.key")
package credentialer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"daisylane/internal/checker"
)

// RoleOperator is the role in the certificate of an operator. The certificate of a
// process has the role under which the process registers.
const RoleOperator = "operator"

// Errors returned when a peer is verified.
var (
	ErrNoCertificate = errors.New("peer has no certificate")
	ErrRole          = errors.New("peer has another role")
)

// reloadInterval is the minimum time between two reads of the files.
const reloadInterval = time.Second

// Files holds the names of the PEM files.
type Files struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Check reports missing file names.
func (f Files) Check() error {
	var faults checker.Validator
	faults.Require(f.Cert != "", "cert", "is empty, set it to the certificate file")
	faults.Require(f.Key != "", "key", "is empty, set it to the key file")
	faults.Require(f.CA != "", "ca", "is empty, set it to the CA certificate file")
	return faults.Err()
}

// Option configures [Credentials].
type Option func(*Credentials)

// WithLoadError sets a function that is called when changed files cannot be loaded.
func WithLoadError(f func(error)) Option { return func(c *Credentials) { c.onLoadError = f } }

// WithClock replaces time.Now, for tests.
func WithClock(now func() time.Time) Option { return func(c *Credentials) { c.now = now } }

// Credentials holds the loaded certificate, key and CA. It is safe for concurrent use.
type Credentials struct {
	files       Files
	onLoadError func(error)
	now         func() time.Time

	mu          sync.Mutex
	lastCheck   time.Time
	contents    [3][]byte
	certificate tls.Certificate
	roots       *x509.CertPool
}

// New loads the files. It fails if they are missing or invalid.
func New(files Files, opts ...Option) (*Credentials, error) {
	c := &Credentials{files: files, onLoadError: func(error) {}, now: time.Now}
	for _, opt := range opts {
		opt(c)
	}
	if err := files.Check(); err != nil {
		return nil, fmt.Errorf("check credentials: %w", err)
	}
	c.lastCheck = c.now()
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// Server returns a function that returns the TLS configuration for sessions from peers
// with one of the roles. Pass it to connector.WithServerTLS.
func (c *Credentials) Server(roles ...string) func() *tls.Config {
	return func() *tls.Config {
		cfg := c.tlsConfig(roles, x509.ExtKeyUsageClientAuth)
		cfg.ClientAuth = tls.RequireAnyClientCert
		return cfg
	}
}

// Client returns a function that returns the TLS configuration for sessions to peers
// with one of the roles. Pass it to connector.WithClientTLS.
func (c *Credentials) Client(roles ...string) func() *tls.Config {
	return func() *tls.Config {
		cfg := c.tlsConfig(roles, x509.ExtKeyUsageServerAuth)
		// Peers are dialed by IP address, so the host name cannot be checked against
		// the certificate. VerifyConnection checks the chain and the role instead.
		cfg.InsecureSkipVerify = true
		return cfg
	}
}

func (c *Credentials) tlsConfig(roles []string, usage x509.ExtKeyUsage) *tls.Config {
	pair, roots := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state.PeerCertificates, x509.VerifyOptions{
				Roots: roots, CurrentTime: c.now(), KeyUsages: []x509.ExtKeyUsage{usage},
			}, roles)
		},
	}
}

func verifyPeer(chain []*x509.Certificate, opts x509.VerifyOptions, roles []string) error {
	if len(chain) == 0 {
		return ErrNoCertificate
	}
	opts.Intermediates = x509.NewCertPool()
	for _, cert := range chain[1:] {
		opts.Intermediates.AddCert(cert)
	}
	if _, err := chain[0].Verify(opts); err != nil {
		return fmt.Errorf("verify certificate of %s: %w", chain[0].Subject, err)
	}
	units := chain[0].Subject.OrganizationalUnit
	if !slices.ContainsFunc(roles, func(role string) bool { return slices.Contains(units, role) }) {
		return fmt.Errorf("certificate of %s is for %q, want one of %q: %w", chain[0].Subject, strings.Join(units, ","), roles, ErrRole)
	}
	return nil
}

func (c *Credentials) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.now(); now.Sub(c.lastCheck) >= reloadInterval {
		c.lastCheck = now
		if err := c.load(); err != nil {
			c.onLoadError(err)
		}
	}
	return c.certificate, c.roots
}

func (c *Credentials) load() error {
	var raw [3][]byte
	for i, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		data, err := os.ReadFile(name)
		if err != nil {
			return fmt.Errorf("load credentials: %w", err)
		}
		raw[i] = data
	}
	if slices.EqualFunc(raw[:], c.contents[:], bytes.Equal) {
		return nil
	}
	pair, err := tls.X509KeyPair(raw[0], raw[1])
	if err != nil {
		return fmt.Errorf("load %s and %s: %w", c.files.Cert, c.files.Key, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw[2]) {
		return fmt.Errorf("load %s: file has no CA certificate", c.files.CA)
	}
	c.contents, c.certificate, c.roots = raw, pair, roots
	return nil
}
