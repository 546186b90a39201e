package executor

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"daisylane/internal/wirepb"
	"daisylane/platform/platformtest"
)

// Guards against a broken answer of a target that is read as a complete one, and against sound
// answers that are not read.
func TestAnswers(t *testing.T) {
	t.Parallel()
	platformtest.CheckAnswers(t, "", "ok", func(t *testing.T, addr string, _ platformtest.Answer) (string, error) {
		client := newClient(true)
		client.Timeout = 2 * time.Second
		res, err := client.Post("http://"+addr, "", http.NoBody)
		if err != nil {
			return "", err
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		return string(body), err
	})
}

// Guards against a broken answer that a router gets as a complete one, against a call that
// is sent again after one, and against sound answers that are not passed on.
func TestAnswersOfService(t *testing.T) {
	t.Parallel()
	all := append(platformtest.SoundAnswers("", "ok"), platformtest.ResetAnswers("", "ok")...)
	all = append(all, platformtest.StatusAnswers("", "ok")[0], platformtest.NameAnswers("", "ok")[0], platformtest.FramingAnswers("", "ok")[0])
	for _, a := range all {
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
