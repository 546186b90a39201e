// Package checker validates external input: settings, bundles, platform objects and
// request bodies.
//
// A type that implements [Checker] validates itself. [Decode] decodes JSON and
// rejects unknown fields, trailing data and values that fail their check, so that
// decoding never returns an invalid value without an error.
//
// # Usage
//
//	type Limit struct {
//		Rate int `json:"rate"`
//	}
//
//	func (l Limit) Check() error {
//		var f checker.Validator
//		checker.Range(&f, "rate", l.Rate, 1, 1000)
//		return f.Err()
//	}
//
//	limit, err := checker.Decode[Limit](data)
package checker

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Checker is implemented by values that can validate themselves.
type Checker interface {
	Check() error
}

// ErrTrailing means that data follows the decoded value.
var ErrTrailing = errors.New("unexpected data after the value")

// Decode decodes JSON into a T and validates it. Unknown fields are an error.
func Decode[T Checker](data []byte) (T, error) {
	var v T
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, fmt.Errorf("decode %T: %w", v, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return v, fmt.Errorf("decode %T: %w", v, ErrTrailing)
	}
	if err := v.Check(); err != nil {
		return v, fmt.Errorf("check %T: %w", v, err)
	}
	return v, nil
}

// Encode validates v and encodes it as JSON.
func Encode[T Checker](v T) ([]byte, error) {
	if err := v.Check(); err != nil {
		return nil, fmt.Errorf("check %T: %w", v, err)
	}
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// FieldError describes an invalid field.
type FieldError struct {
	Key  string // path of the field, for example "listen.http"
	Text string // the invalid value and the allowed values
}

func (f FieldError) String() string { return f.Key + ": " + f.Text }

// ValidationError is an error that lists all invalid fields of a value.
type ValidationError []FieldError

func (e ValidationError) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Validator collects the invalid fields of a value. The zero value is ready to use.
type Validator struct {
	list []FieldError
}

// Add records an error of the field with the given key.
func (f *Validator) Add(key, format string, args ...any) {
	f.list = append(f.list, FieldError{Key: key, Text: fmt.Sprintf(format, args...)})
}

// Require records an error unless ok is true.
func (f *Validator) Require(ok bool, key, format string, args ...any) {
	if !ok {
		f.Add(key, format, args...)
	}
}

// AddNested records the errors of a nested value, with their keys prefixed by key. Any
// other error is recorded for key itself.
func (f *Validator) AddNested(key string, err error) {
	var nested ValidationError
	switch {
	case err == nil:
	case errors.As(err, &nested):
		for _, n := range nested {
			f.Add(key+"."+n.Key, "%s", n.Text)
		}
	default:
		f.Add(key, "%v", err)
	}
}

// Err returns a [ValidationError], or nil if no errors are recorded.
func (f *Validator) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return ValidationError(f.list)
}

// Range records an error unless low <= v <= high.
func Range[T cmp.Ordered](f *Validator, key string, v, low, high T) {
	f.Require(v >= low && v <= high, key, "is %v, allowed is %v to %v", v, low, high)
}
