package executor

import (
	"net/http"
	"strings"
	"testing"

	"daisylane/internal/wirepb"
	"daisylane/platform/platformtest"
)

// Guards against a call that is sent twice, and against sound answers of a service that a router
// does not get.
func TestAnswersOfService(t *testing.T) {
	t.Parallel()
	for _, a := range platformtest.SoundAnswers("", "ok") {
		t.Run(a.Name, func(t *testing.T) {
			t.Parallel()
			addr, requests := platformtest.ServeAnswer(t, a)
			f := startSide(t, Target{URL: "http://" + addr, Name: "booking", Kind: KindService}, &fakePlatform{})
			f.waitFor("registration", func() bool { return f.side.Status().Registered })
			m := runFrame(1, 9)
			if m.GetRun().Method = http.MethodPost; a.Early {
				m.GetRun().Payload = []byte(strings.Repeat("x", 3<<20))
			}
			body, end := "", (*wirepb.End)(nil)
			for s := f.openStream(f.pool, "q1", m); end == nil; {
				frame, err := s.Receive()
				if err != nil {
					t.Fatal(err)
				}
				body += string(frame.GetData().GetBytes())
				end = frame.GetEnd()
			}
			whole := end.GetOutcome() == outcomeComplete
			if whole != a.Whole || a.Whole && body != a.Body || requests.Load() != 1 {
				t.Errorf("got %q, %v after %d requests, want a whole answer: %v", body, end, requests.Load(), a.Whole)
			}
		})
	}
}
