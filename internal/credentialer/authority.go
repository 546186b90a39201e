package credentialer

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"time"
)

// Errors returned by an [Authority].
var (
	ErrValidity = errors.New("invalid validity period")
	ErrNotCA    = errors.New("not a CA certificate")
)

const (
	// clockSkew is how far the clock of a peer may be behind. Certificates are valid
	// from that much earlier.
	clockSkew  = 5 * time.Minute
	serialBits = 127 // serial numbers are positive and at most 16 bytes long
)

// Authority is the certificate authority (CA) of a fleet.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// Pair is a certificate and its private key in PEM.
type Pair struct {
	Cert, Key []byte
	Expires   time.Time
}

// NewAuthority creates a CA and returns it with its certificate and key, which the
// caller must store.
func NewAuthority(name string, valid time.Duration) (*Authority, Pair, error) {
	template, err := newTemplate(pkix.Name{CommonName: name}, valid)
	if err != nil {
		return nil, Pair{}, err
	}
	template.IsCA, template.BasicConstraintsValid, template.MaxPathLenZero = true, true, true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Pair{}, fmt.Errorf("generate key of the CA: %w", err)
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, Pair{}, err
	}
	a, err := ParseAuthority(pair.Cert, pair.Key)
	return a, pair, err
}

// ParseAuthority decodes the certificate and key of a CA.
func ParseAuthority(cert, key []byte) (*Authority, error) {
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("read CA: %w", err)
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok || !pair.Leaf.IsCA {
		return nil, fmt.Errorf("read CA of %s: %w", pair.Leaf.Subject, ErrNotCA)
	}
	return &Authority{pair.Leaf, signer}, nil
}

// Issue creates a certificate with the role as organizational unit. The certificate
// must not expire after the CA, because peers verify the whole chain.
func (a *Authority) Issue(name, role string, valid time.Duration) (Pair, error) {
	template, err := newTemplate(pkix.Name{CommonName: name, OrganizationalUnit: []string{role}}, valid)
	if err != nil {
		return Pair{}, err
	}
	if template.NotAfter.After(a.cert.NotAfter) {
		return Pair{}, fmt.Errorf("%w: the CA is valid until %s", ErrValidity, a.cert.NotAfter.Format(time.RFC3339))
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("generate key of %s: %w", name, err)
	}
	return sign(template, a.cert, key, a.key)
}

func newTemplate(subject pkix.Name, valid time.Duration) (*x509.Certificate, error) {
	if valid < time.Second {
		return nil, fmt.Errorf("%w: %s, must be 1s or more", ErrValidity, valid)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{SerialNumber: serial, Subject: subject, NotBefore: now.Add(-clockSkew), NotAfter: now.Add(valid)}, nil
}

func sign(template, parent *x509.Certificate, own *ecdsa.PrivateKey, signer crypto.Signer) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, own.Public(), signer)
	if err != nil {
		return Pair{}, fmt.Errorf("sign certificate of %s: %w", template.Subject, err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(own)
	if err != nil {
		return Pair{}, fmt.Errorf("encode key of %s: %w", template.Subject, err)
	}
	return Pair{
		Cert:    pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:     pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}),
		Expires: template.NotAfter.UTC().Truncate(time.Second),
	}, nil
}
