package router

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"daisylane/internal/acceptor"
)

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readBody reads the request body, up to maxBodyBytes. If it fails, the connection is closed
// after the response, because the rest of the body is not read. The caller must close the
// body.
func (r *Router) readBody(w http.ResponseWriter, hr *http.Request, req request) (*acceptor.Body, *Error) {
	body, err := r.memory.Read(w, hr, maxBodyBytes, req.deadline)
	if err == nil {
		return body, nil
	}
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, acceptor.ErrTooLarge):
		return nil, notRun(http.StatusRequestEntityTooLarge, "body", "the body is larger than %d bytes", maxBodyBytes)
	case errors.Is(err, acceptor.ErrNoMemory):
		return nil, notRun(http.StatusServiceUnavailable, "memory", "there is no memory for the body").withRetryAfter(acceptor.RetryAfter())
	case errors.Is(err, acceptor.ErrTooSlow):
		return nil, notRun(http.StatusServiceUnavailable, "bodyslow", "the body arrived too slowly").withRetryAfter(acceptor.RetryAfter())
	case errors.Is(err, acceptor.ErrDeadline):
		return nil, notRun(http.StatusServiceUnavailable, "deadline", "the time of the request was over before its body was whole")
	}
	return nil, notRun(http.StatusBadRequest, "body", "the body could not be read: %v", err)
}
