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

// Types of error responses.
const (
	typeNotRun      = "notrun"      // the request was not run
	typeUnknown     = "unknown"     // the request may have run
	typeInterrupted = "interrupted" // the response was cut off after a part was delivered
)

// Error is an error response to a caller.
type Error struct {
	Status     int           // HTTP status
	Type       string        // notrun, unknown or interrupted
	Reason     string        // for example budget or overload
	Message    string        // what failed and what the caller can do
	RetryAfter time.Duration // time until a retry may succeed, 0 if a retry is useless
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Type, e.Reason, e.Message)
}

func notRun(status int, reason, format string, args ...any) *Error {
	return &Error{Status: status, Type: typeNotRun, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

func (e *Error) withRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Type       string `json:"type"`
	Reason     string `json:"reason"`
	Message    string `json:"message"`
	ID         string `json:"id"`
	RetryAfter int64  `json:"after,omitempty"` // seconds
}

func (e *Error) body(id string) errorBody {
	return errorBody{errorFields{Type: e.Type, Reason: e.Reason, Message: e.Message, ID: id, RetryAfter: e.retryAfterSeconds()}}
}

func (e *Error) retryAfterSeconds() int64 {
	return int64(math.Ceil(e.RetryAfter.Seconds()))
}

func (e *Error) write(w http.ResponseWriter, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequestID, id)
	if after := e.retryAfterSeconds(); after > 0 {
		h.Set("Retry-After", strconv.FormatInt(after, 10))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e.body(id))
}

// refusalStatus maps the reason of a refusal by a holder or side to an HTTP status.
var refusalStatus = map[string]int{
	"budget":   http.StatusPaymentRequired,
	"overload": http.StatusServiceUnavailable,
	"deadline": http.StatusServiceUnavailable,
	"stopping": http.StatusServiceUnavailable,
	"platform": http.StatusServiceUnavailable,
	"rate":     http.StatusTooManyRequests,
}

// refusalError converts an error of a call to a holder or side to an error
// response. The fallback reason is used if the call failed without a refusal.
func refusalError(err error, fallbackReason string) *Error {
	var refused *connector.RefusedError
	if !errors.As(err, &refused) {
		return notRun(http.StatusServiceUnavailable, fallbackReason, "%s is not available, try again later", fallbackReason).withRetryAfter(time.Second)
	}
	status, ok := refusalStatus[refused.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return notRun(status, refused.Reason, "%s", refused.Text).withRetryAfter(refused.RetryAfter)
}
