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

func ask(id, digest string) Request {
	return Request{ID: id, Shard: 3, Account: "a", Service: "booking", Key: "k", Digest: []byte(digest)}
}

func outcome(id string, state State) Outcome {
	return Outcome{ID: id, Account: "a", Service: "booking", Key: "k", State: state, Status: 201, Payload: []byte("ok")}
}

// journal carries out appends and collects the answers.
type journal struct {
	c       *Claimer
	entries []Entry
}

func (j *journal) run(now time.Time, actions []Action) []string {
	var list []string
	for len(actions) > 0 {
		act := actions[0]
		actions = actions[1:]
		switch act := act.(type) {
		case Append:
			j.entries = append(j.entries, act.Entry)
			actions = append(actions, j.c.Durable(now, act.Token)...)
		case Answer:
			list = append(list, act.ID+" "+string(act.State))
		case Concluded:
			list = append(list, act.ID+" concluded")
		case Refuse:
			list = append(list, act.ID+" refused "+act.Reason)
		}
	}
	return list
}

// Guards against wrong answers to repeated keys, foreign outcomes and outcomes
// that change afterwards.
func TestStates(t *testing.T) {
	j := &journal{c: New("h1")}
	steps := []struct {
		name    string
		actions func(now time.Time) []Action
		want    string
	}{
		{"unknown key", func(now time.Time) []Action { return j.c.Conclude(now, outcome("q1", Done)) }, "[q1 refused absent]"},
		{"first", func(now time.Time) []Action { return j.c.Claim(now, ask("q1", "d")) }, "[q1 new]"},
		{"second", func(now time.Time) []Action { return j.c.Claim(now, ask("q2", "d")) }, "[q2 running]"},
		{"same request", func(now time.Time) []Action { return j.c.Claim(now, ask("q1", "d")) }, "[q1 running]"},
		{"digest", func(now time.Time) []Action { return j.c.Claim(now, ask("q2", "e")) }, "[q2 mismatch]"},
		{"not run", func(now time.Time) []Action { return j.c.Conclude(now, outcome("q1", NotRun)) }, "[q1 concluded]"},
		{"again", func(now time.Time) []Action { return j.c.Claim(now, ask("q2", "d")) }, "[q2 new]"},
		{"foreign", func(now time.Time) []Action { return j.c.Conclude(now, outcome("q1", Done)) }, "[q1 refused owner]"},
		{"holder lost", func(now time.Time) []Action { return j.c.Lost(now, "h1") }, "[]"},
		{"unknown", func(now time.Time) []Action { return j.c.Claim(now, ask("q3", "d")) }, "[q3 unknown]"},
		{"late outcome", func(now time.Time) []Action { return j.c.Conclude(now, outcome("q2", Done)) }, "[q2 concluded]"},
		{"repeated", func(now time.Time) []Action { return j.c.Conclude(now, outcome("q2", Done)) }, "[q2 concluded]"},
		{"changed", func(now time.Time) []Action { return j.c.Conclude(now, outcome("q2", NotRun)) }, "[q2 refused outdated]"},
		{"replayed", func(now time.Time) []Action { return j.c.Claim(now, ask("q3", "d")) }, "[q3 done]"},
		{"invalid", func(now time.Time) []Action { return j.c.Claim(now, ask("", "d")) }, "[ refused body]"},
	}
	for i, s := range steps {
		now := start.Add(time.Duration(i) * time.Second)
		if got := fmt.Sprint(j.run(now, s.actions(now))); got != s.want {
			t.Errorf("%s: %s, want %s", s.name, got, s.want)
		}
	}
	if c, _ := j.c.Get("a", "booking", "k"); c.Status != 201 || string(c.Payload) != "ok" {
		t.Errorf("claim = %+v", c)
	}
	later := start.Add(keepPeriod + time.Hour)
	if got := fmt.Sprint(j.run(later, j.c.Claim(later, ask("q4", "other")))); got != "[q4 new]" {
		t.Errorf("after the age limit: %s", got)
	}
}

// Guards against a refused claim that stays running, and against one that runs
// although its request was refused.
func TestDurableLate(t *testing.T) {
	c := New("h1")
	token := c.Claim(start, ask("q1", "d"))[0].(Append).Token
	now := start.Add(durableTimeout)
	if r, ok := c.Tick(now)[0].(Refuse); !ok || r.Reason != Platform {
		t.Errorf("tick: %+v, want a refusal", r)
	}
	if r, ok := c.Claim(now, ask("q2", "d"))[0].(Refuse); !ok || r.Reason != Platform {
		t.Errorf("claim: %+v, want a refusal", r)
	}
	j := &journal{c: c}
	if got := j.run(now, c.Durable(now, token)); len(got) != 0 {
		t.Errorf("durable: %v, want no answer", got)
	}
	if got := fmt.Sprint(j.run(now, c.Claim(now, ask("q3", "d")))); got != "[q3 new]" {
		t.Errorf("claim: %s, want new", got)
	}
}

// Guards against a call that is allowed twice when holders crash, entries become
// durable or not, folds happen at any time and requests are repeated (R5).
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder, now, next, granted := 1, start, 0, 0
		c := New("h1")
		var log []Entry // entries that reached the journal
		var queue []Append
		object, owner := Object{Shard: 3}, ""
		take := func(actions []Action) {
			for _, act := range actions {
				switch act := act.(type) {
				case Append:
					queue = append(queue, act)
				case Answer:
					if act.State == Granted {
						granted++
						owner = act.ID
					}
				}
			}
			if granted > 1 {
				t.Fatalf("the call was allowed %d times", granted)
			}
		}
		commit := func() {
			act := queue[0]
			queue = queue[1:]
			log = append(log, act.Entry)
			take(c.Durable(now, act.Token))
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				next++
				take(c.Claim(now, ask(fmt.Sprintf("q%d", next), "d")))
			case 2:
				if len(queue) > 0 {
					commit()
				}
			case 3:
				take(c.Tick(now))
			case 4:
				if owner != "" {
					take(c.Conclude(now, outcome(owner, rapid.SampledFrom([]State{Done, Unknown}).Draw(t, "state"))))
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
				// The holder crashes. Its last entry may have reached the journal.
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
				take(c.Lost(now, former))
			}
		}
	})
}

// Guards against objects over the platform's limit and against claims that are
// dropped while they count.
func TestObjectSize(t *testing.T) {
	var claims []Claim
	for i := range 40 {
		claims = append(claims, Claim{
			Shard: 3, Account: "a", Service: "s", Key: fmt.Sprint(i), Digest: []byte("d"), State: Done,
			Request: "q", Rev: 1, Time: start.Add(time.Duration(i) * time.Hour), Payload: make([]byte, maxPayloadBytes),
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
		if c.State == Done && len(c.Payload) == 0 || c.State == Unknown && len(c.Payload) > 0 {
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

// Guards against an outcome that is undone when an older journal is replayed
// after a newer one or after the folded object.
func TestReplayOrder(t *testing.T) {
	j := &journal{c: New("h1")}
	j.run(start, j.c.Claim(start, ask("q1", "d")))
	j.run(start, j.c.Conclude(start, outcome("q1", Done)))
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
		if claim, _ := c.Get("a", "booking", "k"); claim.State != Done {
			t.Errorf("claim is %s, want done", claim.State)
		}
	}
	if err := fromObject.Replay(Entry{Shard: 3, Data: []byte(`{"state":"new"}`)}); err == nil {
		t.Error("an invalid entry is accepted")
	}
}

// Guards against a call that is sent before its claim is durable: a router
// repeats a claim under the same request id after a lost answer and takes
// "running" as the right to send.
func TestRepeatedClaimWaitsForJournal(t *testing.T) {
	c := New("entry-1")
	first := c.Claim(start, ask("r1", "d"))
	if again := c.Claim(start, ask("r1", "d")); len(again) != 0 {
		t.Fatalf("before it is durable: %+v", again)
	}
	if other := c.Claim(start, ask("r2", "d")); len(other) != 1 || other[0].(Answer).State != Running {
		t.Errorf("another request: %+v", other)
	}
	late := start.Add(durableTimeout)
	c.Tick(late)
	undo := c.Durable(late, first[0].(Append).Token)
	if len(undo) != 1 {
		t.Fatalf("after the refusal: %+v", undo)
	}
	if again := c.Claim(late, ask("r1", "d")); len(again) != 1 || again[0].(Refuse).Reason != Platform {
		t.Errorf("while the refusal is journaled: %+v", again)
	}
}
