// Package loader reads the settings of a binary from a TOML file.
//
// Unknown keys are errors. Each field is checked at start, and each fault is
// reported on a line of its own with file, key and allowed range.
//
// # Usage
//
//	cfg, err := loader.Load("entry.toml", defaults)
//
// T validates itself, see package checker. Fields that the file leaves out keep
// the values of the defaults.
package loader

import (
	"fmt"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"daisylane/internal/checker"
)

// Duration is a time span in settings, written like "250ms" or "5m".
type Duration time.Duration

// UnmarshalText parses the notation of [time.ParseDuration].
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration %q: want a number with a unit, for example \"250ms\": %w", text, err)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the notation of [time.Duration.String].
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// FileError lists the faults of a settings file.
type FileError struct {
	File   string
	Faults []checker.Fault
}

func (e *FileError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = e.File + ": " + f.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads the file over the given defaults and checks the result.
func Load[T checker.Checker](file string, defaults T) (T, error) {
	cfg := defaults
	meta, err := toml.DecodeFile(file, &cfg)
	if err != nil {
		return cfg, fmt.Errorf("read settings %s: %w", file, err)
	}
	var faults []checker.Fault
	for _, key := range meta.Undecoded() {
		faults = append(faults, checker.Fault{Key: key.String(), Text: "unknown key, remove it or correct its spelling"})
	}
	var invalid checker.FaultsError
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
