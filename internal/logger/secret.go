package logger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/rs/zerolog"
)

const (
	redacted         = "redacted"
	fingerprintBytes = 4
)

// Secret is a key or token. It is read from settings like a string, and every
// way of formatting or encoding it gives "redacted".
type Secret string

// Reveal returns the secret for its use.
func (s Secret) Reveal() string { return string(s) }

// Fingerprint returns a short hash that tells secrets apart in a log.
func (s Secret) Fingerprint() string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

func (s Secret) String() string { return redacted }

// Format hides the secret from all verbs of package fmt.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText hides the secret from JSON, TOML and zerolog.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// UnmarshalText reads the secret.
func (s *Secret) UnmarshalText(text []byte) error {
	*s = Secret(text)
	return nil
}

// Headers logs HTTP headers without the values that can hold secrets.
type Headers http.Header

var openHeaders = []string{
	"Accept", "Content-Length", "Content-Type", "Retry-After", "Traceparent", "User-Agent", "X-Client", "X-Request-Id",
}

// MarshalZerologObject adds the values of well-known harmless headers and the names of all others.
func (h Headers) MarshalZerologObject(e *zerolog.Event) {
	for name, values := range h {
		if slices.Contains(openHeaders, http.CanonicalHeaderKey(name)) {
			e.Strs(name, values)
			continue
		}
		e.Str(name, redacted)
	}
}
