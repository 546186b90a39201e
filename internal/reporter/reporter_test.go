package reporter

import (
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

var wellFormed = regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)

// Guards against metric names that Prometheus changes or rejects, that lack their
// unit, or that are listed twice.
func TestNames(t *testing.T) {
	seen := make(map[string]bool)
	for _, m := range Metrics {
		if !wellFormed.MatchString(m.Name) || seen[m.Name] || m.Help == "" {
			t.Errorf("%+v is malformed or listed twice", m)
		}
		seen[m.Name] = true
		suffix := "_" + m.Unit
		if m.Kind == Counter {
			suffix = "_total"
		}
		if !strings.HasSuffix(m.Name, suffix) {
			t.Errorf("%s: want suffix %s", m.Name, suffix)
		}
	}
}

// Guards against listed metrics that are missing from a scrape, and against two
// reporters in one process that share values.
func TestScrape(t *testing.T) {
	failed := func(err error) { t.Error(err) }
	first, second := New(map[string]string{"instance": "entry-1"}, time.Hour, failed), New(nil, time.Hour, failed)
	for _, m := range Metrics {
		tags := make(map[string]string)
		for _, tag := range m.Tags {
			tags[tag] = "a-b"
		}
		scope := first.Scope().Tagged(tags)
		switch m.Kind {
		case Counter:
			scope.Counter(m.Name).Inc(1)
		case Gauge:
			scope.Gauge(m.Name).Update(1)
		case Histogram:
			scope.Histogram(m.Name, tally.DurationBuckets(SecondsBuckets)).RecordDuration(time.Second)
		}
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	first.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, m := range Metrics {
		if !regexp.MustCompile(`(?m)^daisylane_` + m.Name + `(_bucket)?\{.*instance="entry-1"`).MatchString(w.Body.String()) {
			t.Errorf("%s is missing", m.Name)
		}
	}
	if err := second.Close(); err != nil {
		t.Fatal(err)
	}
	w = httptest.NewRecorder()
	second.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	if strings.Contains(w.Body.String(), Requests) {
		t.Error("reporters share values")
	}
}
