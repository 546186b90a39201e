package logger

import (
	"errors"
	"io"
	"testing"
)

// BenchmarkRequestLine measures the CPU time of the log line that an entry writes for
// each request.
func BenchmarkRequestLine(b *testing.B) {
	log, err := New(io.Discard, "info")
	if err != nil {
		b.Fatal(err)
	}
	failed := errors.New("read answer: unexpected EOF")
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Str("id", "e9b7d4be35aba2df").Str("route", "r-4rwr6bu").Str("account", "bora93").Str("service", "boka38a").
			Str("outcome", "noanswer").Int("status", 502).Int64("took", 113).Int64("config", 19).Str("budget", "reserved").
			Int64("lent", 2213).Int64("held", 28714).Int64("used", 28714).Int64("limit", 40635).Int64("left", 363212).
			Int64("asked", 2213).Int64("ledgerage", 65).Str("target", "i-2103ecd969").Str("addr", "10.1.0.7:8520").
			Str("reason", "bound").Int64("expected", 39).Int("sends", 1).Int("dials", 0).Int("events", 0).
			Str("error", failed.Error()).Msg("request")
	}
}
