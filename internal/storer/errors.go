package storer

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of platform calls.
var (
	// ErrAbsent means that the key does not exist.
	ErrAbsent = errors.New("object is absent")
	// ErrConflict means that the object has another version and nothing took effect.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that nothing took effect: the platform is down, limits the rate, or cannot be reached.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrUncertain means that a write was sent and no answer arrived. Read the key back.
	ErrUncertain = errors.New("outcome of the write is uncertain")
	// ErrTooLarge means that the body is over the platform's limit and nothing took effect.
	ErrTooLarge = errors.New("object is over 1 MB, split it")
	// ErrInvalid means that the platform refused the call as malformed or answered in another format.
	ErrInvalid = errors.New("platform protocol error")
)

// ConflictError is a failed condition of a write. It wraps [ErrConflict].
type ConflictError struct {
	Key     string
	Version uint64 // current version, 0 if the key is absent
	Body    []byte // current body
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: current version is %d: %v", e.Key, e.Version, ErrConflict)
}

// Unwrap returns [ErrConflict].
func (e *ConflictError) Unwrap() error { return ErrConflict }
