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

// Secret is a key or token. It is decoded from settings like a string. Formatting
// or encoding it gives "redacted".
type Secret string

// Reveal returns the secret in plain text.
func (s Secret) Reveal() string { return string(s) }

// Fingerprint returns a short hash that distinguishes secrets in a log.
func (s Secret) Fingerprint() string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

func (s Secret) String() string { return redacted }

// Format redacts the secret for all verbs of package fmt.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText redacts the secret in JSON, TOML and zerolog output.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (s *Secret) UnmarshalText(text []byte) error {
	*s = Secret(text)
	return nil
}

// Headers are HTTP headers that are logged without values that can contain secrets.
type Headers http.Header

var loggedHeaders = []string{
	"Accept", "Content-Length", "Content-Type", "Retry-After", "Traceparent", "User-Agent", "X-Client", "X-Request-Id",
}

// MarshalZerologObject logs the values of headers that contain no secrets, and only
// the names of all others.
func (h Headers) MarshalZerologObject(e *zerolog.Event) {
	for name, values := range h {
		if slices.Contains(loggedHeaders, http.CanonicalHeaderKey(name)) {
			e.Strs(name, values)
			continue
		}
		e.Str(name, redacted)
	}
}
