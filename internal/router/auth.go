package router

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/explainer"
	"daisylane/internal/reporter"
)

// request is one authenticated request of a caller.
type request struct {
	id             string
	account        bundler.Account
	index          *bundler.Index
	idempotencyKey string // hash of account and Idempotency-Key, empty if not sent
	worth          float64
	deadline       time.Time
	payload        []byte // body
}

type handlerFunc func(ctx context.Context, w http.ResponseWriter, hr *http.Request, req request) *Error

// authenticated wraps a handler with authentication, admission control and error
// responses.
func (r *Router) authenticated(h handlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		r.inFlight.Add(1)
		defer r.inFlight.Add(-1)
		req, failure := r.authenticate(hr)
		if failure != nil {
			r.respondError(w, req, failure)
			return
		}
		w.Header().Set(headerRequestID, req.id)
		// Read before the admission, so that a client that sends slowly takes no place of others.
		body, failure := r.readBody(w, hr, req)
		if failure != nil {
			r.respondError(w, req, failure)
			return
		}
		defer body.Close()
		req.payload = body.Bytes()
		ctx, cancel := context.WithDeadline(hr.Context(), req.deadline)
		defer cancel()
		release, failure := r.admission.Acquire(ctx, req.account, req.worth, req.deadline)
		if failure != nil {
			r.respondError(w, req, failure)
			return
		}
		defer release()
		if failure := h(ctx, w, hr, req); failure != nil {
			r.respondError(w, req, failure)
		}
	})
}

// clientFaults are the reasons that any client can bring about as often as it likes.
var clientFaults = map[string]bool{"key": true, "body": true, "memory": true, "bodyslow": true}

func (r *Router) respondError(w http.ResponseWriter, req request, failure *Error) {
	if !clientFaults[failure.Reason] || r.faultLines.Allow(r.log, time.Now()) {
		r.log.Info().Str("id", req.id).Str("account", req.account.Name).
			Str("type", failure.Type).Str("reason", failure.Reason).Str("text", failure.Message).Msg("request failed")
	}
	r.countRequest("", failure.Type)
	if failure.Type == typeNotRun {
		r.scope.Tagged(map[string]string{"reason": failure.Reason}).Counter(reporter.Refusals).Inc(1)
	}
	r.recordDecision(req.id, "answer", failure.Type, failure.Reason, explainer.Name("account", req.account.Name))
	failure.write(w, req.id)
}

func (r *Router) authenticate(hr *http.Request) (request, *Error) {
	req := request{id: newID(), index: r.index()}
	if req.index == nil {
		return req, notRun(http.StatusServiceUnavailable, "stopping", "no bundle is in force yet").withRetryAfter(2 * time.Second)
	}
	key, ok := strings.CutPrefix(hr.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return req, notRun(http.StatusUnauthorized, "key", "no bearer key, send the header Authorization: Bearer KEY")
	}
	req.account, ok = req.index.AccountByKey(bundler.HashKey(key))
	if !ok {
		return req, notRun(http.StatusUnauthorized, "key", "the bearer key belongs to no client account")
	}
	return req.withHeaders(hr.Header)
}

// withHeaders returns the request with the idempotency key, worth and timeout of its headers.
func (req request) withHeaders(h http.Header) (request, *Error) {
	if key := h.Get(headerIdempotencyKey); key != "" {
		if len(key) > maxIdempotencyKeyBytes {
			return req, notRun(http.StatusBadRequest, "body", "%s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes)
		}
		req.idempotencyKey = hashIdempotencyKey(req.account.Name, key)
	}
	req.worth = max(req.account.Worth, 0)
	if s := h.Get(headerWorth); s != "" {
		worth, err := strconv.ParseFloat(s, 64)
		if err != nil || !(worth > 0) {
			return req, notRun(http.StatusBadRequest, "body", "%s is %q, want a positive number", headerWorth, s)
		}
		req.worth = min(req.worth, worth)
	}
	timeout := defaultTimeout
	if s := h.Get(headerTimeout); s != "" {
		seconds, err := strconv.ParseFloat(s, 64)
		if err != nil || !(seconds > 0) {
			return req, notRun(http.StatusBadRequest, "body", "%s is %q, want seconds above 0", headerTimeout, s)
		}
		timeout = time.Duration(min(seconds, maxTimeout.Seconds()) * float64(time.Second))
	}
	req.deadline = time.Now().Add(timeout)
	return req, nil
}

func newID() string { return strings.ToLower(rand.Text()) }

// hashIdempotencyKey hashes the key together with the account, because a key may
// contain personal data and keys of different accounts must not collide.
func hashIdempotencyKey(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}
