package receiver

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"daisylane/internal/acceptor"
	"daisylane/internal/granter"
	"daisylane/internal/quarantiner"
)

// serve handles the request from admission to settlement.
func (j *job) serve() {
	// Replaces the write deadline that the previous request set on this connection.
	_ = http.NewResponseController(j.w).SetWriteDeadline(j.arrived.Add(defaultTimeout))
	defer j.endOrigin()
	if j.prepare() && j.reserve() {
		j.run()
		j.settle()
	}
}

// prepare looks up the route, account and service of the request, reads its body and checks
// whether it is allowed. It returns false if it refused the request.
func (j *job) prepare() bool {
	return j.lookUp() && j.readBody() && j.checkQuarantine() && j.checkPlaces(j.candidates()...) && j.findOrigin()
}

// lookUp looks up the route, account and service of the request, and sets its deadline. It
// returns false if it refused the request.
func (j *job) lookUp() bool {
	meta, err := j.r.codec.DecodeRequest(j.req.Header)
	j.meta = meta
	switch {
	case j.r.closing.Load():
		return j.refuse(http.StatusServiceUnavailable, Stopping, meanRetryDelay)
	case j.table == nil || !j.r.budgets.Ready() || !j.r.guard.Ready() || !j.r.streams.Ready() || !j.r.dispatcher.Ready():
		return j.refuse(http.StatusServiceUnavailable, Starting, meanRetryDelay)
	case err != nil:
		j.summary.failure = err
		return j.refuse(http.StatusBadRequest, Malformed, 0)
	case !strings.HasPrefix(j.req.RequestURI, "/"):
		return j.refuse(http.StatusBadRequest, InvalidURI, 0)
	}
	route, ok := j.table.Route(j.req.Host, j.req.URL.EscapedPath())
	if !ok {
		return j.refuseUnknown(http.StatusNotFound, NoRoute, StaleRoute)
	}
	j.route = route
	if j.table.KeyRequired() && !route.Public {
		if j.account, ok = j.table.AccountByKey(meta.Key); !ok {
			return j.refuseUnknown(http.StatusUnauthorized, UnknownKey, StaleKey)
		}
	}
	// A key on a public route binds the request to the regions of its account, nothing else.
	j.bound, _ = j.table.AccountByKey(meta.Key)
	name := j.previewed
	if name == "" {
		name = route.ServiceAt(rand.IntN(max(1, route.TotalWeight())))
	}
	if j.service, ok = j.table.Service(name); !ok {
		return j.refuse(http.StatusServiceUnavailable, NoService, meanRetryDelay)
	}
	j.sharedParts = j.partsAtRisk()
	timeout := defaultTimeout
	if meta.Timeout > 0 {
		timeout = meta.Timeout
	}
	j.deadline = j.arrived.Add(min(timeout, route.Timeout))
	if writeEnd := j.deadline.Add(lateWriteTime); writeEnd.After(j.arrived.Add(defaultTimeout)) {
		_ = http.NewResponseController(j.w).SetWriteDeadline(writeEnd)
	}
	return true
}

// checkQuarantine returns false if it refused the request because targets crash under it.
func (j *job) checkQuarantine() bool {
	if v := j.r.guard.Check(j.subject()); v.Outcome == quarantiner.Quarantined {
		return j.refuseCrashing(v)
	}
	return true
}

// refuseCrashing refuses a request under which targets crash. It returns false, for use as
// a result by callers.
func (j *job) refuseCrashing(v quarantiner.Verdict) bool {
	j.quarantined = v
	return j.refuse(http.StatusServiceUnavailable, Crashing, v.RetryAfter+rand.N(meanRetryDelay))
}

// partsAtRisk returns the IDs of the prompt parts if engines serve the request and other
// requests may have a part too.
func (j *job) partsAtRisk() []uint64 {
	if j.service.Engine == nil || len(j.meta.Parts) < 2 {
		return nil
	}
	return partIDs(j.meta.Parts)
}

// refuseUnknown refuses a request that the routing table does not allow. If the
// table may be out of date, the refusal is temporary and has the stale cause.
func (j *job) refuseUnknown(status int, cause, stale Cause) bool {
	if time.Since(time.Unix(0, j.r.lastContact.Load())) > configStaleTime {
		return j.refuse(http.StatusServiceUnavailable, stale, meanRetryDelay)
	}
	return j.refuse(status, cause, 0)
}

// readBody reads the request body into memory. It returns false if it refused the
// request or aborted the exchange.
func (j *job) readBody() bool {
	limit := j.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = DefaultBodyBytes
	}
	var err error
	if j.heldBody, err = j.r.memory.Read(j.w, j.req, limit, j.deadline); err == nil {
		j.body = j.heldBody.Bytes()
		return true
	}
	// What is left of the body is not read, so no other request can follow it.
	j.w.Header().Set("Connection", "close")
	j.summary.failure = err
	switch {
	case errors.Is(err, acceptor.ErrTooLarge):
		j.summary.failure = nil
		return j.refuse(http.StatusRequestEntityTooLarge, BodyTooLarge, 0)
	case errors.Is(err, acceptor.ErrNoMemory):
		return j.refuse(http.StatusServiceUnavailable, NoMemory, acceptor.RetryAfter())
	case errors.Is(err, acceptor.ErrTooSlow):
		return j.refuse(http.StatusServiceUnavailable, BodyTooSlow, acceptor.RetryAfter())
	case errors.Is(err, acceptor.ErrDeadline):
		j.timeOut()
		return false
	}
	return j.abort(BodyIncomplete)
}

// reserve reserves the prompt tokens and the limit of the output tokens. It returns
// false if it refused the request.
func (j *job) reserve() bool {
	if j.account == nil || j.account.PrepaidTokens < 0 || j.service.Engine == nil {
		return true
	}
	n := j.meta.PromptTokens + j.meta.MaxOutputTokens
	j.reservation = j.r.budgets.Reserve(j.req.Context(), j.account.Name, n, time.Duration(reserveWaitShare*float64(j.route.LatencyTarget)))
	switch j.reservation.Outcome {
	case granter.Reserved:
		j.reservedTokens = n
		return true
	case granter.Exhausted:
		return j.refuse(http.StatusPaymentRequired, Exhausted, 0)
	}
	retryAfter := jitter(min(max(j.reservation.RetryAfter, meanRetryDelay), time.Until(j.deadline)/3))
	return j.refuse(http.StatusServiceUnavailable, tokenCauses[j.reservation.Outcome], retryAfter)
}

// settle ends the reservation and bills the delivered tokens. A request without a
// delivered event is not billed.
func (j *job) settle() {
	if j.reservedTokens == 0 {
		return
	}
	if j.stream.events > 0 {
		j.settledTokens = j.meta.PromptTokens + min(j.meta.MaxOutputTokens, int64(j.stream.events)*int64(j.service.Engine.MaxTokensPerEvent))
	}
	j.r.budgets.Settle(j.account.Name, j.reservation, j.settledTokens)
}
