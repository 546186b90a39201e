package renderer

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"
	"unicode"

	"daisylane/internal/analyzer"
)

//go:embed page.tmpl
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"number": formatNumber, "percent": formatPercent, "clock": formatClock, "before": formatBefore, "code": markCode, "chart": newFigure,
}).Parse(pageText))

// pageData is what the template shows.
type pageData struct {
	*analyzer.Day
	Charts map[string]template.HTML
	Kinds  []analyzer.Class
}

// Render writes the page about a day.
func Render(w io.Writer, day *analyzer.Day) error {
	data := pageData{day, make(map[string]template.HTML), analyzer.Classes}
	if day.Requests > 0 || len(day.Events) > 0 {
		if err := data.draw(); err != nil {
			return err
		}
	}
	if err := page.Execute(printable{w}, data); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// draw draws the charts that have data.
func (d pageData) draw() error {
	a := newAxis(d.Day)
	for _, chart := range []struct {
		name  string
		list  []analyzer.Series
		marks bool
	}{
		{"classes", d.Classes, true},
		{"causes", d.Causes, true},
		{"services", d.Services, false},
		{"accounts", d.Accounts, false},
		{"routefaults", d.RouteFaults, false},
		{"accountfaults", d.AccountFaults, false},
		{"refusals", d.Refusals, false},
		{"granted", d.Granted, false},
		{"spent", d.Spent, false},
		{"withheld", d.Withheld, false},
		{"calls", d.Calls, true},
	} {
		if len(chart.list) == 0 {
			continue
		}
		svg, err := a.lines(chart.list, chart.marks)
		if err != nil {
			return fmt.Errorf("chart of %s: %w", chart.name, err)
		}
		d.Charts[chart.name] = svg
	}
	if len(d.Events) == 0 {
		return nil
	}
	svg, err := a.events()
	if err != nil {
		return fmt.Errorf("chart of events: %w", err)
	}
	d.Charts["events"] = svg
	return nil
}

// printable replaces the control characters of texts, which a browser ignores and a
// terminal would obey.
type printable struct{ w io.Writer }

// Write implements [io.Writer].
func (p printable) Write(data []byte) (int, error) {
	clean := bytes.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\n' && r != '\t' {
			return unicode.ReplacementChar
		}
		return r
	}, data)
	if _, err := p.w.Write(clean); err != nil {
		return 0, fmt.Errorf("write: %w", err)
	}
	return len(data), nil
}

// formatNumber groups the digits of a number by thousands.
func formatNumber(v any) string {
	text := fmt.Sprint(v)
	digits := strings.TrimPrefix(text, "-")
	var b strings.Builder
	for i, r := range digits {
		if i > 0 && (len(digits)-i)%3 == 0 {
			b.WriteByte(',')
		}
		b.WriteRune(r)
	}
	return text[:len(text)-len(digits)] + b.String()
}

func formatPercent(share float64) string {
	return fmt.Sprintf("%.2g%%", share*100)
}

func formatClock(t time.Time) string {
	return t.UTC().Format("2006-01-02 15:04:05.000")
}

func formatBefore(d time.Duration) string {
	return (-d).Round(time.Millisecond).String()
}

// markCode shows text between backquotes as code.
func markCode(text string) template.HTML {
	var b strings.Builder
	for i, part := range strings.Split(text, "`") {
		part = template.HTMLEscapeString(part)
		if i%2 == 1 {
			part = "<code>" + part + "</code>"
		}
		b.WriteString(part)
	}
	return template.HTML(b.String())
}

// figure is a chart with its title.
type figure struct {
	Title string
	SVG   template.HTML
}

func newFigure(title string, svg template.HTML) figure {
	return figure{title, svg}
}
