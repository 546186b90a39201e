package renderer

import (
	"encoding/xml"
	"fmt"
	"io"
	"regexp"
	"strings"
	"testing"

	"daisylane/internal/analyzer"
)

const hostile = `<script>alert(1)</script>\"'&{{.}}\u0000\u001b]`

// hostileLog has text in each field that clients or targets choose.
var hostileLog = strings.ReplaceAll(`
{"instance":"E","time":"2026-01-02T15:04:00Z","msg":"started"}
{"instance":"E","calls":{"list E":2},"time":"2026-01-02T15:04:00Z","msg":"budgets recovered"}
{"instance":"E","error":"put budgets: E","time":"2026-01-02T15:04:01Z","msg":"E not followed"}
{"instance":"E","id":"E","E":"E","time":"2026-01-02T15:04:02Z","msg":"attempt failed"}
{"instance":"E","id":"E","route":"E","account":"E","service":"E","outcome":"E","took":1,"budget":"E","asked":5,"prepaid":1000,"tokens":1,"held":5,"error":"E","time":"2026-01-02T15:04:03Z","msg":"request"}
{"instance":"E","id":"2","account":"b","service":"t","outcome":"whole","took":1,"budget":"reserved","asked":5,"prepaid":1000,"tokens":1,"held":5,"time":"2026-01-02T15:04:04Z","msg":"request"}
`, "E", hostile)

func renderLog(t *testing.T, log string) string {
	t.Helper()
	day, err := analyzer.Summarize(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := Render(&b, day); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// Guards against a page that lacks a part, has one without data, or runs or loads what a
// log contains.
func TestPage(t *testing.T) {
	for _, tt := range []struct {
		name, log    string
		want, absent []string
		charts       int
	}{
		{
			"hostile", hostileLog,
			[]string{
				`id="period"`, `id="missing"`, `id="services"`, `id="causes"`, `id="accounts"`, `id="startcalls"`, `id="eventlist"`, `id="t0"`, `href="#t0"`,
				"2 requests, 1 instances", "&lt;script&gt;alert(1)", "<td class=\"n\">999</td>", `section "Outcomes"`,
			},
			[]string{`id="empty"`},
			12,
		},
		{"empty", "", []string{"The log has no requests"}, []string{`id="period"`, `id="causes"`, `id="accounts"`}, 0},
		{
			"starts only", `{"instance":"e","time":"2026-01-02T15:04:00Z","msg":"started"}` + "\nnot an event",
			[]string{"The log has no requests", `id="period"`, `id="eventlist"`, "1 lines were skipped"},
			[]string{`id="causes"`, `id="accounts"`},
			2,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			text := renderLog(t, tt.log)
			for _, part := range tt.want {
				if !strings.Contains(text, part) {
					t.Errorf("the page lacks %q", part)
				}
			}
			for _, part := range append(tt.absent, "<script", "<link", "<img", "src=", "@import", "url(", `href="http`, "\x00", "\x1b", "ZgotmplZ") {
				if strings.Contains(text, part) {
					t.Errorf("the page has %q", part)
				}
			}
			if n := strings.Count(text, "<svg"); n != tt.charts {
				t.Errorf("%d charts, want %d", n, tt.charts)
			}
			for _, svg := range regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAllString(text, -1) {
				checkXML(t, svg)
			}
		})
	}
}

func checkXML(t *testing.T, text string) {
	t.Helper()
	d := xml.NewDecoder(strings.NewReader(text))
	for {
		_, err := d.Token()
		if err == io.EOF {
			return
		}
		if err != nil {
			t.Fatalf("chart is not valid XML: %v", err)
		}
	}
}

// Guards against lines of a chart that only their color tells apart, and against a legend
// without their names.
func TestLinesWithoutColor(t *testing.T) {
	var list []analyzer.Series
	for i := range styles {
		list = append(list, analyzer.Series{Name: fmt.Sprint("name-", i), Values: []int64{1, 2, 3}, Total: 6})
	}
	svg, err := axis{n: 3, width: 1e9}.lines(list, true)
	if err != nil {
		t.Fatal(err)
	}
	dashes := make(map[string]bool)
	for _, m := range regexp.MustCompile(`stroke-width:1.3(;stroke-dasharray:[0-9.,]+)?`).FindAllStringSubmatch(string(svg), -1) {
		dashes[m[1]] = true
	}
	if len(dashes) != len(styles) {
		t.Errorf("%d styles of lines for %d series", len(dashes), len(styles))
	}
	for _, one := range list {
		if !strings.Contains(string(svg), ">"+one.Name+": 6<") {
			t.Errorf("legend lacks %s", one.Name)
		}
	}
}
