package quarantiner

import (
	"fmt"
	"strconv"
)

// Fingerprint identifies equal requests of one account.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal, as in logs and records.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// MarshalText implements [encoding.TextMarshaler].
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (f *Fingerprint) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("fingerprint %q is not a hexadecimal number: %w", text, err)
	}
	*f = Fingerprint(n)
	return nil
}
