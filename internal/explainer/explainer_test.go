package explainer

import (
	"flag"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0).UTC()

// Guards against JSON that the operator's explain command cannot decode.
func TestJSON(t *testing.T) {
	e := New(2)
	e.Add("r1", Record{Time: start, Step: "choose", Decision: "side-3", Reason: "prefix", Details: []Field{
		Duration("wait", 1500*time.Millisecond), Int("load", 3), Float("worth", 0.5), Bool("retry", true), Name("scope", "centre"),
	}})
	got, err := e.JSON("r1")
	want := `{"id":"r1","records":[{"time":"2023-11-14T22:13:20Z","step":"choose","decision":"side-3","reason":"prefix",` +
		`"details":{"load":3,"retry":true,"scope":"centre","wait":"1.5s","worth":0.5}}]}`
	if err != nil || string(got) != want {
		t.Errorf("JSON = %s, %v\nwant %s", got, err, want)
	}
	if _, err := e.JSON("other"); !errors.Is(err, ErrUnknown) {
		t.Errorf("unknown request: %v", err)
	}
}

// Guards against text from callers, which can contain secrets, in records, and
// against numbers that JSON cannot represent.
func TestUnsafeValues(t *testing.T) {
	e := New(1)
	e.Add("r", Record{Decision: "key=secret", Reason: "the secret", Details: []Field{Name("target", "Bearer secret"), Float("load", math.Inf(1)), Float("wait", math.NaN())}})
	got, err := e.JSON("r")
	if err != nil || strings.Contains(string(got), "secret") {
		t.Errorf("JSON = %s, %v", got, err)
	}
}

// Guards against unbounded memory and against loss of the newest record.
func TestBounds(t *testing.T) {
	_ = flag.Set("rapid.seed", "3")
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		e := New(size)
		for i, n := range rapid.SliceOfN(rapid.IntRange(0, 9), 1, 300).Draw(t, "requests") {
			id, step := fmt.Sprint(n), fmt.Sprint(i)
			e.Add(id, Record{Step: step})
			req, err := e.Get(id)
			if err != nil || req.Records[len(req.Records)-1].Step != step {
				t.Fatalf("newest record is missing: %+v, %v", req, err)
			}
			if len(e.requests) > size || len(req.Records) > maxRecords {
				t.Fatalf("%d requests, %d records", len(e.requests), len(req.Records))
			}
			if got := len(e.Recent(100)); got != len(e.requests) {
				t.Fatalf("Recent lists %d of %d requests", got, len(e.requests))
			}
		}
	})
}
