package logger

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const token = "dl-5ecre7"

// Guards against events that span several lines or are not valid JSON.
func TestSingleLineEvents(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	log.Debug().Msg("hidden")
	log.Error().Err(errors.New("a\nb")).Str("name", "x y").Int("n", 3).Msg("two\nlines")
	got := out.String()
	head, rest, _ := strings.Cut(got, `"time":"`)
	stamp, tail, _ := strings.Cut(rest, `"`)
	if _, err := time.Parse(timeFormat, stamp); err != nil || !strings.HasSuffix(stamp, "Z") {
		t.Errorf("time %q, want UTC in the format %s: %v", stamp, timeFormat, err)
	}
	if want := `{"level":"error","error":"a\nb","name":"x y","n":3,|,"msg":"two\nlines"}` + "\n"; head+"|"+tail != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against keys and tokens that leak into the log through a formatting verb,
// an encoder, an HTTP header or an error message.
func TestRedaction(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "debug")
	if err != nil {
		t.Fatal(err)
	}
	type settings struct{ Key Secret }
	s := settings{Key: token}
	log.Info().Interface("settings", s).Stringer("key", s.Key).Any("raw", s.Key).Msgf("%v %+v %#v %q %x", s.Key, s, s, s.Key, s.Key)
	log.Info().Object("headers", Headers(http.Header{"Authorization": {"Bearer " + token}, "X-Api-Key": {token}})).Send()
	log.Error().Err(fmt.Errorf("header %q", "Authorization: Bearer "+token)).Str("url", "/?h=bearer+"+token).Send()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	out.Write(data)
	if strings.Contains(out.String(), token) || strings.Contains(out.String(), fmt.Sprintf("%x", token)) {
		t.Errorf("log has the token: %s", out.String())
	}
	if s.Key.Reveal() != token {
		t.Error("Reveal does not return the secret")
	}
}

// Guards against an unknown log level that is accepted and disables the log.
func TestLevel(t *testing.T) {
	for _, level := range []string{"", "loud"} {
		if _, err := New(&bytes.Buffer{}, level); err == nil {
			t.Errorf("level %q is accepted", level)
		}
	}
}

// Guards against a preliminary check that misses tokens which the regular
// expression would replace.
func TestMayContainBearer(t *testing.T) {
	tests := []struct {
		line string
		want bool
	}{
		{"", false},
		{"Bearer x", true},
		{"..bEARER+x", true},
		{"bbearer x", true},
		{"beare", false},
		{"the bear ran", false},
	}
	for _, tt := range tests {
		if got := mayContainBearer([]byte(tt.line)); got != tt.want {
			t.Errorf("mayContainBearer(%q) = %v, want %v", tt.line, got, tt.want)
		}
	}
}

// Guards against a panic of a request that ends after the log was closed at a shutdown.
func TestWriteAfterClose(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out, 4)
	_, _ = w.Write([]byte("a\n"))
	w.Close()
	_, _ = w.Write([]byte("b\n"))
	w.Close()
	if out.String() != "a\n" || w.Dropped() != 1 {
		t.Errorf("wrote %q, dropped %d lines", out.String(), w.Dropped())
	}
}
