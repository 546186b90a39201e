package connector

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/wirepb"
)

// Errors of sessions and streams.
var (
	// ErrDial means that no connection to the peer was established, so nothing was sent.
	ErrDial = errors.New("dial failed")
	// ErrProtocol means that the peer has another protocol version or sent an
	// unexpected frame.
	ErrProtocol = errors.New("protocol error")
	// ErrTooLarge means that a frame exceeds the size limit.
	ErrTooLarge = errors.New("frame too large")
)

// RefusedError is a Refused response of the peer: the request was not carried out.
type RefusedError struct {
	Reason     string        // one of the reasons of the wire protocol, for example "budget"
	Text       string        // human-readable explanation
	RetryAfter time.Duration // time after which a retry may succeed, 0 if unknown
	Holder     string        // instance to ask instead, empty if none
	Addr       string        // address of that instance
	Load       *wirepb.Load  // load of the refusing peer, nil if not reported
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s: %s", e.Reason, e.Text)
}

// Message returns the wire form of the error.
func (e *RefusedError) Message() *wirepb.Refused {
	return &wirepb.Refused{
		Reason: e.Reason, Text: e.Text, After: uint64(e.RetryAfter.Milliseconds()),
		Holder: e.Holder, Addr: e.Addr, Load: e.Load,
	}
}

// NewRefusedError converts a Refused message to an error.
func NewRefusedError(m *wirepb.Refused) *RefusedError {
	return &RefusedError{
		Reason: m.GetReason(), Text: m.GetText(), RetryAfter: time.Duration(m.GetAfter()) * time.Millisecond,
		Holder: m.GetHolder(), Addr: m.GetAddr(), Load: m.GetLoad(),
	}
}
