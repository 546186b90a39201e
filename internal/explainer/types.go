package explainer

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"
)

const (
	maxRecords = 64 // per request; the last place is reserved for the newest
	maxFields  = 16
	maxText    = 200 // bytes
)

// ErrUnknown means that no record of the request is left.
var ErrUnknown = errors.New("no records of this request, it is too old or was handled by another entry")

// Record is one decision about a request. Step, Decision and Reason are names,
// other text in them is replaced.
type Record struct {
	Time     time.Time `json:"time"`
	Step     string    `json:"step"`
	Decision string    `json:"decision"`
	Reason   string    `json:"reason"`
	Details  []Field   `json:"-"`
}

// MarshalJSON writes the details as one object.
func (r Record) MarshalJSON() ([]byte, error) {
	type plain Record
	details := make(map[string]any, len(r.Details))
	for _, f := range r.Details {
		details[f.key] = f.value
	}
	data, err := json.Marshal(struct {
		plain
		Details map[string]any `json:"details,omitempty"`
	}{plain(r), details})
	if err != nil {
		return nil, fmt.Errorf("encode record of step %s: %w", r.Step, err)
	}
	return data, nil
}

// Field is a typed detail. Its value is made by one of the functions below.
type Field struct {
	key   string
	value any
}

// Name returns a field with the name of an instance, target, account or scope.
func Name(key, value string) Field { return Field{key, safe(value)} }

// Int returns a field with a number.
func Int(key string, value int64) Field { return Field{key, value} }

// Float returns a field with a number.
func Float(key string, value float64) Field {
	if value-value != 0 { // JSON has no infinity and no NaN
		return Field{key, "(not a number)"}
	}
	return Field{key, value}
}

// Bool returns a field with a truth value.
func Bool(key string, value bool) Field { return Field{key, value} }

// Duration returns a field with a time span, written like "1.5s".
func Duration(key string, value time.Duration) Field { return Field{key, value.String()} }

// safe replaces a text that is not a name, because it could come from a caller.
func safe(value string) string {
	if len(value) > maxText || strings.ContainsFunc(value, notInName) {
		return "(not a name)"
	}
	return value
}

func notInName(r rune) bool {
	return !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune("-_./:", r)
}

// Request is what is known about one request.
type Request struct {
	ID      string   `json:"id"`
	Records []Record `json:"records"`
	Dropped int      `json:"dropped,omitempty"` // records over the limit
}

// Explainer keeps the decisions about the latest requests.
type Explainer struct {
	ring     []string // request ids in order of their first record
	next     int
	requests map[string]*Request
}

// New returns an Explainer for the given number of requests.
func New(size int) *Explainer {
	size = max(1, size)
	return &Explainer{ring: make([]string, size), requests: make(map[string]*Request, size)}
}
