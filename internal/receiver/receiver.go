package receiver

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"daisylane/internal/chooser"
	"daisylane/internal/forwarder"
	"daisylane/internal/granter"
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
	tokens   int64 // settled of those reserved
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
	cause  Cause
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

// refuse answers that the request is not served. It returns false.
func (j *job) refuse(status int, cause Cause, after time.Duration) bool {
	j.out.status, j.out.cause = status, cause
	h := j.w.Header()
	j.r.codec.Refuse(h, j.meta.ID, after)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	j.w.WriteHeader(status)
	_, _ = io.WriteString(j.w, string(cause)+"\n") // the caller may be gone
	return false
}

// abandon ends the exchange without an answer. It returns false.
func (j *job) abandon(cause Cause) bool {
	j.breakOff(cause)
	return false
}

// prompt returns what the choice of an engine depends on.
func (j *job) prompt(left time.Duration) chooser.PrefillRequest {
	p := chooser.PrefillRequest{
		Parts: j.meta.Parts, Tokens: j.meta.Prompt, MaxOutput: j.meta.Output, FirstTokenTarget: j.route.Target, ResponseTimeout: left,
	}
	if j.service.Engine != nil {
		expected := j.meta.Expected
		if expected == 0 {
			expected = int64(outputShare * float64(j.meta.Output))
		}
		p.ExpectedEvents = int(expected) / j.service.Engine.PerEvent
	}
	return p
}

// priority returns the urgency of the request, 0 first.
func (j *job) priority() int {
	if j.account != nil && j.account.Priority != nil {
		return *j.account.Priority
	}
	return j.route.Priority
}
