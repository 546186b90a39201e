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
	maxRecords   = 64 // per request; the last slot is reserved for the newest record
	maxFields    = 16
	maxNameBytes = 200 // bytes
)

// ErrUnknown means that there are no records of the request, or no longer any.
var ErrUnknown = errors.New("no records of this request, it is too old or was handled by another entry")

// Record is one decision about a request. Step, Decision and Reason must be names;
// other text is replaced.
type Record struct {
	Time     time.Time `json:"time"`
	Step     string    `json:"step"`
	Decision string    `json:"decision"`
	Reason   string    `json:"reason"`
	Details  []Field   `json:"-"`
}

// MarshalJSON encodes the details as one JSON object.
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

// Field is a typed detail. It is created by one of the functions below.
type Field struct {
	key   string
	value any
}

// Name returns a field with the name of an instance, target, account or scope.
func Name(key, value string) Field { return Field{key, sanitizeName(value)} }

// Int returns a field with an integer.
func Int(key string, value int64) Field { return Field{key, value} }

// Float returns a field with a floating-point number.
func Float(key string, value float64) Field {
	if value-value != 0 { // JSON has no infinity and no NaN
		return Field{key, "(not a number)"}
	}
	return Field{key, value}
}

// Bool returns a field with a boolean.
func Bool(key string, value bool) Field { return Field{key, value} }

// Duration returns a field with a duration, formatted like "1.5s".
func Duration(key string, value time.Duration) Field { return Field{key, value.String()} }

// sanitizeName replaces text that is not a name, because it could come from a caller
// and contain a secret.
func sanitizeName(value string) string {
	if len(value) > maxNameBytes || strings.ContainsFunc(value, isInvalidInName) {
		return "(not a name)"
	}
	return value
}

func isInvalidInName(r rune) bool {
	return !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune("-_./:", r)
}

// Request holds the records of one request.
type Request struct {
	ID      string   `json:"id"`
	Records []Record `json:"records"`
	Dropped int      `json:"dropped,omitempty"` // number of records dropped over the limit
}

// Explainer keeps the decisions about the latest requests.
type Explainer struct {
	ring     []string // ring buffer of request ids in order of their first record
	next     int
	requests map[string]*Request
}

// New returns an Explainer that keeps the given number of requests.
func New(size int) *Explainer {
	size = max(1, size)
	return &Explainer{ring: make([]string, size), requests: make(map[string]*Request, size)}
}
