package storer

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors returned by platform calls.
var (
	// ErrAbsent means that the key does not exist.
	ErrAbsent = errors.New("object is absent")
	// ErrConflict means that the object has another version and the write had no effect.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the call had no effect, because the platform is down,
	// unreachable or limits the rate.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrUncertain means that a write was sent and no response arrived, so it may or may
	// not have taken effect. Read the key back to find out.
	ErrUncertain = errors.New("outcome of the write is uncertain")
	// ErrRestored means that the platform was restored from an older copy during the
	// call, or that the response belongs to the time before. The outcome of a write is
	// uncertain. Nothing that was read or written before can be relied on.
	ErrRestored = errors.New("platform was restored from an older copy")
	// ErrTooLarge means that the body exceeds the platform's limit and the write had no
	// effect.
	ErrTooLarge = errors.New("object is over 1 MB, split it")
	// ErrInvalid means that the platform rejected the call as malformed, or that its
	// response is malformed.
	ErrInvalid = errors.New("platform protocol error")
)

// ConflictError reports that the condition of a write failed. It wraps [ErrConflict].
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
