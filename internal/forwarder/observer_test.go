package forwarder_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/internal/forwarder"
	"daisylane/platform/platformtest"
)

// observer records what a pool reports.
type observer struct {
	mu   sync.Mutex
	seen []string
}

func (o *observer) add(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen = append(o.seen, what)
}
func (o *observer) Dialled(string) { o.add("dialled") }
func (o *observer) Refused(string) { o.add("refused") }
func (o *observer) Closed(string)  { o.add("closed") }

// Guards against the end of a target that is not reported before the next request to its
// address is sent, and against an end that is reported without a sign of it.
func TestObserver(t *testing.T) {
	send := func(t *testing.T, p *forwarder.Pool, r *platformtest.Runner) *forwarder.Response {
		a, err := p.Send(t.Context(), r.Addr(), request("id-1"))
		if err != nil {
			return nil
		}
		return a
	}
	whole := func(t *testing.T, p *forwarder.Pool, r *platformtest.Runner) {
		if a := send(t, p, r); a != nil {
			_ = a.Drain()
			a.Close()
		}
	}
	restart := func(t *testing.T, r *platformtest.Runner) {
		r.Close()
		if err := r.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	stream := platformtest.Response{Events: 100, Pause: 10 * time.Millisecond}
	tests := []struct {
		name   string
		script platformtest.Response
		play   func(t *testing.T, p *forwarder.Pool, r *platformtest.Runner)
		want   string
	}{
		{"whole answers", platformtest.Response{Body: "x"}, func(t *testing.T, p *forwarder.Pool, r *platformtest.Runner) { whole(t, p, r); whole(t, p, r) }, "dialled"},
		{"answer that ends with the connection", platformtest.Response{Body: "x", CloseDelimited: true}, func(t *testing.T, p *forwarder.Pool, r *platformtest.Runner) {
			whole(t, p, r)
			whole(t, p, r)
		}, "dialled dialled"},
		{"the same, its end not read yet", platformtest.Response{Body: "x", CloseDelimited: true}, func(t *testing.T, p *forwarder.Pool, r *platformtest.Runner) {
			a := send(t, p, r)
			time.Sleep(20 * time.Millisecond)
			whole(t, p, r)
			a.Close()
		}, "dialled dialled"},
		{"given up by this side", stream, func(t *testing.T, p *forwarder.Pool, r *platformtest.Runner) { send(t, p, r).Close() }, "dialled"},
		{"reset instead of an answer", platformtest.Response{Reset: true}, whole, "dialled closed"},
		{"cut off in a stream", platformtest.Response{Events: 3, CutAfter: 1}, whole, "dialled closed"},
		{"refused", platformtest.Response{}, func(t *testing.T, p *forwarder.Pool, r *platformtest.Runner) { r.Close(); whole(t, p, r) }, "refused"},
		{"idle connection, used again", platformtest.Response{Body: "x"}, func(t *testing.T, p *forwarder.Pool, r *platformtest.Runner) {
			whole(t, p, r)
			restart(t, r)
			whole(t, p, r)
		}, "dialled closed dialled"},
		{"idle connection, expired", platformtest.Response{Body: "x"}, func(t *testing.T, p *forwarder.Pool, r *platformtest.Runner) {
			whole(t, p, r)
			restart(t, r)
			p.CloseExpired(time.Now().Add(time.Minute))
		}, "dialled closed"},
		{"idle connection that expires in order", platformtest.Response{Body: "x"}, func(t *testing.T, p *forwarder.Pool, r *platformtest.Runner) {
			whole(t, p, r)
			p.CloseExpired(time.Now().Add(time.Minute))
		}, "dialled"},
		{"in use, its end not read yet", stream, func(t *testing.T, p *forwarder.Pool, r *platformtest.Runner) {
			a := send(t, p, r)
			restart(t, r)
			b := send(t, p, r)
			b.Close()
			a.Close()
		}, "dialled closed dialled"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := platformtest.NewRunner("runner-1", tt.script)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Close)
			o := &observer{}
			tt.play(t, forwarder.New(requestID, forwarder.WithObserver(o)), r)
			if got := strings.Join(o.seen, " "); got != tt.want {
				t.Errorf("reported %q, want %q", got, tt.want)
			}
		})
	}
}
