// Package loader reads the settings of a program from a TOML file.
//
// Unknown keys are errors. All fields are validated, and each error is reported on
// its own line with the file, the key and the allowed range.
//
// # Usage
//
//	cfg, err := loader.Load("entry.toml", defaults)
//
// The settings type validates itself, see package checker. Fields that the file does
// not set keep their default values.
package loader

import (
	"fmt"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"daisylane/internal/checker"
)

// Duration is a duration in settings, written like "250ms" or "5m".
type Duration time.Duration

// UnmarshalText parses the format of [time.ParseDuration].
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration %q: want a number with a unit, for example \"250ms\": %w", text, err)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the format of [time.Duration.String].
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std converts the duration to the type of the standard library.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// FileError lists the errors in a settings file.
type FileError struct {
	File   string
	Faults []checker.FieldError
}

func (e *FileError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = e.File + ": " + f.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads the file on top of the defaults and validates the result.
func Load[T checker.Checker](file string, defaults T) (T, error) {
	cfg := defaults
	meta, err := toml.DecodeFile(file, &cfg)
	if err != nil {
		return cfg, fmt.Errorf("read settings %s: %w", file, err)
	}
	var faults []checker.FieldError
	for _, key := range meta.Undecoded() {
		faults = append(faults, checker.FieldError{Key: key.String(), Text: "unknown key, remove it or correct its spelling"})
	}
	var invalid checker.ValidationError
	switch err := cfg.Check(); {
	case err == nil:
	case errors.As(err, &invalid):
		faults = append(faults, invalid...)
	default:
		return cfg, fmt.Errorf("check settings %s: %w", file, err)
	}
	if len(faults) > 0 {
		return cfg, &FileError{File: file, Faults: faults}
	}
	return cfg, nil
}
