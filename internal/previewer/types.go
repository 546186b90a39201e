// Package previewer asks a live instance where a request would be sent now. The request is
// not sent. An instance answers on a Unix socket in a directory that only its own user may
// enter, so clients cannot reach it.
//
// # Usage
//
// At the instance:
//
//	l, err := previewer.Listen(dir, "entry-1")
//	go previewer.Serve(l, receiver.Preview)
//
// At the operator:
//
//	report, err := previewer.Ask(ctx, previewer.SocketPath(dir, "entry-1"), previewer.Query{Path: "/plan/7"})
package previewer

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"daisylane/internal/checker"
)

const (
	// maxTokens bounds each count of tokens in a query.
	maxTokens = 1 << 40
	maxParts  = 4096
	// maxTimeout bounds the time of the caller.
	maxTimeout = 24 * time.Hour
)

// PartID identifies a part of a prompt. Its text has hexadecimal digits, as in headers and logs.
type PartID uint64

// MarshalText implements [encoding.TextMarshaler].
func (id PartID) MarshalText() ([]byte, error) {
	return strconv.AppendUint(nil, uint64(id), 16), nil
}

// UnmarshalText implements [encoding.TextUnmarshaler].
func (id *PartID) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("decode part: %w", err)
	}
	*id = PartID(n)
	return nil
}

// Part is a segment of the prompt, as callers name it.
type Part struct {
	ID     PartID `json:"id"`
	Tokens int    `json:"tokens"`
}

// Query is a request that is not sent.
type Query struct {
	Method  string `json:"method,omitempty"` // empty: POST
	Host    string `json:"host,omitempty"`
	Path    string `json:"path"` // with the query, if there is one
	Key     string `json:"key,omitempty"`
	Model   string `json:"model,omitempty"`
	Parts   []Part `json:"parts,omitempty"`
	Prompt  int64  `json:"prompt,omitempty"`  // tokens of the prompt, 0: the sum of the parts
	Output  int64  `json:"output,omitempty"`  // limit of the output tokens
	Timeout int64  `json:"timeout,omitempty"` // milliseconds, as the caller sets it, 0: none
	Body    string `json:"body,omitempty"`    // matters only for the quarantine of equal requests
	// Idempotent says whether the caller takes the request for idempotent, nil: it does not
	// say. Only the route decides whether a request is sent again.
	Idempotent *bool `json:"idempotent,omitempty"`
}

// PromptTokens returns the tokens of the whole prompt.
func (q Query) PromptTokens() int64 {
	if q.Prompt > 0 {
		return q.Prompt
	}
	sum := int64(0)
	for _, p := range q.Parts {
		sum += int64(p.Tokens)
	}
	return sum
}

// Check validates the query.
func (q Query) Check() error {
	var f checker.Validator
	_, err := url.ParseRequestURI(q.Path)
	f.Require(err == nil && q.Path[0] == '/', "path", "is %q, must be a path that begins with a slash", q.Path)
	f.Require(len(q.Parts) <= maxParts, "parts", "has %d elements, at most %d are taken", len(q.Parts), maxParts)
	for _, p := range q.Parts {
		checker.Range(&f, "parts.tokens", p.Tokens, 0, 1<<31-1)
	}
	checker.Range(&f, "prompt", q.Prompt, 0, maxTokens)
	checker.Range(&f, "output", q.Output, 0, maxTokens)
	checker.Range(&f, "timeout", q.Timeout, 0, maxTimeout.Milliseconds())
	return f.Err()
}

// Steps of a request, in the order in which they are decided.
const (
	StepRoute      = "route"
	StepQuarantine = "quarantine"
	StepRegions    = "regions"
	StepVersions   = "versions"
	StepTokens     = "tokens"
	StepAdmission  = "admission"
	StepTarget     = "target"
)

// Verdicts of a step that refuses nothing. Others are the outcomes of refused requests.
const (
	Allowed = "allowed"
	// Trial means that the request would be the trial of a quarantined request.
	Trial = "trial"
	// Unasked means that the step does not apply to the request, or was not reached.
	Unasked = "unasked"
)

// Step is the verdict of one decision.
type Step struct {
	Step    string         `json:"step"`
	Verdict string         `json:"verdict"`
	Status  int            `json:"status,omitempty"` // of the refusal
	After   int64          `json:"after,omitempty"`  // milliseconds until the caller should return
	Wait    int64          `json:"wait,omitempty"`   // milliseconds for which a real request would wait for another verdict
	Error   string         `json:"error,omitempty"`
	Details map[string]any `json:"details,omitempty"`
}

// Refuses reports whether the step refuses the request, perhaps after Wait.
func (s Step) Refuses() bool {
	return s.Verdict != Allowed && s.Verdict != Trial && s.Verdict != Unasked
}

// Reasons why a target is not eligible.
const (
	Leaving      = "leaving"
	OtherRegion  = "region"
	Evacuated    = "evacuated"
	OtherVersion = "version"
	Paused       = "paused"
	Cold         = "cold"
	Limited      = "limited"
	BreakerOpen  = "breaker" // chosen nevertheless if no other target is left
	Full         = "full"
)

// Candidate is a target of the service. Times are milliseconds. There is no estimate for a
// target that is leaving, not in the places, or full.
type Candidate struct {
	Target  string `json:"target"`
	Addr    string `json:"addr"`
	Centre  string `json:"centre"`
	Version string `json:"version,omitempty"`
	Reason  string `json:"reason,omitempty"` // why it is not eligible, empty: it is
	Left    int64  `json:"left,omitempty"`   // until a pause ends or a limit opens
	Chosen  bool   `json:"chosen,omitempty"`
	*Estimate
}

// Estimate is what is expected at a target.
type Estimate struct {
	Prefix   bool    `json:"prefix"`   // the target that should have the prompt cached
	Wait     float64 `json:"wait"`     // to the first token
	Backlog  float64 `json:"backlog"`  // the part of it before the own prompt is read
	Standing int64   `json:"standing"` // since when the backlog has not been low
	Cost     float64 `json:"cost"`     // by which targets are compared
	Cached   int64   `json:"cached"`   // prompt tokens
	Running  int     `json:"running"`  // as last reported
	Waiting  int     `json:"waiting"`  // as last reported
	Slots    int     `json:"slots"`
}

// Service is where the request would go if the route picks this service.
type Service struct {
	Name       string      `json:"name"`
	Weight     int         `json:"weight"`
	Steps      []Step      `json:"steps"`
	Candidates []Candidate `json:"candidates"`
	Target     string      `json:"target,omitempty"` // that would be chosen, empty: none
}

// Report is the answer to a query. Services is empty if the route step refuses the request.
type Report struct {
	Instance string    `json:"instance"`
	Time     time.Time `json:"time"`
	Route    Step      `json:"route"`
	Services []Service `json:"services"`
}
