// Package receiver serves requests of callers: it looks up the route and the
// account, reserves tokens, chooses a target, forwards the request, delivers the
// response and settles the used tokens.
//
// A refusal with status 503 promises that the request has not run and never will.
// Any other request that ends without the response of a target gets status 502 or
// 504, or its connection is closed without a complete response.
//
// # Timers of an attempt
//
// Each timer is named by the constant or function that sets it. "Fails" means that the attempt
// ends without an answer: it is repeated at another target if the route and the retry budget
// allow it. Otherwise the caller gets 503 if nothing was sent, 502 or 504 if the request may have
// run, and a closed connection if a part of the answer was delivered.
//
//	timer              starts                     starts anew              stops                     when it expires
//	deadline           arrival of the request     never                    end of the request        all attempts end; 503 or 504, or the connection
//	                                                                                                 is closed; no repetition
//	permit wait        first target at its limit  never                    a permit                  refused, 503
//	connect            connect                    never                    connection, refusal       fails, nothing was sent
//	silence            choice of the target       each piece of the        stream: first event is    fails; an engine that sends events of other
//	                                              request that is sent,    delivered; plain answer:  requests is waited for up to twice more
//	                                              each piece that arrives  its end; held while the
//	                                                                       caller does not read
//	unacknowledged     data is sent to a target   each acknowledgement     all is acknowledged       the kernel closes the connection; fails
//	rest of a refusal  head of a refusal          never                    end of its body           the connection is closed; the attempt stays
//	                                                                                                 refused
//	probe              attempt broke off          never                    connection, refusal       the target is not known to have ended
//	retry backoff      failed attempt             never                    its end                   the next attempt begins
//	write deadline     arrival of the request     never                    end of the response       writes to the caller fail, the connection closes
//	end watch          answer of a suspect        a further answer         its end                   whether the target has ended is found out
//
//	timer              set by
//	deadline           [RequestMeta].Timeout (defaultTimeout if the caller sets none), at most the timeout of the route
//	permit wait        permitWaitShare of the latency objective
//	connect            forwarder dialTimeout
//	silence            firstByteTimeout: a factor of the latency objective, at least minFirstByteTimeout. None on the last
//	                   attempt, on routes that are not retried, or with less than twice as long left until the deadline
//	unacknowledged     forwarder userTimeout
//	rest of a refusal  forwarder maxDrainTime
//	probe              forwarder probeTimeout
//	retry backoff      retrier baseBackoff, maxBackoff; not after a refusal or an attempt that was not sent
//	write deadline     the later of defaultTimeout after arrival and lateWriteTime after the deadline
//	end watch          endWatchTime
//
// After its first event, a stream ends with the deadline at the latest, whether it stalls or not.
// The deadline does not end the delivery of an answer that is buffered as a whole; the write
// deadline does.
//
// # Usage
//
//	r := receiver.New(codec, dispatcher, accountant, pool, receiver.WithLog(log))
//	r.SetTable(table)
//	http.Serve(l, r)
package receiver

import (
	"context"
	"errors"
	"net/http"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/granter"
	"daisylane/internal/quarantiner"
	"daisylane/internal/registrar"
	"daisylane/internal/throttler"
)

const (
	// DefaultBodyBytes is the limit of a request body if the configuration sets none.
	DefaultBodyBytes = 4 << 20
	// Part of a plain response that is buffered and checked before delivery.
	maxBufferedBytes = 256 << 10
	// Size at which the buffer of a plain response begins.
	minAnswerBuffer = 512
	// Size up to which the buffer of a plain response is not charged. Each request in flight
	// takes more than that for its connections.
	maxFreeBuffer = 16 << 10
	// Limit of a plain response. A longer one is taken for a faulty target.
	maxResponseBytes = 64 << 20
	// Limit of the targets that one request tries to reach without success. It includes those
	// that were not permitted any more when the request could be sent.
	maxDials = 4
	// Age from which the configuration counts as out of date. An unknown route or key
	// may then have been added since.
	configStaleTime = 4 * time.Second
	// Timeout of a request whose caller sets none.
	defaultTimeout = 30 * time.Second
	// Time after the deadline in which a ready response is still written.
	lateWriteTime = 5 * time.Second
	// Share of the latency objective that a request may wait for tokens.
	reserveWaitShare = 0.6
	// A request with less time left cannot be served.
	minRemainingTime = 20 * time.Millisecond
	// Time to the first byte, as a multiple of the latency objective, after which a
	// retryable request is retried at another target.
	firstByteTimeoutFactor = 1.5
	// The same for engines, as a multiple of the time-to-first-event objective.
	firstEventTimeoutFactor = 2.5
	// Lower limit of these timeouts. By the users' data sheet, a plain service takes at
	// most 110 ms.
	minFirstByteTimeout = 250 * time.Millisecond
	// Mean output as a share of its limit, by the users' data sheet.
	expectedOutputShare = 0.25
	// Time after an answer in which the end of a target counts against the prompt. A target
	// that has to outlive its answers has twice as long.
	endWatchTime = 250 * time.Millisecond
	// Share of the latency objective that a request may wait for a permit to send it to a
	// target with a limit.
	permitWaitShare = 0.4
	// Share of the latency objective that a caller may wait until the fleet knows where its
	// stream began.
	originWaitShare = 0.8
	// Lower limit of that wait, which takes two reads of the store.
	minOriginWait = 200 * time.Millisecond
	// Mean delay after which a caller should retry if no target has the software version of
	// its stream. A crashed target needs some seconds to be back.
	versionGoneDelay = 2 * time.Second
	// Time in which the version of a stream that broke off may become known: the longest
	// outage of the store, and a lifetime of a stream after that.
	maxUnsureTime = 30 * time.Second
	// Share of the latency objective that the expected wait at a target of certain version may
	// take before others are considered for a new stream.
	certainWaitShare = 0.5
	// Mean delay after which a caller should retry if no target is in an allowed region. A
	// crashed target needs some seconds to be back.
	regionDelay = 2 * time.Second
	// The same if no data centre is in an allowed region, so that only another
	// configuration helps.
	unknownRegionDelay = 10 * time.Second
	// Limits of the mean delay after which a caller should retry if all data centres are
	// evacuated. It is as long as the evacuation has lasted.
	minEvacuatedDelay = time.Second
	maxEvacuatedDelay = 10 * time.Second
	// Mean delay after which a caller should retry if no target has capacity.
	meanRetryDelay = 400 * time.Millisecond
)

// Part is a segment of a prompt.
type Part = chooser.Part

// RequestMeta holds the decoded headers of a request.
type RequestMeta struct {
	ID                   string
	Key                  string
	Model                string
	Timeout              time.Duration // set by the caller, 0: none
	PromptTokens         int64
	MaxOutputTokens      int64
	ExpectedOutputTokens int64 // estimate of the caller, 0: none
	Parts                []Part
	LastEventID          string // ID of the event after which the stream resumes
	FirstAttempt         string // ID of the caller's attempt that brought the first event of the stream, empty: not said
}

// ForwardMeta holds the headers that are added to a request to a target.
type ForwardMeta struct {
	Target      string // ID of the target; any other one must refuse the request
	Account     string
	Timeout     time.Duration // time until the deadline
	ForEngine   bool          // the request is for a model engine
	Priority    int           // 0 is the most urgent
	LastEventID string
}

// Load is the load report in the response of a target.
type Load struct {
	Running, Waiting, Slots int
	Slowness                float64 // present time of work relative to the usual, 0: not reported
}

// ResponseMeta holds the decoded headers of a response.
type ResponseMeta struct {
	ID             string
	Sealed         bool           // the target confirms the response with a seal
	NotRun         bool           // the target did not run the request
	TargetReplaced bool           // the address now belongs to another target
	Leaving        bool           // the process that sent the response is leaving
	Pause          time.Duration  // how long the target wants no further request, 0: not said
	Load           *Load          // nil: none
	Cold           *time.Duration // how long the target stays cold, nil: it does not say
	Limit          *float64       // requests a second that the target takes from the whole fleet, nil: it names none
}

// Codec decodes and encodes the headers of requests and responses.
type Codec interface {
	DecodeRequest(h http.Header) (RequestMeta, error)
	EncodeForward(h http.Header, f ForwardMeta)
	DecodeResponse(status int, h http.Header) ResponseMeta
	EncodeRefusal(h http.Header, id string, after time.Duration)
	IsEndToEnd(name string) bool // reports whether a header is end-to-end, not hop-by-hop
}

// Guard knows which requests crash targets, on behalf of the fleet.
type Guard interface {
	Ready() bool
	// Suspects reports whether any request is suspected, so that Check and Admit need the
	// fingerprints of the whole request. RecordWhole always gets them.
	Suspects() bool
	// Check says whether a request may be sent to a target.
	Check(s quarantiner.Subject) quarantiner.Verdict
	// Admit is Check right before a request is sent. It makes the request a trial if one
	// is due.
	Admit(ctx context.Context, s quarantiner.Subject) quarantiner.Verdict
	// RecordWhole records that a target has answered to the end.
	RecordWhole(t quarantiner.Target, sentAt time.Time, s quarantiner.Subject)
	// RecordCrash records the end of a target under a request, RecordFailure an attempt
	// whose target may yet be found to have ended. about says that it was about to answer.
	RecordCrash(r quarantiner.Report, about bool)
	RecordFailure(r quarantiner.Report, about bool)
	// RecordEnd records that a target has ended, whatever it was doing.
	RecordEnd(t quarantiner.Target)
	// RecordAlive records that the connections to a target whose answers are watched were
	// open at a time, RecordClosed that it has closed some, but accepts others then.
	RecordAlive(t quarantiner.Target, at time.Time)
	RecordClosed(t quarantiner.Target, at time.Time)
	// Repeated reports whether a request, or a part of its prompt, was at more than one
	// crash and not answered since.
	Repeated(r quarantiner.Report) bool
}

// Limits keeps the requests of all instances within the limits that targets name.
type Limits interface {
	// AppendClosed appends the targets of a service that may get no request now. ready is
	// the number of its ready targets.
	AppendClosed(list []string, now time.Time, service string, ready int) []string
	// Take uses a permit for a request to a target, if the target has a limit.
	Take(now time.Time, id string)
	// OpensIn returns the shortest time until one of the targets may get a request, 0 if
	// none of them has a limit.
	OpensIn(now time.Time, ids []string) time.Duration
	// Await waits until permits come, at most for the given time.
	Await(ctx context.Context, d time.Duration)
	RecordRequest(service string)
	RecordLimit(t throttler.Target, sentAt time.Time, perSecond *float64)
	// RecordCold takes over for how long a target stays cold, as it says.
	RecordCold(t throttler.Target, sentAt time.Time, left time.Duration)
	// Suspect records that a target may have started again. certain says that its address
	// refused connections, not only that it has closed an idle one.
	Suspect(t throttler.Target, certain bool)
	// Reopen records that targets get requests again after their data centre got none.
	Reopen(ids []string)
	// GuardsStart reports whether the start of a service's targets is limited.
	GuardsStart(service string) bool
}

// noLimits knows no limits.
type noLimits struct{}

func (noLimits) AppendClosed(list []string, _ time.Time, _ string, _ int) []string { return list }
func (noLimits) Take(time.Time, string)                                            {}
func (noLimits) OpensIn(time.Time, []string) time.Duration                         { return 0 }
func (noLimits) Await(context.Context, time.Duration)                              {}
func (noLimits) RecordRequest(string)                                              {}
func (noLimits) RecordLimit(throttler.Target, time.Time, *float64)                 {}
func (noLimits) RecordCold(throttler.Target, time.Time, time.Duration)             {}
func (noLimits) Suspect(throttler.Target, bool)                                    {}
func (noLimits) Reopen([]string)                                                   {}
func (noLimits) GuardsStart(string) bool                                           { return false }

// Streams knows at which software version streams began, on behalf of the fleet.
type Streams interface {
	Ready() bool
	// Versions returns the versions at which a stream of a service may begin, nil for any.
	Versions(ctx context.Context, service string) []string
	// Origin returns where a stream began, given the ID of the caller's first attempt.
	Origin(ctx context.Context, service, id string, wait time.Duration) (registrar.Origin, error)
	// Begin records the origin of a stream before the request is sent, End that it has
	// ended, and whether its caller may take it up.
	Begin(id string, o registrar.Origin)
	End(id string, broken bool)
}

// errNoStreams means that nothing is known about streams.
var errNoStreams = errors.New("origins of streams are not kept")

// noStreams lets new streams begin anywhere.
type noStreams struct{}

func (noStreams) Ready() bool                               { return true }
func (noStreams) Versions(context.Context, string) []string { return nil }

func (noStreams) Origin(context.Context, string, string, time.Duration) (registrar.Origin, error) {
	return registrar.Origin{}, errNoStreams
}

func (noStreams) Begin(string, registrar.Origin) {}
func (noStreams) End(string, bool)               {}

// Budgets reserves prepaid tokens of client accounts.
type Budgets interface {
	Ready() bool
	Reserve(ctx context.Context, account string, n int64, wait time.Duration) granter.Decision
	Settle(account string, d granter.Decision, used int64)
}
