package analyzer

import (
	"errors"
	"strings"
	"testing"
	"time"

	"daisylane/internal/receiver"
)

const sample = `
  1.0 entry-1 {"level":"info","instance":"entry-1","version":3,"time":"2026-01-02T15:04:01.000Z","msg":"configuration adopted"}
{"level":"info","instance":"entry-2","version":4,"time":"2026-01-02T15:04:01.500Z","msg":"configuration adopted"}
{"level":"warn","instance":"entry-1","time":"2026-01-02T15:04:02.000Z","msg":"budget store lost"}
{"level":"warn","instance":"entry-1","time":"2026-01-02T15:04:00.000Z","msg":"peer lends nothing"}
{"level":"info","instance":"entry-1","time":"2026-01-02T15:04:00.500Z","msg":"started"}
{"level":"info","instance":"entry-1","id":"r1","target":"i-1","outcome":"noanswer","time":"2026-01-02T15:04:03.500Z","msg":"attempt failed"}
{"level":"info","instance":"entry-1","target":"i-9","time":"2026-01-02T15:04:03.600Z","msg":"target gone"}
{"level":"info","instance":"entry-1","target":"i-2","time":"2026-01-02T15:04:03.700Z","msg":"target changed"}
{"level":"info","instance":"entry-1","id":"r1","account":"a","service":"s","outcome":"whole","target":"i-2","took":2000,"budget":"reserved","asked":500,"prepaid":1000,"tokens":400,"left":1000,"time":"2026-01-02T15:04:04.000Z","msg":"request"}
{"level":"info","instance":"entry-2","id":"r2","account":"a","service":"s","outcome":"tokensshort","took":100,"budget":"short","asked":600,"prepaid":1000,"left":100,"time":"2026-01-02T15:04:03.000Z","msg":"request"}
{"level":"info","instance":"entry-2","id":"r3","account":"a","service":"s","outcome":"exhausted","took":100,"budget":"exhausted","asked":600,"prepaid":1000,"left":10,"time":"2026-01-02T15:04:05.000Z","msg":"request"}
{"level":"info","instance":"entry-2","id":"r4","account":"a","service":"s","outcome":"exhausted","took":100,"budget":"exhausted","asked":601,"prepaid":1000,"left":10,"time":"2026-01-02T15:04:05.000Z","msg":"request"}
{"level":"info","instance":"entry-2","id":"r5","service":"t","outcome":"whole","took":5,"time":"2026-01-02T15:04:05.000Z","msg":"request"}
not an event
{"torn
{"time":"2026-01-02T15:04:05.000Z"}
`

func read(t *testing.T) *Log {
	t.Helper()
	log, err := Read(strings.NewReader(sample))
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// Guards against a timeline that lacks a decision or contains events of other
// instances, of other targets, of an earlier process of the instance, or from after
// the end of the request.
func TestTimeline(t *testing.T) {
	s, err := read(t).Timeline("r1")
	if err != nil {
		t.Fatal(err)
	}
	want := []struct {
		msg    string
		before time.Duration
	}{
		{"started", 3500 * time.Millisecond},
		{"configuration adopted", 3 * time.Second},
		{"budget store lost", 2 * time.Second},
		{"attempt failed", 500 * time.Millisecond},
		{"target changed", 300 * time.Millisecond},
		{"request", 0},
	}
	if len(s.Events) != len(want) {
		t.Fatalf("events %+v, want %+v", s.Events, want)
	}
	for i, w := range want {
		if e := s.Events[i]; e.Msg != w.msg || e.Before != w.before || e.Instance != "entry-1" {
			t.Errorf("event %d is %s of %s at -%v, want %s at -%v", i, e.Msg, e.Instance, e.Before, w.msg, w.before)
		}
	}
	const summary = "After 2000 ms request r1 was answered by a target; it asked for 500 tokens of account a, of whose 1000 prepaid tokens 1000 seemed left."
	if s.Summary != summary {
		t.Errorf("summary %q, want %q", s.Summary, summary)
	}
	if _, err := read(t).Timeline("r9"); !errors.Is(err, ErrUnknown) {
		t.Errorf("unknown request: %v", err)
	}
}

// Guards against refusals that are counted as justified although tokens were
// available: of 1,000 tokens, 500 were reserved for r1 when r2 was refused, and 400
// had been delivered when r3 and r4 were refused.
func TestStats(t *testing.T) {
	s := read(t).Stats()
	if s.Requests != 5 || s.Skipped != 3 {
		t.Errorf("%d requests, %d lines skipped, want 5 and 3", s.Requests, s.Skipped)
	}
	want := map[receiver.Cause]CauseCount{
		receiver.Complete:    {Service: "s", Cause: receiver.Complete, Count: 1},
		receiver.TokensShort: {Service: "s", Cause: receiver.TokensShort, Count: 1},
		receiver.Exhausted:   {Service: "s", Cause: receiver.Exhausted, Count: 2, Unfounded: 1},
	}
	for _, c := range s.Causes {
		if c.Service == "s" && c != want[c.Cause] {
			t.Errorf("count %+v, want %+v", c, want[c.Cause])
		}
	}
	account := Account{Name: "a", Prepaid: 1000, Delivered: 400, Refused: 3, Unfounded: 1, Withheld: 590}
	if len(s.Accounts) != 1 || s.Accounts[0] != account {
		t.Errorf("accounts %+v, want %+v", s.Accounts, account)
	}
}

// Guards against malformed lines that make the analysis of the whole log fail or
// panic.
func FuzzRead(f *testing.F) {
	f.Add(sample)
	f.Add(dayLog)
	f.Fuzz(func(t *testing.T, text string) {
		log, err := Read(strings.NewReader(text))
		if err != nil {
			return
		}
		log.Stats()
		if _, err := Summarize(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
		for _, l := range log.Lines {
			if _, err := log.Timeline(l.Text("id")); err != nil && !errors.Is(err, ErrUnknown) {
				t.Fatal(err)
			}
		}
	})
}

// Guards against a refusal whose timeline does not lead to the crashes behind it, because
// they were logged by other instances, long before, or for other requests.
func TestTimelineOfQuarantine(t *testing.T) {
	log, err := Read(strings.NewReader(`
{"instance":"entry-2","id":"r1","target":"i-1","crashed":true,"parts":["a1","dead","7"],"time":"2026-01-02T15:00:01Z","msg":"attempt failed"}
{"instance":"entry-2","id":"r2","target":"i-2","crashed":true,"parts":["a1","b1","8"],"time":"2026-01-02T15:00:02Z","msg":"attempt failed"}
{"instance":"entry-2","id":"r3","target":"i-3","crashed":false,"parts":["a1","dead","9"],"time":"2026-01-02T15:00:03Z","msg":"attempt failed"}
{"instance":"entry-1","service":"s","part":"dead","time":"2026-01-02T15:00:04Z","msg":"prompt part quarantined; targets crash under it"}
{"instance":"entry-1","service":"s","part":"b1","time":"2026-01-02T15:00:05Z","msg":"prompt part quarantined; targets crash under it"}
{"instance":"entry-2","id":"r5","target":"i-4","crashed":true,"fingerprints":["f1","f2"],"time":"2026-01-02T15:00:06Z","msg":"attempt failed"}
{"instance":"entry-1","fingerprint":"f2","time":"2026-01-02T15:00:07Z","msg":"request quarantined; targets crash under it"}
{"instance":"entry-1","id":"r6","service":"s","outcome":"crashing","fingerprint":"f2","took":1,"time":"2026-01-02T15:03:00Z","msg":"request"}
{"instance":"entry-1","id":"r4","service":"s","outcome":"crashing","part":"dead","took":1,"time":"2026-01-02T15:04:00Z","msg":"request"}
`))
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ id, want string }{{"r4", "r1 dead r4dead"}, {"r6", "r5 f2 r6f2"}} {
		s, err := log.Timeline(tt.id)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, e := range s.Events {
			got = append(got, e.Text("id")+e.Text("part")+e.Text("fingerprint"))
		}
		if strings.Join(got, " ") != tt.want {
			t.Errorf("events %q, want %q", strings.Join(got, " "), tt.want)
		}
		if !strings.Contains(s.Summary, "targets crash under a part of its prompt") {
			t.Errorf("summary %q", s.Summary)
		}
	}
}
