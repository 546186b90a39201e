package quarantiner

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
)

// Fingerprint identifies equal requests of one account. 0 identifies none.
type Fingerprint uint64

// looseBit marks fingerprints that leave out the prompt of the request.
const looseBit Fingerprint = 1

// Content is what makes requests equal.
type Content struct {
	Account, Method, URI string
	Body                 []byte
	Model                string
	Parts                []uint64 // of the prompt
}

// Fingerprints returns the fingerprints of a request, the exact one first. A request with
// a prompt also has a loose one, which equals that of requests with another prompt. They
// resist accounts that search for a request with the fingerprint of another.
func Fingerprints(c Content) []Fingerprint {
	h := sha256.New()
	var n [8]byte
	write := func(b []byte) {
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	sum := func() Fingerprint { return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil))) &^ looseBit }
	for _, b := range [][]byte{[]byte(c.Account), []byte(c.Method), []byte(c.URI), c.Body} {
		write(b)
	}
	plain := sum()
	if len(c.Parts) == 0 {
		return []Fingerprint{plain}
	}
	write([]byte(c.Model))
	for _, p := range c.Parts {
		binary.BigEndian.PutUint64(n[:], p)
		h.Write(n[:])
	}
	return []Fingerprint{sum(), plain | looseBit}
}

// threshold returns the number of crashes that quarantine the request. It is higher for a
// loose fingerprint, as sound requests may have the same one.
func (f Fingerprint) threshold() int {
	if f&looseBit != 0 {
		return highThreshold
	}
	return crashThreshold
}

// compareFingerprints orders exact ones first.
func compareFingerprints(a, b Fingerprint) int {
	return cmp.Or(cmp.Compare(a&looseBit, b&looseBit), cmp.Compare(a, b))
}

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
