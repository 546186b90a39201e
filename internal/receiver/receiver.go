package receiver

import (
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"daisylane/internal/acceptor"
	"daisylane/internal/chooser"
	"daisylane/internal/forwarder"
	"daisylane/internal/granter"
	"daisylane/internal/logger"
	"daisylane/internal/quarantiner"
	"daisylane/internal/registrar"
	"daisylane/internal/resolver"
	"daisylane/internal/restrictor"
)

// Receiver is an [http.Handler] that serves requests of callers.
type Receiver struct {
	codec      Codec
	dispatcher *Dispatcher
	budgets    Budgets
	pool       *forwarder.Pool
	guard      Guard
	streams    Streams
	memory     *acceptor.Memory
	log        zerolog.Logger
	scope      tally.Scope

	table       atomic.Pointer[resolver.Table]
	lastContact atomic.Int64 // Unix time in ns at which the table was last known to be current
	inFlight    atomic.Int64
	draining    atomic.Bool
	closing     atomic.Bool
	faultLines  logger.LineLimit
	previews    Previews

	unsure  unsureStreams
	watchMu sync.Mutex
	watched map[string]*watch // targets that have answered on a kept connection, by address
}

// Option changes a setting of a [Receiver].
type Option func(*Receiver)

// WithLog sets the log. Each request adds one line, plus one per failed attempt. Lines of
// requests that fail by a fault of their clients are bounded.
func WithLog(log zerolog.Logger) Option { return func(r *Receiver) { r.log = log } }

// WithGuard sets what keeps requests away from targets that they would crash.
func WithGuard(g Guard) Option { return func(r *Receiver) { r.guard = g } }

// WithStreams sets what knows where streams began. Without it, none is taken up.
func WithStreams(s Streams) Option { return func(r *Receiver) { r.streams = s } }

// WithMemory sets the account of bodies and answers. Without it, they are not bounded in sum.
func WithMemory(m *acceptor.Memory) Option { return func(r *Receiver) { r.memory = m } }

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(r *Receiver) { r.scope = s } }

// New returns a receiver. It refuses all requests until [Receiver.SetTable] is called.
func New(codec Codec, d *Dispatcher, b Budgets, p *forwarder.Pool, opts ...Option) *Receiver {
	r := &Receiver{codec: codec, dispatcher: d, budgets: b, pool: p, guard: quarantiner.NoGuard{}, streams: noStreams{}, log: zerolog.Nop(), scope: tally.NoopScope, watched: make(map[string]*watch)}
	for _, o := range opts {
		o(r)
	}
	if r.memory == nil {
		r.memory = acceptor.NewMemory(math.MaxInt64)
	}
	return r
}

// SetTable replaces the routing table.
func (r *Receiver) SetTable(t *resolver.Table) { r.table.Store(t) }

// Table returns the current routing table, or nil if there is none yet.
func (r *Receiver) Table() *resolver.Table { return r.table.Load() }

// RecordContact records that the routing table was current at the given time.
func (r *Receiver) RecordContact(now time.Time) { r.lastContact.Store(now.UnixNano()) }

// Drain makes the receiver announce with each response that it closes the connection.
// Idle connections stay open until then: the caller may have sent a request already.
func (r *Receiver) Drain() { r.draining.Store(true) }

// Close makes the receiver refuse all new requests as not run. Requests in flight
// continue.
func (r *Receiver) Close() {
	r.Drain()
	r.closing.Store(true)
}

// InFlight returns the number of requests in flight.
func (r *Receiver) InFlight() int64 { return r.inFlight.Load() }

// job is the state of one request in flight.
type job struct {
	r              *Receiver
	w              http.ResponseWriter
	req            *http.Request
	meta           RequestMeta
	table          *resolver.Table
	route          *resolver.Route
	account        *resolver.Account
	service        *resolver.Service
	body           []byte
	heldBody       *acceptor.Body // holds the memory of body
	heldAnswer     int64          // bytes charged for a buffered answer
	arrived        time.Time
	deadline       time.Time
	reservation    granter.Decision
	reservedTokens int64
	settledTokens  int64    // billed part of the reserved tokens
	tried          []string // IDs of the chosen targets
	sends          int      // attempts that may have reached their target
	dials          int      // attempts that did not reach it, or were withdrawn
	summary        requestSummary
	stream         streamState
	silence        *silenceTimer     // of the current attempt, nil: it has none
	bound          *resolver.Account // the account whose regions apply, nil: none
	places         restrictor.Places // where the request may be served
	placesTable    *resolver.Table   // from which places were computed, nil: not yet
	versions       []string          // software versions that targets may have, nil: any
	origin         registrar.Origin  // of the stream, if it is resumable and has begun
	sentAt         time.Time         // when the stream was sent to a target whose version was uncertain, zero: it was not
	lastTarget     ChosenTarget
	sharedParts    []uint64                  // IDs of the prompt parts, if targets may crash under one
	fingerprints   []quarantiner.Fingerprint // nil: not computed yet
	quarantined    quarantiner.Verdict       // why the request was refused as crashing
	permitWaitEnd  time.Time                 // when the wait for a permit ends, zero: not begun
	aborted        bool                      // the connection is closed without a complete response
	previewed      string                    // the service that a preview asks about, empty: the request is to be sent
}

// requestSummary describes how a request ended, for the log and the metrics.
type requestSummary struct {
	status      int
	cause       Cause
	failure     error
	mayHaveRun  bool   // a target may have run the request
	exceeded    bool   // the account had used up its share when the request was refused
	origin      string // software version that began a stream that is taken up, empty: not known
	firstByteAt time.Time
}

// ServeHTTP serves one request.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	j := &job{r: r, w: w, req: req, arrived: time.Now(), table: r.table.Load()}
	defer j.recordOutcome()
	defer j.free()
	j.serve()
	if j.aborted {
		// Makes the server close the connection without ending the response.
		panic(http.ErrAbortHandler)
	}
}

// free frees the memory that the request holds.
func (j *job) free() {
	j.heldBody.Close()
	j.freeAnswer()
}

// refuse sends a refusal. It returns false, for use as a result by callers.
func (j *job) refuse(status int, cause Cause, after time.Duration) bool {
	j.summary.status, j.summary.cause = status, cause
	h := j.w.Header()
	j.r.codec.EncodeRefusal(h, j.meta.ID, after)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	j.writeHead(status)
	_, _ = io.WriteString(j.w, string(cause)+"\n") // the caller may be gone
	return false
}

// writeHead writes the status and the headers of the response.
func (j *job) writeHead(status int) {
	if j.r.draining.Load() {
		j.w.Header().Set("Connection", "close")
	}
	j.w.WriteHeader(status)
}

// abort ends the exchange without a response. It returns false, for use as a result
// by callers.
func (j *job) abort(cause Cause) bool {
	j.abortResponse(cause)
	return false
}

// prefillRequest returns the input for the choice of a target. left is the time until
// the deadline.
func (j *job) prefillRequest(left time.Duration) chooser.PrefillRequest {
	p := chooser.PrefillRequest{
		Parts: j.meta.Parts, Tokens: j.meta.PromptTokens, MaxOutput: j.meta.MaxOutputTokens, FirstTokenTarget: j.route.LatencyTarget, ResponseTimeout: left,
	}
	if j.service.Engine != nil {
		p.Service, p.Priority = j.service.Name, j.priority()
		if j.account != nil {
			p.Account = j.account.Name
		}
		expected := j.meta.ExpectedOutputTokens
		if expected == 0 {
			expected = int64(expectedOutputShare * float64(j.meta.MaxOutputTokens))
		}
		p.ExpectedEvents = int(expected) / j.service.Engine.MaxTokensPerEvent
	}
	return p
}

// priority returns the priority of the request. 0 is the most urgent.
func (j *job) priority() int {
	if j.account != nil && j.account.Priority != nil {
		return *j.account.Priority
	}
	return j.route.Priority
}
