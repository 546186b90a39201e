package claimer

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"daisylane/internal/checker"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "13", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0).UTC()

func newRequest(id, digest string) Request {
	return Request{ID: id, Shard: 3, Account: "a", Service: "booking", Key: "k", Digest: []byte(digest)}
}

func newOutcome(id string, state State) Outcome {
	return Outcome{ID: id, Account: "a", Service: "booking", Key: "k", State: state, Status: 201, Payload: []byte("ok")}
}

// journal performs appends at once and collects the resulting answers as text.
type journal struct {
	c       *Claimer
	entries []Entry
}

func (j *journal) perform(now time.Time, actions []Action) []string {
	var list []string
	for len(actions) > 0 {
		act := actions[0]
		actions = actions[1:]
		switch act := act.(type) {
		case Append:
			j.entries = append(j.entries, act.Entry)
			actions = append(actions, j.c.AppendDurable(now, act.Token)...)
		case Answer:
			list = append(list, act.ID+" "+string(act.State))
		case Concluded:
			list = append(list, act.ID+" concluded")
		case Refused:
			list = append(list, act.ID+" refused "+act.Reason)
		}
	}
	return list
}

// Guards against wrong answers to requests with a known key, and against outcomes from
// a request that does not own the claim or that change a final outcome.
func TestClaimStates(t *testing.T) {
	j := &journal{c: New("h1")}
	steps := []struct {
		name    string
		actions func(now time.Time) []Action
		want    string
	}{
		{"unknown key", func(now time.Time) []Action { return j.c.Conclude(now, newOutcome("q1", StateDone)) }, "[q1 refused absent]"},
		{"first", func(now time.Time) []Action { return j.c.Claim(now, newRequest("q1", "d")) }, "[q1 new]"},
		{"second", func(now time.Time) []Action { return j.c.Claim(now, newRequest("q2", "d")) }, "[q2 running]"},
		{"same request", func(now time.Time) []Action { return j.c.Claim(now, newRequest("q1", "d")) }, "[q1 running]"},
		{"digest", func(now time.Time) []Action { return j.c.Claim(now, newRequest("q2", "e")) }, "[q2 mismatch]"},
		{"not run", func(now time.Time) []Action { return j.c.Conclude(now, newOutcome("q1", StateNotRun)) }, "[q1 concluded]"},
		{"again", func(now time.Time) []Action { return j.c.Claim(now, newRequest("q2", "d")) }, "[q2 new]"},
		{"other request", func(now time.Time) []Action { return j.c.Conclude(now, newOutcome("q1", StateDone)) }, "[q1 refused owner]"},
		{"holder crashed", func(now time.Time) []Action { return j.c.HolderCrashed(now, "h1") }, "[]"},
		{"unknown", func(now time.Time) []Action { return j.c.Claim(now, newRequest("q3", "d")) }, "[q3 unknown]"},
		{"late outcome", func(now time.Time) []Action { return j.c.Conclude(now, newOutcome("q2", StateDone)) }, "[q2 concluded]"},
		{"repeated", func(now time.Time) []Action { return j.c.Conclude(now, newOutcome("q2", StateDone)) }, "[q2 concluded]"},
		{"changed", func(now time.Time) []Action { return j.c.Conclude(now, newOutcome("q2", StateNotRun)) }, "[q2 refused outdated]"},
		{"replayed", func(now time.Time) []Action { return j.c.Claim(now, newRequest("q3", "d")) }, "[q3 done]"},
		{"invalid", func(now time.Time) []Action { return j.c.Claim(now, newRequest("", "d")) }, "[ refused body]"},
	}
	for i, s := range steps {
		now := start.Add(time.Duration(i) * time.Second)
		if got := fmt.Sprint(j.perform(now, s.actions(now))); got != s.want {
			t.Errorf("%s: %s, want %s", s.name, got, s.want)
		}
	}
	if c, _ := j.c.Get("a", "booking", "k"); c.Status != 201 || string(c.Payload) != "ok" {
		t.Errorf("claim = %+v", c)
	}
	later := start.Add(retentionPeriod + time.Hour)
	if got := fmt.Sprint(j.perform(later, j.c.Claim(later, newRequest("q4", "other")))); got != "[q4 new]" {
		t.Errorf("after the retention period: %s, want new", got)
	}
}

// Guards against a claim that becomes durable after its request was refused for a
// timeout: it must not be granted, and must not stay running forever.
func TestDurableAfterTimeout(t *testing.T) {
	c := New("h1")
	token := c.Claim(start, newRequest("q1", "d"))[0].(Append).Token
	now := start.Add(durableTimeout)
	if r, ok := c.Tick(now)[0].(Refused); !ok || r.Reason != ReasonPlatform {
		t.Errorf("tick: %+v, want a refusal", r)
	}
	if r, ok := c.Claim(now, newRequest("q2", "d"))[0].(Refused); !ok || r.Reason != ReasonPlatform {
		t.Errorf("claim: %+v, want a refusal", r)
	}
	j := &journal{c: c}
	if got := j.perform(now, c.AppendDurable(now, token)); len(got) != 0 {
		t.Errorf("durable: %v, want no answer", got)
	}
	if got := fmt.Sprint(j.perform(now, c.Claim(now, newRequest("q3", "d")))); got != "[q3 new]" {
		t.Errorf("claim: %s, want new", got)
	}
}

// Guards against a call that is granted to more than one request (requirement R5), over random
// schedules of retried requests, folds, timeouts and holder crashes with and without
// the last journal entry.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder, now, next, granted := 1, start, 0, 0
		c := New("h1")
		var log []Entry // entries that reached the journal
		var queue []Append
		object, owner := Object{Shard: 3}, ""
		perform := func(actions []Action) {
			for _, act := range actions {
				switch act := act.(type) {
				case Append:
					queue = append(queue, act)
				case Answer:
					if act.State == StateNew {
						granted++
						owner = act.ID
					}
				}
			}
			if granted > 1 {
				t.Fatalf("the call was granted %d times", granted)
			}
		}
		commit := func() {
			act := queue[0]
			queue = queue[1:]
			log = append(log, act.Entry)
			perform(c.AppendDurable(now, act.Token))
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				next++
				perform(c.Claim(now, newRequest(fmt.Sprintf("q%d", next), "d")))
			case 2:
				if len(queue) > 0 {
					commit()
				}
			case 3:
				perform(c.Tick(now))
			case 4:
				if owner != "" {
					perform(c.Conclude(now, newOutcome(owner, rapid.SampledFrom([]State{StateDone, StateUnknown}).Draw(t, "state"))))
				}
			case 5:
				folded, err := c.Fold(now, object)
				if err != nil {
					t.Fatal(err)
				}
				data, err := checker.Encode(folded)
				if err != nil {
					t.Fatal(err)
				}
				if object, err = checker.Decode[Object](data); err != nil {
					t.Fatal(err)
				}
				c.Folded(object)
			case 6:
				// The holder crashes. Its entry in flight may have reached the journal.
				if len(queue) > 0 && rapid.Bool().Draw(t, "reached") {
					log = append(log, queue[0].Entry)
				}
				former := fmt.Sprintf("h%d", holder)
				holder++
				c, queue = New(fmt.Sprintf("h%d", holder)), nil
				c.Load(object)
				for _, e := range log {
					if err := c.Replay(e); err != nil {
						t.Fatal(err)
					}
				}
				perform(c.HolderCrashed(now, former))
			}
		}
	})
}

// Guards against objects over the platform's size limit, and against claims that are
// dropped before the end of the retention period.
func TestObjectSize(t *testing.T) {
	var claims []Claim
	for i := range 40 {
		claims = append(claims, Claim{
			Shard: 3, Account: "a", Service: "s", Key: fmt.Sprint(i), Digest: []byte("d"), State: StateDone,
			Request: "q", Revision: 1, ChangedAt: start.Add(time.Duration(i) * time.Hour), Payload: make([]byte, maxPayloadBytes),
		})
	}
	now := start.Add(39 * time.Hour)
	o, err := Object{Shard: 3}.With(now, claims...)
	if err != nil {
		t.Fatal(err)
	}
	data, err := checker.Encode(o)
	if err != nil || len(data) > maxObjectBytes+1024 || len(o.Claims) != 24 {
		t.Errorf("%d claims in %d bytes, err = %v", len(o.Claims), len(data), err)
	}
	for _, c := range o.Claims {
		if c.State == StateDone && len(c.Payload) == 0 || c.State == StateUnknown && len(c.Payload) > 0 {
			t.Errorf("claim %s is %s with %d bytes", c.Key, c.State, len(c.Payload))
		}
	}
	many := make([]Claim, 9000)
	for i := range many {
		many[i] = claims[39].withoutOutcome()
		many[i].Key = fmt.Sprint("key-", i)
	}
	if _, err := o.With(now, many...); !errors.Is(err, ErrFull) {
		t.Errorf("err = %v, want ErrFull", err)
	}
}

// Guards against an outcome that is lost when an older journal entry is replayed after a
// newer one or after the folded object.
func TestReplayOrder(t *testing.T) {
	j := &journal{c: New("h1")}
	j.perform(start, j.c.Claim(start, newRequest("q1", "d")))
	j.perform(start, j.c.Conclude(start, newOutcome("q1", StateDone)))
	o, err := j.c.Fold(start, Object{Shard: 3})
	if err != nil {
		t.Fatal(err)
	}
	fromObject, fromJournals := New("h2"), New("h2")
	fromObject.Load(o)
	for i, c := range []*Claimer{fromObject, fromJournals} {
		if i == 1 {
			if err := c.Replay(j.entries[1]); err != nil {
				t.Fatal(err)
			}
		}
		if err := c.Replay(j.entries[0]); err != nil {
			t.Fatal(err)
		}
		if claim, _ := c.Get("a", "booking", "k"); claim.State != StateDone {
			t.Errorf("claim is %s, want done", claim.State)
		}
	}
	if err := fromObject.Replay(Entry{Shard: 3, Data: []byte(`{"state":"new"}`)}); err == nil {
		t.Error("replay accepted an invalid entry")
	}
}

// Guards against a call that is sent before its claim is durable. After a lost response,
// a router retries its claim under the same request id and takes the state "running" of
// its own claim as the permission to send.
func TestRetriedClaimWaitsForJournal(t *testing.T) {
	c := New("entry-1")
	first := c.Claim(start, newRequest("r1", "d"))
	if again := c.Claim(start, newRequest("r1", "d")); len(again) != 0 {
		t.Fatalf("retried before it is durable: %+v, want no answer", again)
	}
	if other := c.Claim(start, newRequest("r2", "d")); len(other) != 1 || other[0].(Answer).State != StateRunning {
		t.Errorf("another request: %+v, want running", other)
	}
	late := start.Add(durableTimeout)
	c.Tick(late)
	notRun := c.AppendDurable(late, first[0].(Append).Token)
	if len(notRun) != 1 {
		t.Fatalf("durable after the refusal: %+v, want one append", notRun)
	}
	if again := c.Claim(late, newRequest("r1", "d")); len(again) != 1 || again[0].(Refused).Reason != ReasonPlatform {
		t.Errorf("retried before the not-run state is durable: %+v, want a refusal", again)
	}
}
