package receiver

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"daisylane/internal/granter"
)

func (j *job) serve() {
	// The deadline of the request before on this connection is replaced.
	_ = http.NewResponseController(j.w).SetWriteDeadline(j.arrived.Add(defaultPatience))
	if j.accept() && j.reserve() {
		j.run()
		j.settle()
	}
}

// accept finds what the request needs, or refuses it.
func (j *job) accept() bool {
	meta, err := j.r.codec.Request(j.req.Header)
	j.meta = meta
	switch {
	case j.r.closing.Load():
		j.w.Header().Set("Connection", "close")
		return j.refuse(http.StatusServiceUnavailable, Stopping, comeBack)
	case j.table == nil || !j.r.budgets.Ready():
		return j.refuse(http.StatusServiceUnavailable, Starting, comeBack)
	case err != nil:
		j.out.detail = err
		return j.refuse(http.StatusBadRequest, Malformed, 0)
	case !strings.HasPrefix(j.req.RequestURI, "/"):
		return j.refuse(http.StatusBadRequest, WrongURI, 0)
	}
	route, ok := j.table.Route(j.req.Host, j.req.URL.EscapedPath())
	if !ok {
		return j.unknown(http.StatusNotFound, NoRoute, StaleRoute)
	}
	j.route = route
	if j.table.Keyed() && !route.Public {
		if j.account, ok = j.table.Account(meta.Key); !ok {
			return j.unknown(http.StatusUnauthorized, NoKey, StaleKey)
		}
	}
	if j.service, ok = j.table.Service(route.Pick(rand.IntN(max(1, route.Weight())))); !ok {
		return j.refuse(http.StatusServiceUnavailable, NoService, comeBack)
	}
	patience := defaultPatience
	if meta.Patience > 0 {
		patience = meta.Patience
	}
	j.deadline = j.arrived.Add(min(patience, route.Timeout))
	return j.read()
}

// unknown refuses a request that the table does not allow. If a newer table may
// allow it, the refusal is not final.
func (j *job) unknown(status int, cause, stale Cause) bool {
	if time.Since(time.Unix(0, j.r.contact.Load())) > staleTime {
		return j.refuse(http.StatusServiceUnavailable, stale, comeBack)
	}
	return j.refuse(status, cause, 0)
}

// read reads the body.
func (j *job) read() bool {
	limit := j.table.Limits().BodyBytes
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if j.req.ContentLength > limit {
		return j.refuse(http.StatusRequestEntityTooLarge, LargeBody, 0)
	}
	if j.req.ContentLength > 0 {
		j.body = make([]byte, j.req.ContentLength)
		if _, err := io.ReadFull(j.req.Body, j.body); err != nil {
			j.out.detail = err
			return j.abandon(Unread)
		}
		return true
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.req.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return j.refuse(http.StatusRequestEntityTooLarge, LargeBody, 0)
	case err != nil:
		j.out.detail = err
		return j.abandon(Unread)
	}
	j.body = body
	return true
}

// reserve takes the tokens that the request needs at its most.
func (j *job) reserve() bool {
	if j.account == nil || j.account.Prepaid < 0 || j.service.Engine == nil {
		return true
	}
	n := j.meta.Prompt + j.meta.Output
	j.budget = j.r.budgets.Reserve(j.req.Context(), j.account.Name, n, time.Duration(tokenShare*float64(j.route.Target)))
	switch j.budget.Outcome {
	case granter.Reserved:
		j.reserved = n
		return true
	case granter.Exhausted:
		return j.refuse(http.StatusPaymentRequired, Exhausted, 0)
	}
	after := jitter(min(max(j.budget.After, comeBack), time.Until(j.deadline)/3))
	return j.refuse(http.StatusServiceUnavailable, tokenCauses[j.budget.Outcome], after)
}

// settle ends the reservation with what was delivered. A request of which the
// caller got nothing is not billed.
func (j *job) settle() {
	if j.reserved == 0 {
		return
	}
	if j.stream.events > 0 {
		j.tokens = j.meta.Prompt + min(j.meta.Output, int64(j.stream.events)*int64(j.service.Engine.PerEvent))
	}
	j.r.budgets.Settle(j.account.Name, j.budget, j.tokens)
}
