package logger

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a log that grows with the requests of abusive clients, and against lines that
// are left out without a trace or for ever.
func TestLineLimit(t *testing.T) {
	var out bytes.Buffer
	log, now := zerolog.New(&out), time.Unix(1_000_000, 0)
	var l LineLimit
	allowed := 0
	for range 10 * maxLines {
		if l.Allow(log, now) {
			allowed++
		}
	}
	if allowed != maxLines || out.Len() > 0 {
		t.Errorf("%d lines allowed, log %q", allowed, out.String())
	}
	if !l.Allow(log, now.Add(2*limitWindow)) || !strings.Contains(out.String(), `"dropped":900`) {
		t.Errorf("after the window: %q", out.String())
	}
}
