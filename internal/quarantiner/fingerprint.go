package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies equal requests of one account. 0 identifies none.
type Fingerprint uint64

const (
	// looseBit marks fingerprints that leave out the prompt of the request.
	looseBit Fingerprint = 1
	// partBit marks fingerprints of a part of the prompt alone.
	partBit Fingerprint = 2
	// kindBits tells the kinds apart.
	kindBits = looseBit | partBit
)

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
	sum := func() Fingerprint { return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil))) &^ kindBits }
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

// partFingerprints returns the fingerprints of the parts that other requests may have too,
// in the order of the prompt. They are the same for all accounts and services.
func partFingerprints(parts []uint64) []Fingerprint {
	list := make([]Fingerprint, len(shared(parts)))
	for i, p := range shared(parts) {
		list[i] = Fingerprint(xxhash.Sum64(binary.BigEndian.AppendUint64(nil, p)))&^kindBits | partBit
	}
	return list
}

// IsPart reports whether the fingerprint is that of a part of a prompt.
func (f Fingerprint) IsPart() bool { return f&partBit != 0 }

// isExact reports whether the fingerprint is that of a whole request with its prompt.
func (f Fingerprint) isExact() bool { return f&kindBits == 0 }

// waiting returns the fingerprint that stands in records for a part of a request that the
// target had not begun to answer.
func (f Fingerprint) waiting() Fingerprint { return f | looseBit }

// isWaiting reports whether the fingerprint is that of a part of a waiting request.
func (f Fingerprint) isWaiting() bool { return f&kindBits == kindBits }

// rivalThreshold returns the number of crashes that make a request or part a possible reason
// of one that another is quarantined for. A request that is retried is at two.
func (f Fingerprint) rivalThreshold() int {
	if f.isExact() {
		return crashThreshold
	}
	return crashThreshold - 1
}

// subject returns the fingerprint of the request or part itself.
func (f Fingerprint) subject() Fingerprint {
	if f.isWaiting() {
		return f &^ looseBit
	}
	return f
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
