package quarantiner

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a preview that judges differently from a check, or that leaves behind what a
// check changes: the positions of parts and the requests in quarantine.
func TestPreviewRestores(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMonitor()
	for i := range 6 {
		m.RecordCrash(now.Add(time.Duration(i)*time.Second), Report{Service: "s", Target: fmt.Sprint(i), Begun: true, About: true, Parts: []uint64{1, 2, 3}})
	}
	now = now.Add(10 * time.Second)
	requests := Fingerprints(Content{Method: "GET", URI: "/x"})
	m.RecordCrash(now, Report{Service: "s", Target: "other", Requests: requests})
	m.quarantined[requests[0]] = nil // the next judgement drops it
	state := func() string {
		text := fmt.Sprint(m.judgedAt, len(m.quarantined), m.isQuarantined(requests[0]))
		for _, id := range (Subject{Parts: []uint64{1, 2, 3}}).Fingerprints() {
			text += fmt.Sprint(" ", *m.suspicions[id])
		}
		return text
	}
	tests := []Subject{
		{Service: "s", Parts: []uint64{3, 2, 1, 4}},
		{Service: "s", Requests: requests},
		{Service: "s", Parts: []uint64{9, 8}},
	}
	for _, s := range tests {
		before := state()
		got := m.Preview(now, s)
		if after := state(); after != before {
			t.Errorf("%+v: state was %s, is %s", s, before, after)
		}
		if want := m.Judge(now, s); got != want {
			t.Errorf("%+v: preview %+v, judged %+v", s, got, want)
		}
	}
}
