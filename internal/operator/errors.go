package operator

import (
	"errors"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"daisylane/internal/bundler"
	"daisylane/internal/loader"
	"daisylane/internal/previewer"
	"daisylane/internal/storer"
)

// Exit codes.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitConflict
	exitAbsent
	exitUnavailable
)

var (
	errAbsent   = errors.New("not found")
	errUsage    = errors.New("wrong usage")
	errConflict = errors.New("conflict with another change")
)

// conflictError describes the bundle version that another operator pushed first.
type conflictError struct {
	Author  string    `json:"author"`
	Version uint64    `json:"version"`
	Time    time.Time `json:"time"`
	Note    string    `json:"note,omitempty"`
}

func newConflict(h bundler.Head) *conflictError {
	return &conflictError{Author: h.Author, Version: h.Version, Time: h.Time, Note: h.Note}
}

func (e *conflictError) Error() string {
	return fmt.Sprintf("%s put version %d in force at %s (%s); get it with 'daisylane bundle show', merge and push again",
		e.Author, e.Version, e.Time.Format(time.RFC3339), e.Note)
}

func exitCode(err error) int {
	var wrong *flags.Error
	var settings *loader.FileError
	var conflict *conflictError
	switch {
	case errors.As(err, &wrong), errors.As(err, &settings), errors.Is(err, errUsage), errors.Is(err, previewer.ErrInvalid):
		return exitUsage
	case errors.As(err, &conflict), errors.Is(err, errConflict):
		return exitConflict
	case errors.Is(err, errAbsent), errors.Is(err, storer.ErrAbsent):
		return exitAbsent
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrUncertain), errors.Is(err, previewer.ErrUnreachable):
		return exitUnavailable
	}
	return exitFailure
}
