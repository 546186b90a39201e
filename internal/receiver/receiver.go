package receiver

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"daisylane/internal/chooser"
	"daisylane/internal/forwarder"
	"daisylane/internal/granter"
	"daisylane/internal/reporter"
	"daisylane/internal/resolver"
)

// Receiver serves requests of callers.
type Receiver struct {
	codec    Codec
	dispatch *Dispatch
	budgets  Budgets
	pool     *forwarder.Pool
	log      zerolog.Logger
	scope    tally.Scope

	table    atomic.Pointer[resolver.Table]
	contact  atomic.Int64 // Unix nanoseconds of the last contact with the configuration
	inflight atomic.Int64
	closing  atomic.Bool
}

// Option changes a setting of a [Receiver].
type Option func(*Receiver)

// WithLog sets the log, which gets one line for each request.
func WithLog(log zerolog.Logger) Option { return func(r *Receiver) { r.log = log } }

// WithScope sets where metrics go.
func WithScope(s tally.Scope) Option { return func(r *Receiver) { r.scope = s } }

// New returns a receiver that refuses all requests until it has a table.
func New(codec Codec, d *Dispatch, b Budgets, p *forwarder.Pool, opts ...Option) *Receiver {
	r := &Receiver{codec: codec, dispatch: d, budgets: b, pool: p, log: zerolog.Nop(), scope: tally.NoopScope}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Adopt replaces the table by a newer one.
func (r *Receiver) Adopt(t *resolver.Table) { r.table.Store(t) }

// Table returns the table in force, or nil.
func (r *Receiver) Table() *resolver.Table { return r.table.Load() }

// Contact notes that the table was the newest one at a time.
func (r *Receiver) Contact(now time.Time) { r.contact.Store(now.UnixNano()) }

// Close refuses all later requests, as not run; those in flight go on.
func (r *Receiver) Close() { r.closing.Store(true) }

// Inflight returns the number of requests that are being served.
func (r *Receiver) Inflight() int64 { return r.inflight.Load() }

// job is one request on its way.
type job struct {
	r        *Receiver
	w        http.ResponseWriter
	req      *http.Request
	meta     Meta
	table    *resolver.Table
	route    *resolver.Route
	account  *resolver.Account
	service  *resolver.Service
	body     []byte
	arrived  time.Time
	deadline time.Time
	budget   granter.Decision
	reserved int64
	tried    []string
	sends    int // attempts that may have reached a target
	dials    int // attempts that did not
	out      outcome
	stream   stream
	last     Lane
	broken   bool // the connection ends without a complete answer
}

// outcome is how a request ended.
type outcome struct {
	status int
	cause  string // short and stable, for logs and metrics
	detail error
	ran    bool // a target may have run the request
	first  time.Time
}

// ServeHTTP serves one request.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.inflight.Add(1)
	defer r.inflight.Add(-1)
	j := &job{r: r, w: w, req: req, arrived: time.Now(), table: r.table.Load()}
	defer j.record()
	j.serve()
	if j.broken {
		// The server closes the connection without the end of the answer.
		panic(http.ErrAbortHandler)
	}
}

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
		return j.refuse(http.StatusServiceUnavailable, "stopping", comeBack)
	case j.table == nil || !j.r.budgets.Ready():
		return j.refuse(http.StatusServiceUnavailable, "starting", comeBack)
	case err != nil:
		j.out.detail = err
		return j.refuse(http.StatusBadRequest, "malformed", 0)
	case !strings.HasPrefix(j.req.RequestURI, "/"):
		return j.refuse(http.StatusBadRequest, "uri", 0)
	}
	route, ok := j.table.Route(j.req.Host, j.req.URL.EscapedPath())
	if !ok {
		return j.unknown(http.StatusNotFound, "route")
	}
	j.route = route
	if j.table.Keyed() && !route.Public {
		if j.account, ok = j.table.Account(meta.Key); !ok {
			return j.unknown(http.StatusUnauthorized, "key")
		}
	}
	if j.service, ok = j.table.Service(route.Pick(rand.IntN(max(1, route.Weight())))); !ok {
		return j.refuse(http.StatusServiceUnavailable, "service", comeBack)
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
func (j *job) unknown(status int, cause string) bool {
	if time.Since(time.Unix(0, j.r.contact.Load())) > staleTime {
		return j.refuse(http.StatusServiceUnavailable, cause+"stale", comeBack)
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
		return j.refuse(http.StatusRequestEntityTooLarge, "body", 0)
	}
	if j.req.ContentLength > 0 {
		j.body = make([]byte, j.req.ContentLength)
		if _, err := io.ReadFull(j.req.Body, j.body); err != nil {
			j.out.detail = err
			return j.abandon("unread")
		}
		return true
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.req.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return j.refuse(http.StatusRequestEntityTooLarge, "body", 0)
	case err != nil:
		j.out.detail = err
		return j.abandon("unread")
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
		return j.refuse(http.StatusPaymentRequired, "exhausted", 0)
	}
	after := jitter(min(max(j.budget.After, comeBack), time.Until(j.deadline)/3))
	return j.refuse(http.StatusServiceUnavailable, "tokens"+string(j.budget.Outcome), after)
}

// settle ends the reservation with what was delivered. A request of which the
// caller got nothing is not billed.
func (j *job) settle() {
	if j.reserved == 0 {
		return
	}
	var used int64
	if j.stream.events > 0 {
		used = j.meta.Prompt + min(j.meta.Output, int64(j.stream.events)*int64(j.service.Engine.PerEvent))
	}
	j.r.budgets.Settle(j.account.Name, j.budget, used)
}

// refuse answers that the request is not served. It returns false.
func (j *job) refuse(status int, cause string, after time.Duration) bool {
	j.out.status, j.out.cause = status, cause
	h := j.w.Header()
	j.r.codec.Refuse(h, j.meta.ID, after)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	j.w.WriteHeader(status)
	_, _ = io.WriteString(j.w, cause+"\n") // the caller may be gone
	return false
}

// abandon ends the exchange without an answer. It returns false.
func (j *job) abandon(cause string) bool {
	j.breakOff(cause)
	return false
}

// prompt returns what the choice of an engine depends on.
func (j *job) prompt() chooser.Prompt {
	return chooser.Prompt{Parts: j.meta.Parts, Tokens: j.meta.Prompt, Output: j.meta.Output}
}

// priority returns the urgency of the request, 0 first.
func (j *job) priority() int {
	if j.account != nil && j.account.Priority != nil {
		return *j.account.Priority
	}
	return j.route.Priority
}

// record writes the line and the metrics of the request.
func (j *job) record() {
	took := time.Since(j.arrived)
	name, account, service := "", "", ""
	if j.route != nil {
		name = j.route.Name
	}
	if j.account != nil {
		account = j.account.Name
	}
	if j.service != nil {
		service = j.service.Name
	}
	j.measure(service, took)
	e := j.r.log.Info().Str("id", j.meta.ID).Str("route", name).Str("account", account).Str("service", service).
		Str("outcome", j.out.cause).Int("status", j.out.status).Int64("took", took.Milliseconds())
	if j.table != nil {
		e.Int64("config", j.table.Version())
	}
	if j.budget.Outcome != "" {
		e.Str("budget", string(j.budget.Outcome)).Int64("lent", j.budget.Lent).Int64("held", j.budget.Held).Int64("used", j.budget.Used).
			Int64("limit", j.budget.Limit).Int64("left", j.budget.Left).Int64("asked", j.meta.Prompt+j.meta.Output).
			Int64("ledgerage", j.budget.Age.Milliseconds())
	}
	if j.sends+j.dials > 0 {
		e.Str("target", j.last.Target.ID).Str("addr", j.last.Target.Addr).Str("reason", j.last.Pick.Reason).
			Int64("expected", j.last.Pick.Wait.Milliseconds()).Int("sends", j.sends).Int("dials", j.dials).Int("events", j.stream.events)
	}
	if !j.out.first.IsZero() {
		e.Int64("first", j.out.first.Sub(j.arrived).Milliseconds())
	}
	if j.out.detail != nil {
		e.Str("error", j.out.detail.Error())
	}
	e.Msg("request")
}

// measure counts the request.
func (j *job) measure(service string, took time.Duration) {
	scope := j.r.scope.Tagged(map[string]string{"service": service, "outcome": j.out.cause})
	scope.Counter(reporter.Requests).Inc(1)
	scope.Histogram(reporter.RequestSeconds, reporter.SecondsBuckets).RecordDuration(took)
	if j.stream.events > 0 {
		j.r.scope.Tagged(map[string]string{"model": j.meta.Model}).
			Histogram(reporter.FirstTokenSeconds, reporter.SecondsBuckets).RecordDuration(j.out.first.Sub(j.arrived))
	}
	if promises[j.out.status] {
		j.r.scope.Tagged(map[string]string{"reason": j.out.cause}).Counter(reporter.Refusals).Inc(1)
	}
}
