// Package logger sets up zerolog, so that each event is one line with a JSON
// object, and keeps secrets out of it.
//
// # Usage
//
//	log, err := logger.New(os.Stderr, "info")
//	log.Info().Str("instance", name).Msg("started")
//
// writes
//
//	{"level":"info","instance":"entry-1","time":"2026-01-02T15:04:05.000Z","msg":"started"}
//
// Keys and tokens have the type [Secret], which no way of formatting reveals.
// Headers are logged with [Headers]. As a last line of defence, a bearer token
// in the text of a line is replaced.
package logger

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Levels are the accepted names of levels.
var Levels = []string{"debug", "info", "warn", "error"}

func init() {
	zerolog.MessageFieldName = "msg"
	zerolog.TimeFieldFormat = timeFormat
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
}

// New returns a logger that writes events of at least the given level.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.Nop(), fmt.Errorf("level is %q, allowed is %s", level, strings.Join(Levels, ", "))
	}
	return zerolog.New(zerolog.SyncWriter(redactor{w})).Level(l).With().Timestamp().Logger(), nil
}

var scheme = []byte("bearer")

var bearer = regexp.MustCompile(`(?i)(bearer[ +]+)[^\s"\\,;]+`)

// redactor replaces bearer tokens. Each write is one event.
type redactor struct {
	w io.Writer
}

func (r redactor) Write(line []byte) (int, error) {
	n := len(line)
	if mayHoldBearer(line) {
		line = bearer.ReplaceAll(line, []byte("${1}"+redacted))
	}
	if _, err := r.w.Write(line); err != nil {
		return 0, fmt.Errorf("write log: %w", err)
	}
	return n, nil
}

// mayHoldBearer is a quick look before the expression, which costs more than
// writing the line.
func mayHoldBearer(line []byte) bool {
	for i := range line {
		if line[i]|0x20 == 'b' && i+len(scheme) <= len(line) && bytes.EqualFold(line[i:i+len(scheme)], scheme) {
			return true
		}
	}
	return false
}
