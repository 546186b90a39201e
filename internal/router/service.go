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

// States of a claim as they are in messages.
const (
	claimNew      = string(claimer.Granted)
	claimRunning  = string(claimer.Running)
	claimDone     = string(claimer.Done)
	claimNotRun   = string(claimer.NotRun)
	claimUnknown  = string(claimer.Unknown)
	claimMismatch = string(claimer.Mismatch)
)

// finalReasons are refusals of an outcome that sending it again cannot change.
var finalReasons = []string{claimer.Owner, claimer.Outdated, claimer.Absent, claimer.Invalid}

// concludeTimeout bounds the attempts to record the outcome of a claimed call.
const concludeTimeout = 30 * time.Second

// forwardedHeaders are the headers of a caller that a plain service gets.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match"}

// call is one request to a plain service.
type call struct {
	service bundler.Target
	job     job
	digest  []byte
	claimed bool
}

// serveService forwards a request to a plain service. A call that may not be
// repeated runs under a durable claim.
func (r *Router) serveService(ctx context.Context, w http.ResponseWriter, hr *http.Request, req request) *Error {
	c, failure := r.parseCall(w, hr, req)
	if failure != nil {
		return failure
	}
	if !c.claimed {
		return r.runCall(ctx, w, req, c)
	}
	claim, err := r.budgets.Claim(ctx, req.id, c.claimMessage(req), req.account.Home)
	if err != nil {
		r.abandonClaim(ctx, req, c, err)
		return refusalError(err, "platform")
	}
	r.record(req.id, "claim", claim.GetState(), "", explainer.Name("owner", claim.GetRequest()))
	if claim.GetState() != claimNew {
		return replayClaim(w, claim)
	}
	return r.runCall(ctx, w, req, c)
}

func (r *Router) parseCall(w http.ResponseWriter, hr *http.Request, req request) (call, *Error) {
	name := hr.PathValue("service")
	service, ok := req.index.Target(name)
	if !ok || service.Kind != bundler.KindService {
		return call{}, notRun(http.StatusNotFound, "model", "there is no service %q", name)
	}
	if !req.account.Reaches(service.Name) {
		return call{}, notRun(http.StatusForbidden, "right", "the account may not use service %q", name)
	}
	repeatable := service.Repeats(hr.Method)
	if !repeatable && req.key == "" {
		return call{}, notRun(http.StatusBadRequest, "body", "%s %s may not be repeated, send the header %s", hr.Method, name, headerKey)
	}
	payload, failure := readBody(w, hr)
	if failure != nil {
		return call{}, failure
	}
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
		service: service,
		digest:  digest(hr.Method, path, payload),
		claimed: !repeatable,
		job: job{
			target: service.Name, method: hr.Method, path: path, header: header, payload: payload,
			repeatable: repeatable, tokens: service.Price,
		},
	}
	if c.claimed {
		c.job.claim = req.key
	}
	return c, nil
}

// digest identifies the content of a call, so that a key used for another call is noticed.
func digest(method, path string, payload []byte) []byte {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s\x00%s\x00", method, path)
	_, _ = d.Write(payload)
	return d.Sum(nil)
}

func (c call) claimMessage(req request) *wirepb.Claim {
	return &wirepb.Claim{Account: req.account.Name, Service: c.service.Name, Key: req.key, Digest: c.digest}
}

// runCall runs the call at a target and records the outcome of a claimed call
// before the caller gets it.
func (r *Router) runCall(ctx context.Context, w http.ResponseWriter, req request, c call) *Error {
	c.job.buffer = &bytes.Buffer{}
	res := r.run(ctx, req, c.job, c.job.collect)
	answer := c.job.buffer.Bytes()
	if c.claimed {
		r.conclude(ctx, req, c, res, answer)
	}
	if res.failure != nil {
		return res.failure
	}
	writeAnswer(w, res.end.GetHeader(), int(res.end.GetStatus()), answer)
	return nil
}

// abandonClaim records that a call is not sent when it is not known whether the
// claim was made. Otherwise the claim would block the key of the caller.
func (r *Router) abandonClaim(ctx context.Context, req request, c call, err error) {
	var refused *connector.RefusedError
	if errors.As(err, &refused) {
		return
	}
	r.background(func() { r.conclude(ctx, req, c, result{failure: &Error{Type: typeNotRun}}, nil) })
}

// conclude records the outcome of a claimed call. It goes on in the background
// when the holder does not answer, since the caller's answer is known.
func (r *Router) conclude(ctx context.Context, req request, c call, res result, answer []byte) {
	m := &wirepb.Conclude{Account: req.account.Name, Service: c.service.Name, Key: req.key, State: res.claimState()}
	if m.State == claimDone {
		m.Status, m.Header, m.Payload = res.end.GetStatus(), res.end.GetHeader(), answer
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), concludeTimeout)
	record := func() error {
		err := r.budgets.Conclude(ctx, req.id, m, req.account.Home)
		var refused *connector.RefusedError
		if errors.As(err, &refused) && slices.Contains(finalReasons, refused.Reason) {
			r.log.Error().Str("id", req.id).Str("state", m.State).Err(err).Msg("outcome of a claimed call not recorded")
			return nil
		}
		return err
	}
	if err := record(); err == nil {
		cancel()
		return
	}
	r.background(func() {
		defer cancel()
		r.persist(ctx, req.id, "conclude", record)
	})
}

// replayClaim answers a repeated key from the state of its claim.
func replayClaim(w http.ResponseWriter, claim *wirepb.Claimed) *Error {
	switch claim.GetState() {
	case claimDone:
		w.Header().Set(headerReplayed, "true")
		writeAnswer(w, claim.GetHeader(), int(claim.GetStatus()), claim.GetPayload())
		return nil
	case claimMismatch:
		return notRun(http.StatusUnprocessableEntity, "body", "the key was used for another call, choose a new key")
	case claimRunning:
		return &Error{
			Status: http.StatusConflict, Type: typeUnknown, Reason: "running", After: time.Second,
			Message: "the call with this key is running as request " + claim.GetRequest(),
		}
	default:
		return &Error{
			Status: http.StatusBadGateway, Type: typeUnknown, Reason: "claim",
			Message: "the outcome of the call with this key is unknown and it will not be repeated, ask the service or the operator about request " + claim.GetRequest(),
		}
	}
}

func writeAnswer(w http.ResponseWriter, header map[string]string, status int, payload []byte) {
	for key, v := range header {
		w.Header().Set(key, v)
	}
	if status == 0 {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	_, _ = w.Write(payload)
}
