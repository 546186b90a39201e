package receiver

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"daisylane/internal/quarantiner"
)

// fingerprint returns the same value for requests of an account with equal method, path,
// query and body. It resists accounts that search for a request with the value of another.
func fingerprint(account, method, uri string, body []byte) quarantiner.Fingerprint {
	h := sha256.New()
	for _, s := range []string{account, method, uri} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		_, _ = io.WriteString(h, s) // never fails
	}
	h.Write(body)
	return quarantiner.Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// fingerprint returns the fingerprint of the request.
func (j *job) fingerprint() quarantiner.Fingerprint {
	if j.knownFingerprint == 0 {
		account := ""
		if j.account != nil {
			account = j.account.Name
		}
		j.knownFingerprint = fingerprint(account, j.req.Method, j.req.RequestURI, j.body)
	}
	return j.knownFingerprint
}
