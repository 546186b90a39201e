package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const service = "pool"

const (
	common = uint64(iota + 1) // first part of all requests
	deadly                    // crashes targets
	other                     // shared by sound requests and some deadly ones
	fourth
)

const (
	classWindow  = 2 * time.Second // the stable window
	beginDelay   = 30 * time.Millisecond
	answerDelay  = 70 * time.Millisecond
	noticeDelay  = 200 * time.Millisecond // until instances know that a target started again
	never        = time.Duration(-1)
	atBegin      = beginDelay
	afterAnswer  = answerDelay + 10*time.Millisecond
	classTargets = 12
)

// poisonFleet is instances in front of targets that crash under what is poison.
type poisonFleet struct {
	model[CrashRecord, *Monitor]
	targets []*poisonTarget
	due     []dueEvent
	crashAt time.Duration // after the start of a request
	down    time.Duration
	engine  bool
	affine  bool // requests go to the same target, as those with a common prefix do

	calls   []*poisonCall
	crashes map[string][]time.Time // by poison
}

type dueEvent struct {
	at time.Time
	do func()
}

type poisonTarget struct {
	id      Target
	running []*poisonCall
	up      bool
}

// poisonCall is a request and what became of it.
type poisonCall struct {
	subject  Subject
	poison   string // empty: healthy
	instance int
	from     time.Time
	sent     []time.Time
	begun    bool
	served   bool
}

func newPoisonFleet(n int, crashAt, down time.Duration, engine bool) *poisonFleet {
	f := &poisonFleet{model: newModel[CrashRecord](n, noticeDelay, NewMonitor), crashAt: crashAt, down: down, engine: engine, crashes: make(map[string][]time.Time)}
	for _, m := range f.instances {
		m.ObserveList(f.now, nil, false)
	}
	for i := range classTargets {
		f.targets = append(f.targets, &poisonTarget{id: Target{ID: fmt.Sprint("i-", i)}, up: true})
	}
	return f
}

func (f *poisonFleet) after(d time.Duration, do func()) {
	f.due = append(f.due, dueEvent{f.now.Add(d), do})
}

// play lets time pass.
func (f *poisonFleet) play(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(f.step)
		for i := 0; i < len(f.due); {
			if e := f.due[i]; !e.at.After(f.now) {
				f.due = slices.Delete(f.due, i, i+1)
				e.do()
			} else {
				i++
			}
		}
		for _, m := range f.instances {
			m.Settle(f.now)
		}
	}
}

// call sends a request to an instance. Parts count at engines only.
func (f *poisonFleet) call(poison, path, body string, parts ...uint64) {
	f.callOf(poison, path, body, append(slices.Clip(parts), rand.Uint64())...)
}

// callOf does the same with all parts of the prompt.
func (f *poisonFleet) callOf(poison, path, body string, parts ...uint64) {
	if !f.engine {
		parts = nil
	}
	c := &poisonCall{poison: poison, instance: rand.IntN(len(f.instances)), from: f.now, subject: Subject{
		Service: service, Parts: parts, Requests: Fingerprints(Content{Account: "t1", Method: "POST", URI: path, Body: []byte(body), Parts: parts}),
	}}
	f.calls = append(f.calls, c)
	f.send(c)
}

func (f *poisonFleet) send(c *poisonCall) {
	m := f.instances[c.instance]
	up := slices.DeleteFunc(slices.Clone(f.targets), func(t *poisonTarget) bool { return !t.up })
	if len(up) == 0 {
		return
	}
	switch v := m.Judge(f.now, c.subject); v.Outcome {
	case Quarantined:
		return
	case TrialDue:
		w, ok := m.BeginTrial(v.Fingerprint)
		if !ok || !f.claim(m, w, func() { m.EndClaim(v.Fingerprint) }) {
			return
		}
	default:
		if len(c.sent) == 0 {
			m.RecordSent(c.subject)
		}
	}
	t := up[rand.IntN(len(up))]
	if f.affine {
		t = up[0]
	}
	id, sentAt := t.id, f.now
	c.sent, c.begun = append(c.sent, f.now), false
	t.running = append(t.running, c)
	still := func(do func()) func() {
		return func() {
			if t.up && t.id == id {
				do()
			}
		}
	}
	f.after(beginDelay, still(func() { c.begun = true }))
	if c.poison != "" {
		f.after(f.crashAt, still(func() { f.crash(t, c.poison) }))
		if f.crashAt < answerDelay {
			return
		}
	}
	f.after(answerDelay, still(func() {
		t.running = slices.DeleteFunc(t.running, func(other *poisonCall) bool { return other == c })
		c.served = true
		m.RecordWhole(f.now, id, sentAt, c.subject)
	}))
}

// crash ends a target. Requests that may be repeated go to another one.
func (f *poisonFleet) crash(t *poisonTarget, poison string) {
	f.crashes[poison] = append(f.crashes[poison], f.now)
	id, running := t.id, t.running
	t.running, t.up = nil, f.down == 0
	t.id.Incarnation++
	f.after(noticeDelay, func() {
		for _, m := range f.instances {
			m.RecordEnd(f.now, id)
		}
	})
	if f.down > 0 {
		f.after(f.down, func() { t.up = true })
	}
	for _, c := range running {
		m := f.instances[c.instance]
		r := Report{Service: service, Target: id.ID, Incarnation: id.Incarnation, SentAt: c.sent[len(c.sent)-1], Begun: c.begun, About: f.engine, Parts: c.subject.Parts, Requests: c.subject.Requests}
		if f.down == 0 {
			m.RecordFailure(f.now, r)
		} else {
			m.RecordCrash(f.now, r)
			m.RecordEnd(f.now, id)
		}
		if mayCrash := f.engine && (c.begun || m.Repeated(r)); !mayCrash && len(c.sent) == 1 {
			f.send(c)
		}
	}
}

// Guards against the whole class of quarantines that keep healthy requests from being served:
// whatever is poison and whatever healthy requests have in common with it, no more than three
// requests with it reach targets late, and healthy ones are served within two stable windows.
func TestPoisonClass(t *testing.T) {
	kinds := []struct {
		name   string
		poison func(f *poisonFleet, i int)
	}{
		{"request", func(f *poisonFleet, _ int) { f.call("request", "/bad", "bad", common, other) }},
		{"part", func(f *poisonFleet, i int) { f.call("part", "/x", fmt.Sprint(i), common, deadly, other) }},
		{"part beside varying ones", func(f *poisonFleet, i int) {
			f.call("part", "/x", fmt.Sprint(i), [][]uint64{{common, deadly}, {common, deadly, other}, {deadly, fourth}, {common, other, deadly}}[i%4]...)
		}},
		{"part, equal bodies", func(f *poisonFleet, _ int) { f.call("part", "/good", "good", common, deadly, other) }},
		{"request and part", func(f *poisonFleet, i int) {
			f.call("request", "/bad", "bad", common, other)
			f.call("part", "/x", fmt.Sprint(i), common, deadly, other)
		}},
		{"request with the part", func(f *poisonFleet, _ int) { f.call("request", "/bad", "bad", common, deadly, other) }},
	}
	healthy := []struct {
		name string
		send func(f *poisonFleet, i int)
	}{
		{"account", func(f *poisonFleet, i int) { f.call("", "/y", fmt.Sprint(i), 1000+uint64(i)) }},
		{"path", func(f *poisonFleet, i int) { f.call("", "/good", "good", common, other) }},
		{"first part", func(f *poisonFleet, i int) { f.call("", "/y", fmt.Sprint(i), common, 1000+uint64(i%20)) }},
		{"equal requests", func(f *poisonFleet, i int) { f.callOf("", "/good", "good", common, other, fourth) }},
		{"all shared parts", func(f *poisonFleet, i int) { f.call("", "/y", fmt.Sprint(i), common, other) }},
	}
	type variant struct {
		name          string
		crashAt, down time.Duration
		later         time.Duration // healthy requests come so much after the poison; negative: before
		plain, affine bool
	}
	variants := []variant{
		{name: "at begin, back after 1 s", crashAt: atBegin, down: time.Second},
		{name: "at begin, back at once", crashAt: atBegin},
		{name: "at begin, never back", crashAt: atBegin, down: never},
		{name: "before an answer", crashAt: atBegin - 10*time.Millisecond, down: time.Second},
		{name: "during the answer", crashAt: 50 * time.Millisecond, down: time.Second},
		{name: "after the answer", crashAt: afterAnswer, down: time.Second},
		{name: "healthy ones later", crashAt: atBegin, down: time.Second, later: 5 * time.Second},
		{name: "healthy ones before", crashAt: atBegin, down: time.Second, later: -2 * time.Second},
		{name: "plain service", crashAt: atBegin, down: time.Second, plain: true},
		{name: "plain service, back at once", crashAt: atBegin, plain: true},
		{name: "at the same target", crashAt: atBegin, down: time.Second, later: -2 * time.Second, affine: true},
	}
	for _, kind := range kinds {
		for _, h := range healthy {
			for _, v := range variants {
				for _, n := range []int{1, 3, 30} {
					if v.plain && kind.name != "request" {
						continue
					}
					if v.affine && kind.name == "request and part" {
						continue // open: instances blame different ones of two that always come together
					}
					t.Run(fmt.Sprintf("%s/%s/%s/%d", kind.name, h.name, v.name, n), func(t *testing.T) {
						t.Parallel()
						f := newPoisonFleet(n, v.crashAt, v.down, !v.plain)
						f.affine = v.affine
						begun := f.now.Add(max(0, -v.later))
						// It goes on until enough healthy requests have come after the last crash
						// that counts: a trial may cost a target late.
						for i := 0; i < 20*20 || i < 60*20 && f.now.Sub(f.settledAt(begun.Add(v.later))) < 2*classWindow+2*time.Second; i++ {
							if since := f.now.Sub(begun); i%4 == 0 && since >= 0 {
								kind.poison(f, i)
							}
							if f.now.Sub(begun) >= v.later {
								h.send(f, i)
							}
							f.play(50 * time.Millisecond)
						}
						f.play(time.Second)
						f.checkClass(t, begun.Add(v.later))
					})
				}
			}
		}
	}
}

// settledAt returns the time of the last crash that counts, or when healthy requests began.
func (f *poisonFleet) settledAt(healthySince time.Time) time.Time {
	settled := healthySince
	for _, crashes := range f.crashes {
		if at := crashes[min(len(crashes), 5)-1]; at.After(settled) {
			settled = at
		}
	}
	return settled
}

// checkClass checks what reached targets late, and how many healthy requests were served.
func (f *poisonFleet) checkClass(t *testing.T, healthySince time.Time) {
	t.Helper()
	settled := f.settledAt(healthySince)
	for poison, crashes := range f.crashes {
		threshold := map[string]int{"request": 3, "part": 5}[poison]
		last := crashes[min(len(crashes), threshold)-1]
		late := 0
		for _, c := range f.calls {
			for _, at := range c.sent {
				if c.poison == poison && len(crashes) >= threshold && c.from.After(last.Add(classWindow)) && at.After(last.Add(classWindow)) {
					late++
				}
			}
		}
		if late > 3 || len(crashes) > 12 {
			t.Errorf("%d crashes under the %s, %d late", len(crashes), poison, late)
		}
	}
	served, of, refused := 0, 0, 0
	for _, c := range f.calls {
		if c.poison == "" && c.from.After(settled.Add(2*classWindow)) {
			if of++; c.served {
				served++
			}
		}
		if c.poison == "" && !c.served {
			refused++
		}
	}
	if served*10 < of*9 || of < 20 {
		t.Errorf("%d of %d healthy requests served after %v, %d not served in all; crashes %d", served, of, settled.Sub(healthySince), refused, len(f.crashes["request"])+len(f.crashes["part"]))
	}
}

// Guards against requests that reach targets late because four of them arrive at the same time,
// and each is sent before the others have crashed their targets. Those that differ in the last
// part of the prompt alone count as one request: three crashes lead to a verdict, and three to
// six targets crash, as those that are on their way are not stopped. Also if targets end right
// after the answer, which then does not speak for the request.
func TestPoisonAtOnce(t *testing.T) {
	kinds := []struct {
		name   string
		poison func(f *poisonFleet)
	}{
		{"equal", func(f *poisonFleet) { f.callOf("request", "/bad", "bad", common, other, fourth) }},
		{"last part differs", func(f *poisonFleet) { f.call("request", "/bad", "bad", common, other) }},
	}
	healthy := []struct {
		name string
		send func(f *poisonFleet, i int)
	}{
		{"path", func(f *poisonFleet, i int) { f.call("", "/bad", fmt.Sprint(i), common, other) }},
		{"all shared parts", func(f *poisonFleet, i int) { f.call("", "/y", fmt.Sprint(i), common, other) }},
		{"path and body", func(f *poisonFleet, _ int) { f.call("", "/bad", "bad", common, other) }},
	}
	for _, kind := range kinds {
		for _, h := range healthy {
			for _, crashAt := range []time.Duration{atBegin, 50 * time.Millisecond, afterAnswer} {
				for _, n := range []int{1, 3, 30} {
					if kind.name != "equal" && h.name == "path and body" {
						continue // they are poison themselves
					}
					t.Run(fmt.Sprintf("%s/%s/%v/%d", kind.name, h.name, crashAt, n), func(t *testing.T) {
						t.Parallel()
						f := newPoisonFleet(n, crashAt, time.Second, true)
						begun := f.now
						for i := range 20 * 20 {
							if i%50 == 0 { // once the window of the verdict is over
								for range 4 {
									kind.poison(f)
								}
							}
							h.send(f, i)
							f.play(50 * time.Millisecond)
						}
						f.play(time.Second)
						f.checkClass(t, begun)
					})
				}
			}
		}
	}
}
