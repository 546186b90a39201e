// Package logger sets up zerolog, so that each event is one line of key=value
// pairs, and keeps secrets out of it.
//
// # Usage
//
//	log, err := logger.New(os.Stderr, "info")
//	log.Info().Str("instance", name).Msg("started")
//
// writes
//
//	time=2026-01-02T15:04:05.000Z level=info msg=started instance=entry-1
//
// Keys and tokens have the type [Secret], which no way of formatting reveals.
// Headers are logged with [Headers]. As a last line of defence, a bearer token
// in the text of a line is replaced.
package logger

import (
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Levels are the accepted names of levels.
var Levels = []string{"debug", "info", "warn", "error"}

// New returns a logger that writes events of at least the given level.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.Nop(), fmt.Errorf("level is %q, allowed is %s", level, strings.Join(Levels, ", "))
	}
	out := zerolog.ConsoleWriter{
		Out:             zerolog.SyncWriter(redactor{w}),
		NoColor:         true,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp: func(any) string { return "time=" + time.Now().UTC().Format(timeFormat) },
		FormatLevel:     func(v any) string { return pair("level", v) },
		FormatMessage:   func(v any) string { return pair("msg", v) },
	}
	return zerolog.New(out).Level(l).With().Timestamp().Logger(), nil
}

func pair(key string, v any) string {
	if v == nil {
		return ""
	}
	text := fmt.Sprint(v)
	if text == "" || strings.ContainsFunc(text, special) {
		text = strconv.Quote(text)
	}
	return key + "=" + text
}

func special(r rune) bool { return r <= ' ' || r > '~' || r == '"' || r == '\\' }

var bearer = regexp.MustCompile(`(?i)(bearer[ +]+)[^\s"\\,;]+`)

// redactor replaces bearer tokens. Each write is one event.
type redactor struct {
	w io.Writer
}

func (r redactor) Write(line []byte) (int, error) {
	if _, err := r.w.Write(bearer.ReplaceAll(line, []byte("${1}"+redacted))); err != nil {
		return 0, fmt.Errorf("write log: %w", err)
	}
	return len(line), nil
}
