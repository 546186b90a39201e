// Package analyzer reads the logs of entries: the story of one request, and sums
// of refusals by cause.
//
// A log may hold the lines of several instances in any order, and text before
// the line's JSON object, such as the prefix of a log collector.
//
// # Usage
//
//	log, err := analyzer.Read(os.Stdin)
//	story, err := log.Story("e9b7d4be35aba2df")
//	sums := log.Sums()
package analyzer

import (
	"errors"
	"time"

	"daisylane/internal/receiver"
)

// Messages that the analysis depends on.
const (
	msgRequest = "request"
	msgStarted = "started"
)

// beliefs are the messages that change what an instance believes. The latest of
// each kind before a request belongs to its story.
var beliefs = map[string]string{ // kind by message
	msgStarted: "process", "stopping": "process",
	"configuration adopted": "configuration", "configuration refused, the former one stays in force": "configuration",
	"configuration is not followed": "follow", "configuration is followed again": "follow",
	"targets listed": "list", "targets are not followed": "list", "targets are followed again": "list",
	"way to the store changed": "way", "budget store lost": "store", "budget store regained": "store",
	"budgets recovered": "budgets", "peer lends nothing": "peer",
	"target changed": "target", "target gone": "target", "target replaced at its address": "target",
}

// storyTime is how long before a request a change still belongs to its story: a
// longest cut on the users' sheets and a recovery.
const storyTime = 20 * time.Second

// ErrUnknown means that no line of a log has the id of a request.
var ErrUnknown = errors.New("no line of the log has this id")

// Line is one event.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Msg      string         `json:"msg"`
	Fields   map[string]any `json:"fields"` // all others
	raw      []byte
}

// Text returns a field as text, or "".
func (l Line) Text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Log is the events of a log in order of time.
type Log struct {
	Lines   []Line
	Skipped int // lines without an event
}

// Request is the line that ends a request. Times are in milliseconds.
type Request struct {
	ID      string         `json:"id"`
	Account string         `json:"account"`
	Service string         `json:"service"`
	Outcome receiver.Cause `json:"outcome"`
	Took    int64          `json:"took"`
	Budget  string         `json:"budget"`
	Asked   int64          `json:"asked"`
	Prepaid int64          `json:"prepaid"`
	Tokens  int64          `json:"tokens"`
	Left    int64          `json:"left"`

	end time.Time
}

// Story is what is known about one request, in order of time.
type Story struct {
	ID      string  `json:"id"`
	Summary string  `json:"summary"`
	Events  []Event `json:"events"`
}

// Event is a line of a story.
type Event struct {
	Line
	Before time.Duration `json:"before"` // the end of the request
}

// Sums are the outcomes of a whole log.
type Sums struct {
	Requests int       `json:"requests"`
	Causes   []Count   `json:"causes"`
	Accounts []Account `json:"accounts"` // those with refusals for tokens
	Skipped  int       `json:"skipped"`  // lines without an event
}

// Count is how often requests to a service ended in one way.
type Count struct {
	Service string         `json:"service"`
	Cause   receiver.Cause `json:"cause"`
	Count   int            `json:"count"`
	// Unfounded are the refusals for tokens while the budget could have covered
	// the request.
	Unfounded int `json:"unfounded"`
}

// Account sums the refusals for tokens of one client account.
type Account struct {
	Name      string `json:"name"`
	Prepaid   int64  `json:"prepaid"`   // as of the last line
	Delivered int64  `json:"delivered"` // tokens
	Refused   int    `json:"refused"`
	Unfounded int    `json:"unfounded"`
	Withheld  int64  `json:"withheld"` // most tokens that were missing at a refusal though nobody had used them
}
