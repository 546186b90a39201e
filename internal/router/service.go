package router

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"daisylane/internal/bundler"
	"daisylane/internal/claimer"
	"daisylane/internal/connector"
	"daisylane/internal/explainer"
	"daisylane/internal/wirepb"
)

// Claim states as encoded in messages.
const (
	claimNew      = string(claimer.StateNew)
	claimRunning  = string(claimer.StateRunning)
	claimDone     = string(claimer.StateDone)
	claimNotRun   = string(claimer.StateNotRun)
	claimUnknown  = string(claimer.StateUnknown)
	claimMismatch = string(claimer.StateMismatch)
)

// permanentRefusals are the reasons to refuse an outcome for which a retry is useless.
var permanentRefusals = []string{claimer.ReasonOwner, claimer.ReasonOutdated, claimer.ReasonAbsent, claimer.ReasonInvalid}

// concludeTimeout limits the retries to record the outcome of a claimed call.
const concludeTimeout = 30 * time.Second

// forwardedHeaders are the request headers that are forwarded to a service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match"}

// call is a request to a service.
type call struct {
	service    bundler.Target
	job        job
	digest     []byte
	needsClaim bool
}

// serveService forwards a request to a service. A non-idempotent call runs under
// a durable claim.
func (r *Router) serveService(ctx context.Context, w http.ResponseWriter, hr *http.Request, req request) *Error {
	c, failure := r.parseCall(hr, req)
	if failure != nil {
		return failure
	}
	if !c.needsClaim {
		return r.runCall(ctx, w, req, c)
	}
	claim, err := r.budgets.Claim(ctx, req.id, c.claimMessage(req), req.account.Home)
	if err != nil {
		r.releaseUnconfirmedClaim(ctx, req, c, err)
		return refusalError(err, "platform")
	}
	r.recordDecision(req.id, "claim", claim.GetState(), "", explainer.Name("owner", claim.GetRequest()))
	if claim.GetState() != claimNew {
		return replayClaim(w, claim)
	}
	return r.runCall(ctx, w, req, c)
}

func (r *Router) parseCall(hr *http.Request, req request) (call, *Error) {
	name := hr.PathValue("service")
	service, ok := req.index.Target(name)
	if !ok || service.Kind != bundler.KindService {
		return call{}, notRun(http.StatusNotFound, "model", "there is no service %q", name)
	}
	if !req.account.MayUse(service.Name) {
		return call{}, notRun(http.StatusForbidden, "right", "the account may not use service %q", name)
	}
	idempotent := service.Retryable(hr.Method)
	if !idempotent && req.idempotencyKey == "" {
		return call{}, notRun(http.StatusBadRequest, "body", "%s %s may not be repeated, send the header %s", hr.Method, name, headerIdempotencyKey)
	}
	payload := req.payload
	path := "/" + hr.PathValue("path")
	if hr.URL.RawQuery != "" {
		path += "?" + hr.URL.RawQuery
	}
	header := make(map[string]string)
	for _, key := range forwardedHeaders {
		if v := hr.Header.Get(key); v != "" {
			header[key] = v
		}
	}
	c := call{
		service:    service,
		digest:     digest(hr.Method, path, payload),
		needsClaim: !idempotent,
		job: job{
			target: service.Name, method: hr.Method, path: path, header: header, payload: payload,
			idempotent: idempotent, maxTokens: service.Price,
		},
	}
	if c.needsClaim {
		c.job.claimKey = req.idempotencyKey
	}
	return c, nil
}

// digest returns a hash of the call's content. It detects an idempotency key that
// is reused for a different call.
func digest(method, path string, payload []byte) []byte {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s\x00%s\x00", method, path)
	_, _ = d.Write(payload)
	return d.Sum(nil)
}

func (c call) claimMessage(req request) *wirepb.Claim {
	return &wirepb.Claim{Account: req.account.Name, Service: c.service.Name, Key: req.idempotencyKey, Digest: c.digest}
}

// runCall runs the call at a target. The outcome of a claimed call is recorded
// before the response is written.
func (r *Router) runCall(ctx context.Context, w http.ResponseWriter, req request, c call) *Error {
	c.job.buffer = &bytes.Buffer{}
	res := r.runJob(ctx, req, c.job, c.job.writeToBuffer)
	body := c.job.buffer.Bytes()
	if c.needsClaim {
		r.concludeClaim(ctx, req, c, res, body)
	}
	if res.failure != nil {
		return res.failure
	}
	writeResponse(w, res.end.GetHeader(), int(res.end.GetStatus()), body)
	return nil
}

// releaseUnconfirmedClaim records the call as not run if the claim request failed
// without a refusal, so that the claim may exist. Otherwise the claim would block
// the caller's idempotency key.
func (r *Router) releaseUnconfirmedClaim(ctx context.Context, req request, c call, err error) {
	var refused *connector.RefusedError
	if errors.As(err, &refused) {
		return
	}
	r.runInBackground(func() { r.concludeClaim(ctx, req, c, result{failure: &Error{Type: typeNotRun}}, nil) })
}

// concludeClaim records the outcome of a claimed call. If the first try fails, it
// retries in the background, because the response to the caller is already known.
func (r *Router) concludeClaim(ctx context.Context, req request, c call, res result, body []byte) {
	m := &wirepb.Conclude{Account: req.account.Name, Service: c.service.Name, Key: req.idempotencyKey, State: res.claimState()}
	if m.State == claimDone {
		m.Status, m.Header, m.Payload = res.end.GetStatus(), res.end.GetHeader(), body
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), concludeTimeout)
	record := func() error {
		err := r.budgets.Conclude(ctx, req.id, m, req.account.Home)
		var refused *connector.RefusedError
		if errors.As(err, &refused) && slices.Contains(permanentRefusals, refused.Reason) {
			r.log.Error().Str("id", req.id).Str("state", m.State).Err(err).Msg("outcome of a claimed call refused; not recorded")
			return nil
		}
		return err
	}
	if err := record(); err == nil {
		cancel()
		return
	}
	r.runInBackground(func() {
		defer cancel()
		r.retryUntilDone(ctx, req.id, "conclude", record)
	})
}

// replayClaim responds to a repeated idempotency key from the state of its claim.
func replayClaim(w http.ResponseWriter, claim *wirepb.Claimed) *Error {
	switch claim.GetState() {
	case claimDone:
		w.Header().Set(headerReplayed, "true")
		writeResponse(w, claim.GetHeader(), int(claim.GetStatus()), claim.GetPayload())
		return nil
	case claimMismatch:
		return notRun(http.StatusUnprocessableEntity, "body", "the key was used for another call, choose a new key")
	case claimRunning:
		return &Error{
			Status: http.StatusConflict, Type: typeUnknown, Reason: "running", RetryAfter: time.Second,
			Message: "the call with this key is running as request " + claim.GetRequest(),
		}
	default:
		return &Error{
			Status: http.StatusBadGateway, Type: typeUnknown, Reason: "claim",
			Message: "the outcome of the call with this key is unknown and it will not be repeated, ask the service or the operator about request " + claim.GetRequest(),
		}
	}
}

func writeResponse(w http.ResponseWriter, header map[string]string, status int, payload []byte) {
	for key, v := range header {
		w.Header().Set(key, v)
	}
	if status == 0 {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	_, _ = w.Write(payload)
}
