// Package credentialer gives the processes of the fleet their mutual-TLS
// configurations.
//
// Certificate, key and CA are PEM files. They are loaded again when they change
// on disk, so that certificates are renewed without a restart; files that are
// invalid or do not fit together, as in the middle of a renewal, leave the
// former ones in use. A peer is accepted if its certificate is signed by the CA,
// valid now, and has one of the wanted roles as an organizational unit.
//
// An [Authority] makes such certificates, for fleets without a CA of their own.
//
// # Usage
//
//	c, err := credentialer.New(credentialer.Files{Cert: "tls.crt", Key: "tls.key", CA: "ca.crt"})
//	srv := connector.NewServer(identity, connector.WithServerTLS(c.Server("entry", "side", "operator")))
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

// Operator is the role in an operator's certificate. Processes have the roles of
// their registrations.
const Operator = "operator"

// Errors of the verification of a peer.
var (
	ErrNoCertificate = errors.New("peer has no certificate")
	ErrRole          = errors.New("peer has another role")
)

// checkInterval bounds how often the files are read.
const checkInterval = time.Second

// Files names the PEM files.
type Files struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Check reports missing names.
func (f Files) Check() error {
	var faults checker.Faults
	faults.Require(f.Cert != "", "cert", "is empty, name the certificate file")
	faults.Require(f.Key != "", "key", "is empty, name the key file")
	faults.Require(f.CA != "", "ca", "is empty, name the file of the CA's certificate")
	return faults.Err()
}

// Option configures a [Credentials].
type Option func(*Credentials)

// WithFailure reports changed files that could not be loaded.
func WithFailure(f func(error)) Option { return func(c *Credentials) { c.failed = f } }

// WithClock sets the source of the time, for tests.
func WithClock(now func() time.Time) Option { return func(c *Credentials) { c.now = now } }

// Credentials holds the loaded files. It is safe for concurrent use.
type Credentials struct {
	files  Files
	failed func(error)
	now    func() time.Time

	mu      sync.Mutex
	checked time.Time
	raw     [3][]byte
	pair    tls.Certificate
	roots   *x509.CertPool
}

// New loads the files.
func New(files Files, opts ...Option) (*Credentials, error) {
	c := &Credentials{files: files, failed: func(error) {}, now: time.Now}
	for _, opt := range opts {
		opt(c)
	}
	if err := files.Check(); err != nil {
		return nil, fmt.Errorf("check credentials: %w", err)
	}
	c.checked = c.now()
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// Server returns the configuration for incoming sessions of peers with one of
// the roles. Its result fits connector.WithServerTLS.
func (c *Credentials) Server(roles ...string) func() *tls.Config {
	return func() *tls.Config {
		cfg := c.config(roles, x509.ExtKeyUsageClientAuth)
		cfg.ClientAuth = tls.RequireAnyClientCert
		return cfg
	}
}

// Client returns the configuration for outgoing sessions to peers with one of
// the roles. Its result fits connector.WithClientTLS.
func (c *Credentials) Client(roles ...string) func() *tls.Config {
	return func() *tls.Config {
		cfg := c.config(roles, x509.ExtKeyUsageServerAuth)
		// Peers are dialed by IP address, so that the name in the certificate
		// cannot be compared. VerifyConnection checks chain and role instead.
		cfg.InsecureSkipVerify = true
		return cfg
	}
}

func (c *Credentials) config(roles []string, usage x509.ExtKeyUsage) *tls.Config {
	pair, roots := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state.PeerCertificates, x509.VerifyOptions{
				Roots: roots, CurrentTime: c.now(), KeyUsages: []x509.ExtKeyUsage{usage},
			}, roles)
		},
	}
}

func verify(chain []*x509.Certificate, opts x509.VerifyOptions, roles []string) error {
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
	if now := c.now(); now.Sub(c.checked) >= checkInterval {
		c.checked = now
		if err := c.load(); err != nil {
			c.failed(err)
		}
	}
	return c.pair, c.roots
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
	if slices.EqualFunc(raw[:], c.raw[:], bytes.Equal) {
		return nil
	}
	pair, err := tls.X509KeyPair(raw[0], raw[1])
	if err != nil {
		return fmt.Errorf("load %s and %s: %w", c.files.Cert, c.files.Key, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw[2]) {
		return fmt.Errorf("load %s: no CA certificate in it", c.files.CA)
	}
	c.raw, c.pair, c.roots = raw, pair, roots
	return nil
}
