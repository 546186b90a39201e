// Package analyzer evaluates the logs of entries: it reconstructs what happened to
// one request, counts refusals by cause, and summarizes a day.
//
// A log may contain the lines of several instances in any order. A line may have
// text before its JSON object, such as the prefix of a log collector.
//
// # Load
//
// [Read] keeps all lines, for logs of up to some hundred thousand lines. [Summarize] reads
// the log twice and keeps a record of each request, about 1.2 kB at the peak, the counts of each time
// bucket, and a bounded number of other lines, for logs of some million requests.
//
// # Usage
//
//	log, err := analyzer.Read(os.Stdin)
//	timeline, err := log.Timeline("e9b7d4be35aba2df")
//	stats := log.Stats()
//
//	day, err := analyzer.Summarize(file, analyzer.WithLate(time.Second))
package analyzer

import (
	"errors"
	"time"

	"daisylane/internal/receiver"
)

// Log messages that the analysis depends on.
const (
	msgRequest     = "request"
	msgAttempt     = "attempt failed"
	msgStarted     = "started"
	msgStopped     = "stopped"
	msgRecovered   = "budgets recovered"
	msgNotReturned = "tokens not given back"
	msgLeftOut     = "lines of faulty requests left out"
)

// Fields that say why a request was refused as crashing targets.
const (
	fieldPart        = "part"
	fieldFingerprint = "fingerprint"
)

// stateKinds maps the messages that report a change of an instance's state to the kind
// of state. The latest message of each kind before the end of a request is part of
// its timeline.
var stateKinds = map[string]string{ // kind by message
	msgStarted: "process", "stopping": "process",
	"configuration adopted": "configuration", "configuration refused, the former one stays in force": "configuration",
	"configuration is not followed": "follow", "configuration is followed again": "follow",
	"targets listed": "list", "targets are not followed": "list", "targets are followed again": "list",
	"way to the store changed": "way", "budget store lost": "store", "budget store regained": "store",
	"budgets recovered": "budgets", "peer lends nothing": "peer",
	"prompt part quarantined; targets crash under it": "part", "prompt part released": "part", "trial of a quarantined prompt part begins": "trial",
	"request quarantined; targets crash under it": "suspected", "request released": "suspected", "trial of a quarantined request begins": "requesttrial",
	"versions of streams changed": "versions",
	"target limited":              "limit", "target no longer limited": "limit", "peer gives no permits": "permit",
	"target changed": "target", "target gone": "target", "target replaced at its address": "target",
}

// maxStateAge is how long before the end of a request a state change is still part of
// its timeline: the longest network outage in the users' specifications plus the
// time of a recovery.
const maxStateAge = 20 * time.Second

// lastingKinds are the kinds of state that are part of a timeline however old they are.
var lastingKinds = map[string]bool{"configuration": true, "process": true, "part": true, "trial": true, "suspected": true, "requesttrial": true}

// quarantineFields are the fields by which the kinds of state of a quarantine belong to the
// requests that were refused for it.
var quarantineFields = map[string]string{"part": fieldPart, "trial": fieldPart, "suspected": fieldFingerprint, "requesttrial": fieldFingerprint}

// maxCrashes limits the crashes in the timeline of a request that was refused for them.
const maxCrashes = 8

// ErrUnknown means that no log line has the id of the request.
var ErrUnknown = errors.New("no line of the log has this id")

// Line is a log line with one event.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Msg      string         `json:"msg"`
	Fields   map[string]any `json:"fields"` // all other fields except the level
	raw      []byte
}

// Text returns the value of a string field, or "".
func (l Line) Text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Log holds the events of a log, sorted by time.
type Log struct {
	Lines   []Line
	Skipped int // lines without an event
}

// Request is the log line that is written at the end of a request. Took is in
// milliseconds.
type Request struct {
	ID          string         `json:"id"`
	Route       string         `json:"route"`
	Account     string         `json:"account"`
	Service     string         `json:"service"`
	Target      string         `json:"target"`
	Outcome     receiver.Cause `json:"outcome"`
	Took        int64          `json:"took"`
	First       int64          `json:"first"` // milliseconds to the first event, 0 if there was none
	Budget      string         `json:"budget"`
	Asked       int64          `json:"asked"`
	Prepaid     int64          `json:"prepaid"`
	Tokens      int64          `json:"tokens"`
	Left        int64          `json:"left"`
	Held        int64          `json:"held"` // tokens granted to the instance
	Part        string         `json:"part"`
	Fingerprint string         `json:"fingerprint"`

	instance string
	end      time.Time
}

// Timeline holds the events related to one request, sorted by time.
type Timeline struct {
	ID      string  `json:"id"`
	Summary string  `json:"summary"`
	Events  []Event `json:"events"`
}

// Event is a log line that is part of a timeline.
type Event struct {
	Line
	Before time.Duration `json:"before"` // time from this event to the end of the request
}

// Stats are the outcomes of all requests in a log.
type Stats struct {
	Requests int          `json:"requests"`
	Causes   []CauseCount `json:"causes"`
	Accounts []Account    `json:"accounts"` // those with refusals for tokens
	Skipped  int          `json:"skipped"`  // lines without an event
}

// CauseCount is the number of requests to a service that ended with one cause.
type CauseCount struct {
	Service string         `json:"service"`
	Cause   receiver.Cause `json:"cause"`
	Count   int            `json:"count"`
	// Unfounded counts the refusals for lack of tokens although the budget could
	// have covered the request.
	Unfounded int `json:"unfounded"`
}

// Account summarizes the refusals of one client account for lack of tokens.
type Account struct {
	Name      string `json:"name"`
	Prepaid   int64  `json:"prepaid"`   // tokens, as of the last line
	Delivered int64  `json:"delivered"` // tokens
	Refused   int    `json:"refused"`
	Unfounded int    `json:"unfounded"`
	Withheld  int64  `json:"withheld"` // maximum of unused tokens that were unavailable at a refusal
}
