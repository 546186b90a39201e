// Package logger configures zerolog so that each event is one line with a JSON
// object, and keeps secrets out of the log.
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
// Keys and tokens have the type [Secret], which every formatting verb and encoder
// redacts. HTTP headers are logged with [Headers]. As an additional safeguard, bearer
// tokens in the text of a line are replaced.
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

// Levels lists the accepted log levels.
var Levels = []string{"debug", "info", "warn", "error"}

func init() {
	zerolog.MessageFieldName = "msg"
	zerolog.TimeFieldFormat = timeFormat
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
}

// New returns a logger that writes events at or above the given level.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.Nop(), fmt.Errorf("level is %q, allowed is %s", level, strings.Join(Levels, ", "))
	}
	return zerolog.New(zerolog.SyncWriter(redactor{w})).Level(l).With().Timestamp().Logger(), nil
}

var bearerScheme = []byte("bearer")

var bearerToken = regexp.MustCompile(`(?i)(bearer[ +]+)[^\s"\\,;]+`)

// redactor is a writer that replaces bearer tokens. Each write must be one event.
type redactor struct {
	w io.Writer
}

func (r redactor) Write(line []byte) (int, error) {
	n := len(line)
	if mayContainBearer(line) {
		line = bearerToken.ReplaceAll(line, []byte("${1}"+redacted))
	}
	if _, err := r.w.Write(line); err != nil {
		return 0, fmt.Errorf("write log: %w", err)
	}
	return n, nil
}

// mayContainBearer is a cheap check before the regular expression, which takes longer
// than writing the line.
func mayContainBearer(line []byte) bool {
	for i := range line {
		if line[i]|0x20 == 'b' && i+len(bearerScheme) <= len(line) && bytes.EqualFold(line[i:i+len(bearerScheme)], bearerScheme) {
			return true
		}
	}
	return false
}
