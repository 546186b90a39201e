package analyzer

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"daisylane/internal/receiver"
)

const dayLog = `
{"instance":"entry-1","time":"2026-01-02T15:04:00Z","msg":"started"}
{"instance":"entry-1","calls":{"list budgets":2,"objects":5},"lost_tokens":{"a":40},"took":1.5,"time":"2026-01-02T15:04:00.5Z","msg":"budgets recovered"}
{"instance":"entry-1","id":"r3","route":"p","account":"a","service":"s","outcome":"tokensshort","took":100,"budget":"short","asked":600,"prepaid":1000,"left":100,"held":500,"time":"2026-01-02T15:04:06Z","msg":"request"}
{"instance":"entry-1","error":"write budgets: put budgets a: platform is unavailable: status 503","time":"2026-01-02T15:04:05Z","msg":"budget store lost"}
{"instance":"entry-1","id":"r1","route":"p","account":"a","service":"s","outcome":"whole","took":1500,"first":1200,"budget":"reserved","asked":300,"prepaid":1000,"tokens":200,"left":700,"held":500,"time":"2026-01-02T15:04:04Z","msg":"request"}
{"instance":"entry-1","id":"r2","outcome":"noanswer","left":10,"time":"2026-01-02T15:04:04Z","msg":"attempt failed"}
{"instance":"entry-2","id":"r4","route":"p","account":"a","service":"s","outcome":"exhausted","took":1,"budget":"exhausted","asked":801,"prepaid":1000,"left":-5,"held":300,"time":"2026-01-02T15:04:07Z","msg":"request"}
{"instance":"entry-1","time":"2026-01-02T15:04:08Z","msg":"started"}
{"instance":"entry-2","account":"a","tokens":30,"time":"2026-01-02T15:04:08Z","msg":"tokens not given back"}
{"instance":"entry-2","dropped_lines":7,"time":"2026-01-02T15:04:09Z","msg":"stopped"}
{"instance":"entry-2","id":"r5","outcome":"left","took":"wrong","time":"2026-01-02T15:04:09Z","msg":"request"}
{"instance":"entry-2","id":"r6","outco`

func summarize(t *testing.T, text string) *Day {
	t.Helper()
	day, err := Summarize(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// Guards against figures of the page that differ from the log: unsorted, cut off, or with
// an instance that was killed.
func TestSummarize(t *testing.T) {
	day := summarize(t, dayLog)
	seriesOf := func(list []Series) string {
		var b strings.Builder
		for _, one := range list {
			fmt.Fprint(&b, one.Name, one.Values, " ")
		}
		return strings.TrimSpace(b.String())
	}
	account := AccountRow{
		Row: Row{Requests: 3, Classes: []int64{1, 2, 0, 0}, Late: 1}, Name: "a", Prepaid: 1000, Asked: 300, Spent: 200, Granted: 800, Unused: 800,
		Refused: 2, Founded: 1, Short: Unused{Count: 1, Median: 800, Max: 800, Share: 0.8, Asked: 600}, Withheld: 800, Lost: 40, Returns: 30,
	}
	for _, tt := range []struct {
		what      string
		got, want any
	}{
		{"requests", day.Requests, 3},
		{"span", day.To.Sub(day.From), 9 * time.Second},
		{"width", day.Width, time.Second},
		{"faults", day.Faults, Faults{Skipped: 2, Dropped: 7, Unfinished: 1, Unstarted: 1, Killed: 1}},
		{"classes", seriesOf(day.Classes), "answered[0 0 0 0 1 0 0 0 0 0] refused[0 0 0 0 0 0 1 1 0 0] failed[0 0 0 0 0 0 0 0 0 0] left by the caller[0 0 0 0 0 0 0 0 0 0]"},
		{"faults of routes", seriesOf(day.RouteFaults), "s p[0 0 0 0 0 0 1 1 0 0]"},
		{"refusals", seriesOf(day.Refusals), "founded[0 0 0 0 0 0 0 1 0 0] unfounded[0 0 0 0 0 0 1 0 0 0]"},
		{"granted", seriesOf(day.Granted), "a[0 0 0 0 500 500 500 800 800 800]"},
		{"spent", seriesOf(day.Spent), "a[0 0 0 0 200 0 0 0 0 0]"},
		{"withheld", seriesOf(day.Withheld), "a[0 0 0 0 0 0 700 800 0 0]"},
		{"failed calls", seriesOf(day.Calls), "put budgets[0 0 0 0 0 1 0 0 0 0]"},
		{"calls of starts", day.StartCalls, []Count{{"list budgets", 2}, {"objects", 5}}},
		{"starts", seriesOf(day.Marks), "start[1 0 0 0 0 0 0 0 1 0] lost[0 0 0 0 0 1 0 0 0 0] stop[0 0 0 0 0 0 0 0 0 1]"},
		{"accounts", day.AccountRows, []AccountRow{account}},
		{"routes", day.ServiceRows, []Row{{Service: "s", Route: "p", Requests: 3, Classes: []int64{1, 2, 0, 0}, Late: 1, P50: 1200 * time.Millisecond, P95: 1200 * time.Millisecond}}},
		{"timelines", len(day.Timelines), 3},
	} {
		if !reflect.DeepEqual(tt.got, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.what, tt.got, tt.want)
		}
	}
	for _, row := range day.CauseRows {
		if len(row.Timelines) != 1 || row.Omitted != 0 || day.Timelines[row.Timelines[0]].Cause != row.Cause {
			t.Errorf("cause %s has timelines %v, %d omitted", row.Cause, row.Timelines, row.Omitted)
		}
	}
}

// Guards against timelines and counts of the page that differ from those of `explain --log`,
// which are made from all lines of the log.
func TestTimelinesOfDay(t *testing.T) {
	crashes := strings.Builder{}
	for i := range 2 * maxCrashes {
		fmt.Fprintf(&crashes, `{"instance":"entry-%d","id":"c%d","crashed":true,"parts":["f00d"],"time":"2026-01-02T15:04:%02dZ","msg":"attempt failed"}`+"\n", i%3, i, (i*7)%30)
	}
	crashes.WriteString(`{"instance":"entry-1","id":"r1","service":"s","outcome":"crashing","part":"f00d","time":"2026-01-02T15:04:25Z","msg":"request"}` + "\n")
	// All states change at the time of the start, which must neither void nor reorder them.
	var ties strings.Builder
	for _, msg := range append([]string{msgStarted}, slices.DeleteFunc(slices.Sorted(maps.Keys(stateKinds)), func(msg string) bool { return msg == msgStarted })...) {
		fmt.Fprintf(&ties, `{"instance":"e","time":"2026-01-02T15:04:00Z","msg":%q}`+"\n", msg)
	}
	ties.WriteString(`{"instance":"e","id":"r1","outcome":"busy","time":"2026-01-02T15:04:01Z","msg":"request"}` + "\n")
	for _, text := range []string{sample, dayLog, crashes.String(), ties.String()} {
		log, err := Read(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		day, counts := summarize(t, text), make(map[receiver.Cause][2]int)
		for _, c := range log.Stats().Causes {
			n := counts[c.Cause]
			counts[c.Cause] = [2]int{n[0] + c.Count, n[1] + c.Unfounded}
		}
		for _, row := range day.CauseRows {
			if n := [2]int{row.Count, row.Short.Count}; row.Cause != LateCause && n != counts[row.Cause] {
				t.Errorf("%s: counts %v, want %v", row.Cause, n, counts[row.Cause])
			}
		}
		for _, got := range day.Timelines {
			want, err := log.Timeline(got.Request)
			if err != nil {
				t.Fatal(err)
			}
			var rows []TimelineRow
			for _, e := range want.Events {
				rows = append(rows, TimelineRow{e.Before, e.Instance, e.Msg, clip(FormatFields(e.Fields))})
			}
			if got.Summary != want.Summary || !slices.Equal(got.Rows, rows) {
				t.Errorf("%s: got %q\n%v, want %q\n%v", got.Request, got.Summary, got.Rows, want.Summary, rows)
			}
		}
	}
}

// Guards against a page that grows with the log, and against parts that are left out
// without a note.
func TestBoundsOfDay(t *testing.T) {
	const n = 3000
	var b bytes.Buffer
	for i := range n {
		at := time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC).Add(time.Duration(i) * time.Minute).Format(time.RFC3339Nano)
		fmt.Fprintf(&b, `{"instance":"e%d","time":%q,"msg":"started"}`+"\n", i, at)
		fmt.Fprintf(&b, `{"instance":"e%d","id":"r%d","route":"p%d","account":"a%d","service":"s%d","outcome":"busy","time":%q,"msg":"request"}`+"\n", i, i, i, i, i, at)
		fmt.Fprintf(&b, `{"instance":"e%d","id":"r1","time":%q,"msg":"attempt failed"}`+"\n", i, at)
	}
	b.WriteString(strings.Repeat("x", 2*maxLineBytes) + "\n" + `{"time":"9999-01-01T00:00:00Z","msg":"stopped"}`)
	day := summarize(t, b.String())
	if day.Faults.Skipped != 1 || day.Requests != n {
		t.Errorf("%d lines skipped, %d requests, want 1 and %d", day.Faults.Skipped, day.Requests, n)
	}
	if day.To.Year() != 2026 || day.Log[1].Year() != 9999 {
		t.Errorf("charts end %v, the log %v", day.To, day.Log[1])
	}
	for _, tt := range []struct {
		what              string
		got, limit, total int
		omitted           int
	}{
		{"events", len(day.Events), maxEvents + 1, n + 1, day.Omitted},
		{"routes", len(day.ServiceRows), maxRows, n, day.RowsOmitted},
		{"accounts", len(day.AccountRows), maxRows, n, day.AccountsLeft},
		{"timelines", len(day.Timelines), maxTimelines, n, day.CauseRows[0].Omitted},
		{"services in a chart", len(day.Services), maxSeries + 1, maxSeries + 1, 0},
		{"buckets", len(day.Classes[0].Values), maxBuckets, len(day.Classes[0].Values), 0},
	} {
		if tt.got > tt.limit || tt.got+tt.omitted != tt.total {
			t.Errorf("%s: %d and %d omitted, want at most %d, and %d together", tt.what, tt.got, tt.omitted, tt.limit, tt.total)
		}
	}
	for _, one := range day.Timelines {
		if len(one.Rows) > maxOwnLines+len(stateKinds) {
			t.Errorf("timeline of %s has %d rows", one.Request, len(one.Rows))
		}
	}
}

// Guards against a cause that an operator finds without advice, or with another one than
// in the documentation.
func TestAdvice(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	for cause := range receiver.Meanings {
		if cause != receiver.Complete && advice[cause].Text == "" {
			t.Errorf("no advice for %s", cause)
		}
	}
	for cause, a := range advice {
		if !strings.Contains(text, fmt.Sprintf("| `%s` | %s |", cause, a.Text)) || !strings.Contains(text, "\n## "+a.Section+"\n") {
			t.Errorf("docs/OPERATIONS.md lacks the advice for %s or the section %q", cause, a.Section)
		}
	}
}

// Guards against percentiles that are off by one, or that fail without answers.
func TestPercentile(t *testing.T) {
	var list []time.Duration
	for i := range 20 {
		list = append(list, time.Duration(i+1))
	}
	for _, tt := range []struct {
		list  []time.Duration
		share float64
		want  time.Duration
	}{{nil, 0.95, 0}, {list[:1], 0.95, 1}, {list, 0.5, 11}, {list, 0.95, 20}, {list, 1, 20}} {
		if got := percentile(tt.list, tt.share); got != tt.want {
			t.Errorf("share %v of %d values: got %d, want %d", tt.share, len(tt.list), got, tt.want)
		}
	}
}
