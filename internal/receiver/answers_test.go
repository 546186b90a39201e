package receiver_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"daisylane/internal/follower"
	"daisylane/platform/platformtest"
)

// Guards against an answer of a target that reaches the caller as a complete one although it
// is broken, against a broken answer after which a call that may not be repeated is sent
// again, and against sound answers that are not served.
func TestAnswers(t *testing.T) {
	const fields = "Daisylane-Attempt-Id: ID\r\nDaisylane-Response-Seal: s\r\n"
	const event = "id: 1\ndata: a\n\n"
	routes := []struct {
		path, fields, body string
		runs               int64 // with a broken answer
		used               int64 // tokens, if the body arrives
	}{
		{"/book/7", "", "hello", 1, 0},
		{"/look/7", "", "hello", 2, 0},
		{"/plan/7", "Content-Type: text/event-stream\r\n", event, 1, 84},
	}
	for _, rt := range routes {
		all := append(platformtest.SoundAnswers(fields+rt.fields, rt.body), platformtest.BrokenAnswers(fields+rt.fields, rt.body)...)
		for _, a := range all {
			t.Run(rt.path+" "+a.Name, func(t *testing.T) {
				t.Parallel()
				addr, requests := platformtest.ServeAnswer(t, a)
				f := startAt(t, addr, addr)
				upload := "x"
				if a.Early {
					upload = strings.Repeat("x", 4<<20)
				}
				res, body, err := f.call(t, rt.path, upload, map[string]string{"Daisylane-Deadline-Ms": strconv.FormatInt(answerDeadline.Milliseconds(), 10)})
				whole := err == nil && res.StatusCode < 300
				if whole != a.Whole || a.Whole && body != a.Body {
					t.Errorf("got %v %q, %v, want a whole answer: %v", res, body, err, a.Whole)
				}
				if !a.Whole && err == nil && (res.StatusCode != 502 || res.Header.Get("Daisylane-Response-Seal") != "") {
					t.Errorf("got %v in place of a broken answer", res)
				}
				if n := requests.Load(); n != rt.runs && !(a.Whole && n == 1) {
					t.Errorf("targets got %d requests", n)
				}
				f.Close() // waits until the request has ended
				if open, used := f.budgets.totals(); open != 0 || (used != 0 || body == rt.body) && used != rt.used {
					t.Errorf("%d tokens reserved and %d billed after body %q", open, used, body)
				}
			})
		}
	}
}

// answerDeadline leaves time for two attempts with large requests on a busy machine.
const answerDeadline = 9 * time.Second

// startAt is start for targets at the given addresses, each in both services, and with large
// bodies.
func startAt(t *testing.T, addrs ...string) *fixture {
	f := start(t)
	f.receiver.SetTable(tableWith(t, 2, 8<<20, answerDeadline))
	f.dispatcher.WithRoster(func(r *follower.Roster) {
		for i, addr := range addrs {
			for _, service := range []string{"engine", "booking"} {
				r.Put(follower.Target{ID: "i-" + string(rune('0'+i)) + service, Service: service, Addr: addr, Centre: "a", Slots: 8})
			}
		}
	})
	return f
}
