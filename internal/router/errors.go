package router

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/connector"
)

// Outcome types of an error answer.
const (
	typeNotRun      = "notrun"      // nothing was run
	typeUnknown     = "unknown"     // the request may have run
	typeInterrupted = "interrupted" // the answer broke off after a part was delivered
)

// Error is an error answer to a caller.
type Error struct {
	Status  int           // HTTP status
	Type    string        // notrun, unknown or interrupted
	Reason  string        // for example budget or overload
	Message string        // what happened and what to do next
	After   time.Duration // time until a retry helps, 0 if a retry does not help
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Type, e.Reason, e.Message)
}

func notRun(status int, reason, format string, args ...any) *Error {
	return &Error{Status: status, Type: typeNotRun, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

func (e *Error) withAfter(d time.Duration) *Error {
	c := *e
	c.After = d
	return &c
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Type    string `json:"type"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	ID      string `json:"id"`
	After   int64  `json:"after,omitempty"` // seconds
}

func (e *Error) body(id string) errorBody {
	return errorBody{errorFields{Type: e.Type, Reason: e.Reason, Message: e.Message, ID: id, After: e.afterSeconds()}}
}

func (e *Error) afterSeconds() int64 {
	return int64(math.Ceil(e.After.Seconds()))
}

func (e *Error) write(w http.ResponseWriter, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerID, id)
	if after := e.afterSeconds(); after > 0 {
		h.Set("Retry-After", strconv.FormatInt(after, 10))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e.body(id))
}

// refusalStatus maps the reason of a refusal by a holder or a side to the HTTP status.
var refusalStatus = map[string]int{
	"budget":   http.StatusPaymentRequired,
	"overload": http.StatusServiceUnavailable,
	"deadline": http.StatusServiceUnavailable,
	"stopping": http.StatusServiceUnavailable,
	"platform": http.StatusServiceUnavailable,
	"rate":     http.StatusTooManyRequests,
}

// refusalError turns a refusal by a holder or a side into the answer to the caller.
func refusalError(err error, otherwise string) *Error {
	var refused *connector.RefusedError
	if !errors.As(err, &refused) {
		return notRun(http.StatusServiceUnavailable, otherwise, "%s is not available, try again later", otherwise).withAfter(time.Second)
	}
	status, ok := refusalStatus[refused.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return notRun(status, refused.Reason, "%s", refused.Text).withAfter(refused.After)
}
