package analyzer

import (
	"time"

	"daisylane/internal/receiver"
)

// Bounds of a [Day], so that its page stays small enough for a browser.
const (
	maxBuckets   = 120
	maxSeries    = 6    // in a chart, without the sum of all others
	maxRows      = 100  // in a table of accounts or routes
	maxEvents    = 500  // of each kind
	maxTimelines = 100  // of requests
	maxOwnLines  = 40   // of one request in its timeline
	maxText      = 300  // bytes of the details of a line
	maxNames     = 1000 // services, routes, accounts or calls that are counted by name
)

// Others is the name of the sum of what has no row or series of its own. It can't be the
// name of an account.
const Others = "(others)"

// EventKind is what an event means for its instance.
type EventKind string

// Values of [EventKind].
const (
	EventStart    EventKind = "start"
	EventStop     EventKind = "stop"
	EventLost     EventKind = "lost"     // a dependency
	EventRegained EventKind = "regained" // a dependency
)

// Class is the result of a request for its caller.
type Class string

// Values of [Class], in the order of charts.
const (
	Answered Class = "answered"
	Rejected Class = "refused"
	Failed   Class = "failed"
	Left     Class = "left by the caller"
)

// Classes are all values of [Class].
var Classes = []Class{Answered, Rejected, Failed, Left}

// causeClasses holds the causes that are not refusals.
var causeClasses = map[receiver.Cause]Class{
	receiver.Complete: Answered, receiver.TargetFailed: Failed, receiver.NoAnswer: Failed,
	receiver.Interrupted: Failed, receiver.TimedOut: Failed, receiver.CallerDisconnected: Left, receiver.BodyIncomplete: Left,
}

// Day summarizes a log. Series have one value for each bucket, or none.
type Day struct {
	From, To  time.Time     // of the charts
	Log       [2]time.Time  // first and last line
	Width     time.Duration // of a bucket
	Buckets   int
	Late      time.Duration // time to the first event from which an answer counts as late
	Requests  int
	Instances int
	Faults    Faults

	Classes  []Series // requests, by class
	Causes   []Series // requests that were refused or failed, by cause
	Services []Series // requests, by service
	Accounts []Series // requests, by account

	RouteFaults   []Series // requests that were refused or failed, by service and route
	AccountFaults []Series // the same by account

	Refusals []Series // refusals for tokens, founded and unfounded
	Granted  []Series // tokens that instances hold, spent ones included, by account
	Spent    []Series // tokens delivered, by account
	Withheld []Series // maximum of tokens withheld at a refusal, by account

	Calls      []Series // failed calls to the store, by call and kind
	StartCalls []Count  // calls during starts, by call and kind
	Marks      []Series // events, by kind
	Events     []LogEvent
	Omitted    int // events without a row

	CauseRows    []CauseRow
	ServiceRows  []Row // by service and route
	AccountRows  []AccountRow
	RowsOmitted  int // of services and routes
	AccountsLeft int // accounts without a row

	Timelines []DayTimeline
}

// Faults is what a log lacks.
type Faults struct {
	Skipped    int // lines without an event, or that were cut off
	Dropped    int // lines that instances dropped because the output was too slow
	LeftOut    int // lines of faulty requests that instances left out
	Unfinished int // requests with attempts but without an end
	Unstarted  int // instances without the line of a start
	Killed     int // starts of instances that had not stopped before
}

// Series is a line of a chart.
type Series struct {
	Name   string
	Values []int64
	Total  int64
}

// Count is a number with a name.
type Count struct {
	Name  string
	Count int64
}

// Row counts the requests of a service and route by class.
type Row struct {
	Service, Route string
	Requests       int64
	Classes        []int64 // in the order of [Classes]
	Late           int64
	// Times to the first event of answered requests, or to the end if there were no events. Only
	// for rows of routes.
	P50, P95 time.Duration
}

// AccountRow sums up the tokens of a client account.
type AccountRow struct {
	Row
	Name     string
	Prepaid  int64 // as of the last line
	Asked    int64 // reserved
	Spent    int64
	Granted  int64 // sum of the latest figures of its instances
	Unused   int64 // left at the end of the log
	Refused  int
	Founded  int
	Short    Unused
	Withheld int64 // maximum of unused tokens that were unavailable at a refusal
	Lost     int64 // at starts, as instances reported
	Returns  int64 // tokens that could not be given back
}

// Unused describes unfounded refusals by the unused tokens of the account.
type Unused struct {
	Count       int
	Median, Max int64 // unused tokens of the account
	Share       float64
	Asked       int64 // median of the tokens that the requests asked for
}

// CauseRow sums up the requests that ended with one cause. The cause of late answers is
// [LateCause].
type CauseRow struct {
	Cause     receiver.Cause
	Class     Class
	Meaning   string
	Advice    Advice
	Count     int
	Tokens    bool // whether founded and unfounded refusals are told apart
	Founded   int
	Short     Unused
	Timelines []int // indexes in Day.Timelines
	Omitted   int
}

// LateCause is the cause of answers that were late.
const LateCause receiver.Cause = "late"

// LogEvent is a start or stop, or the loss or return of a dependency of an instance.
type LogEvent struct {
	Time     time.Time
	Instance string
	Kind     EventKind
	Msg      string
	Details  string
}

// DayTimeline is the timeline of a request that was refused, failed or late.
type DayTimeline struct {
	Request   string
	Cause     receiver.Cause
	Account   string
	Service   string
	Time      time.Time
	Unfounded bool
	Unused    int64 // tokens of the account at an unfounded refusal
	Summary   string
	Rows      []TimelineRow
	Omitted   int // lines of the request without a row
}

// TimelineRow is a line in a timeline.
type TimelineRow struct {
	Before        time.Duration // time to the end of the request
	Instance, Msg string
	Details       string
}

// Option changes how [Summarize] works.
type Option func(*options)

type options struct{ late time.Duration }

// WithLate sets the time to the first event from which an answer counts as late.
func WithLate(d time.Duration) Option {
	return func(o *options) { o.late = d }
}
