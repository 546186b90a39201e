package bundler

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"daisylane/internal/checker"
)

// Errors returned by [Verify].
var (
	ErrUnsigned  = errors.New("head is not signed")
	ErrUntrusted = errors.New("author is not trusted")
	ErrSignature = errors.New("signature does not match")
)

const (
	maxChunks    = 10_000
	maxNoteBytes = 1024
	// signatureContext prefixes the signed bytes, so that a signature made with the
	// same key for another purpose is not valid for a head.
	signatureContext = "daisylane bundle head 1\n"
)

// Check validates the fields of the head. It does not verify the signature.
func (h Head) Check() error {
	var f checker.Validator
	f.Require(h.Version > 0, "version", "is 0, must be 1 or more")
	checker.Range(&f, "chunks", len(h.Chunks), 1, maxChunks)
	for _, c := range h.Chunks {
		f.Require(isHash(c), "chunks", "%.12q is not a SHA-256 in lower-case hex", c)
	}
	f.Require(isName(h.Author), "author", "%q is not a name", h.Author)
	checker.Range(&f, "note", len(h.Note), 0, maxNoteBytes)
	return f.Err()
}

// DecodeHead decodes and validates a head. It does not verify the signature.
func DecodeHead(data []byte) (Head, error) { return checker.Decode[Head](data) }

// EncodeHead validates and encodes a head.
func EncodeHead(h Head) ([]byte, error) { return checker.Encode(h) }

// Sign returns the head signed with its author's key.
func Sign(h Head, key ed25519.PrivateKey) (Head, error) {
	h.Time = h.Time.UTC().Truncate(time.Second)
	if err := h.Check(); err != nil {
		return Head{}, fmt.Errorf("sign head: %w", err)
	}
	signed, err := h.signedBytes()
	if err != nil {
		return Head{}, err
	}
	h.Signature = ed25519.Sign(key, signed)
	return h, nil
}

// Verify returns an error unless a trusted author signed the head.
func Verify(h Head, trust TrustedKeys) error {
	if err := h.Check(); err != nil {
		return fmt.Errorf("verify head: %w", err)
	}
	if len(h.Signature) == 0 {
		return fmt.Errorf("verify version %d of %s: %w", h.Version, h.Author, ErrUnsigned)
	}
	key, ok := trust[h.Author]
	if !ok || len(key) != ed25519.PublicKeySize {
		return fmt.Errorf("verify version %d of %s: %w", h.Version, h.Author, ErrUntrusted)
	}
	signed, err := h.signedBytes()
	if err != nil {
		return err
	}
	if !ed25519.Verify(key, signed, h.Signature) {
		return fmt.Errorf("verify version %d of %s: %w", h.Version, h.Author, ErrSignature)
	}
	return nil
}

func (h Head) signedBytes() ([]byte, error) {
	h.Signature = nil
	data, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return append([]byte(signatureContext), data...), nil
}

// ParseTrustedKeys decodes the base64 public keys in the settings, keyed by author name.
func ParseTrustedKeys(keys map[string]string) (TrustedKeys, error) {
	var f checker.Validator
	trust := make(TrustedKeys, len(keys))
	for name, text := range keys {
		key, err := base64.StdEncoding.DecodeString(text)
		f.Require(isName(name), name, "is not a name")
		f.Require(err == nil && len(key) == ed25519.PublicKeySize, name, "is not an Ed25519 public key in base64, create one with 'daisylane key new --operator'")
		trust[name] = key
	}
	if err := f.Err(); err != nil {
		return nil, fmt.Errorf("parse trusted keys: %w", err)
	}
	return trust, nil
}
