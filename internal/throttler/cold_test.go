package throttler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	coldRate  = 5.0
	coldStart = 8 * time.Second
	staleTime = 4 * time.Second // without a response of the store
	centres   = 3
	perCentre = 2
)

var (
	siteBounds  = ColdBounds{Ratio: 1.5, Reserve: 5}
	allowedCold = int(coldRate*siteBounds.Ratio + siteBounds.Reserve)
)

// site is a fleet on a virtual clock. Instances, the store and its watches are on sides of
// a partition; every instance reaches every target.
type site struct {
	*rand.Rand
	now       time.Time
	instances []*siteInstance
	events    map[int64][]func() // by step
	targets   []*siteTarget
	load      float64
	coldTime  time.Duration // as targets say, after an evacuation
}

type siteInstance struct {
	*Cold
	name     string
	side     int // the store is on side 0
	pausedTo time.Time
	dead     bool
	used     map[string]connection // by target
	unknown  map[int]bool          // instances that this one has not heard of
}

// connection is a connection that an instance keeps to a target.
type connection struct {
	incarnation int64
	at          time.Time
}

type siteTarget struct {
	Target
	centre  int
	down    bool
	evac    bool
	born    time.Time
	coldEnd time.Time
	arrived []time.Time // while cold
	cold    time.Duration
}

func newSite(n int, load float64, seed uint64) *site {
	s := &site{Rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), events: make(map[int64][]func()), load: load, coldTime: coldStart}
	for i := range centres * perCentre {
		s.targets = append(s.targets, &siteTarget{Target: Target{Service: "pool", ID: fmt.Sprint("i-", i), Incarnation: 1}, centre: i % centres})
	}
	for i := range n {
		s.instances = append(s.instances, &siteInstance{name: fmt.Sprint(i)})
		s.start(s.instances[i])
	}
	return s
}

// after calls a function some time later.
func (s *site) after(d time.Duration, f func()) {
	at := s.now.Add(max(d, step)).UnixMilli() / step.Milliseconds()
	s.events[at] = append(s.events[at], f)
}

// start starts the process of an instance, which lists everything.
func (s *site) start(in *siteInstance) {
	in.Cold = NewCold()
	in.SetBounds(siteBounds)
	in.SetServices(map[string]ColdService{"pool": {Start: coldStart, PerSecond: coldRate}})
	in.RecordInTouch(s.now)
	in.dead, in.used = false, make(map[string]connection)
	for _, t := range s.targets {
		r := Registration{Target: t.Target, Left: max(0, t.coldEnd.Sub(s.now)), Age: s.now.Sub(t.born)}
		in.ObserveTarget(s.now, r, false)
	}
	s.setShares(in, true)
}

// setShares computes the shares of an instance by rendezvous hashing over those that it knows.
func (s *site) setShares(in *siteInstance, justStarted bool) {
	ranking := Ranking{Version: 1, JustStarted: justStarted}
	for _, id := range in.SharesDue(s.now, staleTime, ranking) {
		weight := func(o *siteInstance) uint64 { return xxhash.Sum64String(id + "/" + o.name) }
		before, known := 0, 1
		for i, o := range s.instances {
			if o == in || in.unknown[i] {
				continue
			}
			known++
			if weight(o) > weight(in) {
				before++
			}
		}
		in.SetShare(id, before, known)
	}
}

// watched calls a function with each instance when it learns of a change in the store.
func (s *site) watched(f func(in *siteInstance)) {
	for _, in := range s.instances {
		process := in.Cold
		var deliver func()
		deliver = func() {
			switch {
			case in.Cold != process || in.dead:
			case in.side != 0:
				s.after(200*time.Millisecond, deliver) // learned when the partition is over
			default:
				f(in)
			}
		}
		s.after(time.Duration(20+s.IntN(230))*time.Millisecond, deliver)
	}
}

// contact lets an instance without the store find out whether it is cut off.
func (s *site) contact(in *siteInstance) {
	if in.side == 0 {
		in.RecordInTouch(s.now)
	}
	if in.Age(s.now) < staleTime {
		return
	}
	known, reached, fresh := 0, 0, false
	for _, o := range s.some(min(len(s.instances), 33)) {
		if o == in || o.dead {
			continue
		}
		known++
		if o.side != in.side {
			continue
		}
		reached++
		fresh = fresh || o.Age(s.now) < staleTime
		in.Learn(s.now, o.Reports(s.now))
	}
	in.RecordContacts(known, reached, len(s.instances) > 33, fresh)
}

// tick lets one step pass.
func (s *site) tick() {
	s.now = s.now.Add(step)
	at := s.now.UnixMilli() / step.Milliseconds()
	for _, f := range s.events[at] {
		f()
	}
	delete(s.events, at)
	for i, in := range s.instances {
		if in.dead || s.now.Before(in.pausedTo) {
			continue
		}
		if !in.pausedTo.IsZero() {
			in.pausedTo = time.Time{}
			in.RecordPause()
		}
		if (at+int64(i))%100 == 0 {
			s.contact(in)
		}
		if (at+int64(i))%25 == 0 {
			s.setShares(in, false)
		}
	}
	for range int(s.load*step.Seconds() + s.Float64()) {
		if in := s.instances[s.IntN(len(s.instances))]; !in.dead && !s.now.Before(in.pausedTo) {
			s.send(in)
		}
	}
	for _, t := range s.targets {
		if s.now.Before(t.coldEnd) && !t.evac && !t.down {
			t.cold += step
		}
	}
}

// send sends a request to a cold target if one is open, else to any other.
func (s *site) send(in *siteInstance) {
	closed := make(map[string]bool)
	for _, id := range in.AppendClosed(nil, s.now, "pool") {
		closed[id] = true
	}
	var chosen *siteTarget
	for _, i := range s.Perm(len(s.targets)) {
		t := s.targets[i]
		if closed[t.ID] || t.evac && in.side == 0 {
			continue
		}
		if cold, _ := in.Phase(s.now, t.ID); chosen == nil || cold {
			chosen = t
		}
	}
	if chosen == nil {
		return
	}
	c := in.used[chosen.ID]
	in.used[chosen.ID] = connection{chosen.Incarnation, s.now}
	broken := c.incarnation != chosen.Incarnation && s.now.Sub(c.at) < 4*time.Second
	switch {
	case chosen.down || broken:
		if r, news := in.Suspect(s.now, in.targets[chosen.ID].Target); news && (chosen.down || in.Age(s.now) > 2*time.Second) {
			s.spread(in, r)
		}
	default:
		in.Take(s.now, chosen.ID)
		if s.now.Before(chosen.coldEnd) {
			chosen.arrived = append(chosen.arrived, s.now)
		}
	}
}

// spread tells some other instances, which pass on what is news.
func (s *site) spread(in *siteInstance, list ...ColdReport) {
	for _, to := range s.some(min(8, len(s.instances))) {
		s.after(time.Duration(1+s.IntN(40))*time.Millisecond, func() {
			if to.side != in.side || to.dead {
				return
			}
			if news := to.Learn(s.now, list); len(news) > 0 {
				s.spread(to, news...)
			}
		})
	}
}

// restart takes a data centre's targets down together and starts them again.
func (s *site) restart(centre int, down time.Duration) {
	for _, t := range s.targets {
		if t.centre != centre || t.down {
			continue
		}
		t.down = true
		s.after(down, func() {
			t.Incarnation++
			t.born = s.now
			r := Registration{Target: t.Target}
			s.watched(func(in *siteInstance) { in.ObserveTarget(s.now, r, true) })
			// A target registers before it takes requests.
			s.after(300*time.Millisecond, func() { t.down, t.coldEnd = false, s.now.Add(coldStart-300*time.Millisecond) })
		})
	}
}

// evacuate closes a data centre for a time, after which its targets are cold.
func (s *site) evacuate(centre int, d time.Duration) {
	for _, t := range s.targets {
		if t.centre != centre {
			continue
		}
		t.evac = true
		s.after(d, func() {
			left := s.coldTime
			r := Registration{Target: t.Target, Left: left}
			s.watched(func(in *siteInstance) { in.ObserveTarget(s.now, r, true) })
			s.after(300*time.Millisecond, func() { t.evac, t.coldEnd = false, s.now.Add(left-300*time.Millisecond) })
		})
	}
}

// split puts instances on other sides for a time.
func (s *site) split(sides int, d time.Duration, members ...*siteInstance) {
	for i, in := range members {
		in.side = 1 + i%sides
	}
	s.after(d, func() {
		for _, in := range members {
			in.side = 0
		}
	})
}

func (s *site) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.tick()
	}
}

// some returns a part of the instances.
func (s *site) some(n int) (list []*siteInstance) {
	for _, i := range s.Perm(len(s.instances))[:n] {
		list = append(list, s.instances[i])
	}
	return list
}

func (s *site) kill(in *siteInstance, down time.Duration) {
	in.dead = true
	s.after(down, func() { s.start(in) })
}

// Guards against more requests to a cold target in a second than the bound, from all
// instances together: cut off, killed, frozen or not, and with different views of the fleet;
// and against leaving a target unused that comes back cold. The seed fixes what happens.
func TestColdTargetsOfFleet(t *testing.T) {
	half := func(s *site) []*siteInstance { return s.some(len(s.instances) / 2) }
	tests := []struct {
		name string
		used float64 // least part of the rate that is used
		play func(s *site)
	}{
		{"undisturbed", 0.4, func(s *site) { s.restart(0, 2*time.Second) }},
		{"evacuation ends", 0.35, func(s *site) { s.evacuate(1, 6*time.Second) }},
		{"one cut off before", 0.35, func(s *site) {
			s.split(1, 20*time.Second, s.some(1)...)
			s.after(time.Second, func() { s.evacuate(0, 6*time.Second) })
		}},
		{"one cut off while cold", 0.3, func(s *site) {
			s.restart(0, 2*time.Second)
			s.after(4*time.Second, func() { s.split(1, 10*time.Second, s.some(1)...) })
		}},
		{"half cut off before", 0.25, func(s *site) {
			s.split(1, 20*time.Second, half(s)...)
			s.after(time.Second, func() { s.evacuate(0, 6*time.Second) })
		}},
		{"one cut off later", 0, func(s *site) {
			s.restart(0, time.Second)
			s.after(4*time.Second, func() { s.split(1, 6*time.Second, s.some(1)[0]) })
		}},
		{"three sides", 0, func(s *site) {
			s.restart(0, time.Second)
			s.after(4*time.Second, func() { s.split(2, 6*time.Second, half(s)...) })
		}},
		{"views differ", 0.35, func(s *site) {
			for i, in := range s.instances {
				in.unknown = map[int]bool{(i + 1) % len(s.instances): true}
			}
			s.restart(0, 2*time.Second)
		}},
		{"restart while the store is lost to all", 0, func(s *site) {
			s.load *= 4
			s.split(1, 25*time.Second, s.instances...)
			s.after(time.Second, func() { s.restart(0, 500*time.Millisecond) })
		}},
		{"one killed", 0, func(s *site) {
			s.restart(0, time.Second)
			s.after(4*time.Second, func() { s.kill(s.some(1)[0], time.Second) })
		}},
		{"one frozen", 0, func(s *site) {
			s.restart(0, time.Second)
			s.after(4*time.Second, func() { s.some(1)[0].pausedTo = s.now.Add(5 * time.Second) })
		}},
		{"all killed", 0, func(s *site) {
			s.restart(0, time.Second)
			s.after(4*time.Second, func() {
				for _, in := range s.instances {
					s.kill(in, time.Second)
				}
			})
		}},
		{"store lost to all", 0, func(s *site) {
			s.restart(0, time.Second)
			s.after(4*time.Second, func() { s.split(1, 6*time.Second, s.instances...) })
		}},
		{"mixed", 0, func(s *site) {
			for range 6 {
				s.after(time.Duration(s.IntN(15000))*time.Millisecond, func() {
					switch s.IntN(5) {
					case 0:
						s.restart(s.IntN(centres), time.Duration(300+s.IntN(3000))*time.Millisecond)
					case 1:
						s.split(1+s.IntN(3), time.Duration(s.IntN(8000))*time.Millisecond, s.some(1+s.IntN(len(s.instances)))...)
					case 2:
						s.kill(s.some(1)[0], time.Duration(500+s.IntN(3000))*time.Millisecond)
					case 3:
						s.some(1)[0].pausedTo = s.now.Add(time.Duration(s.IntN(6000)) * time.Millisecond)
					default:
						s.restart(s.IntN(centres), time.Second)
					}
				})
			}
		}},
	}
	sizes := []struct {
		instances, seeds int
	}{{4, 8}, {30, 3}, {300, 1}}
	for _, tt := range tests {
		for _, size := range sizes {
			t.Run(fmt.Sprint(tt.name, "/", size.instances), func(t *testing.T) {
				t.Parallel()
				most, sent, cold := 0, 0, 0.0
				for seed := range uint64(size.seeds) {
					s := newSite(size.instances, max(60, 2*float64(size.instances)), seed)
					s.run(6 * time.Second)
					tt.play(s)
					s.run(26 * time.Second)
					for _, target := range s.targets {
						if n := mostWithin(target.arrived, time.Second); n > allowedCold {
							t.Errorf("seed %d: %d requests in a second reached the cold target %s, allowed are %d", seed, n, target.ID, allowedCold)
						} else {
							most = max(most, n)
						}
						sent, cold = sent+len(target.arrived), cold+target.cold.Seconds()
					}
				}
				used := float64(sent) / (coldRate * cold)
				if used < tt.used || math.IsNaN(used) && tt.used > 0 {
					t.Errorf("%.2f of the rate used, want %.2f", used, tt.used)
				}
				t.Logf("%s at %d instances: used %.2f, at most %d in a second", tt.name, size.instances, used, most)
			})
		}
	}
}

// mostWithin returns the largest number of times within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against more requests in a second than the bound if the second begins in the cold
// time and ends after it, as the shares grow then; against a second share in one second for
// a target that is back before its registration; and against shares of a time when fewer instances
// were known. All instances have requests at any time,
// and the cold time ends anywhere between two of them.
func TestColdSecond(t *testing.T) {
	tests := []struct {
		name       string
		instances  int
		rate       float64
		registered time.Duration // after the target is back
		joined     bool          // the shares were computed last when each instance knew only former ones
	}{
		{"few instances", 3, 2, 0, false},
		{"each has a share", 7, coldRate, 0, false},
		{"back before its registration", 7, coldRate, 300 * time.Millisecond, false},
		{"joined one after the other", 7, coldRate, 300 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			allowed, most, least := int(tt.rate*siteBounds.Ratio+siteBounds.Reserve), 0, math.MaxInt
			for length := coldStart; length < coldStart+shareWindow; length += step {
				cold, all := sendToRestarted(tt.instances, ColdService{Start: length, PerSecond: tt.rate}, tt.registered, tt.joined)
				least = min(least, len(cold))
				for _, from := range cold {
					n := 0
					for _, at := range all {
						if !at.Before(from) && at.Before(from.Add(time.Second)) {
							n++
						}
					}
					most = max(most, n)
				}
			}
			if most > allowed {
				t.Errorf("%d requests in a second that begins in the cold time, allowed are %d", most, allowed)
			}
			if want := int(tt.rate*siteBounds.Ratio) * int(coldStart/time.Second-1); least < want {
				t.Errorf("%d requests in the cold time, want %d", least, want)
			}
		})
	}
}

// sendToRestarted lets instances that have requests at any time use a target that has
// restarted and registers some time later. It returns when they send requests in its cold time,
// and when they do at all.
func sendToRestarted(instances int, s ColdService, registered time.Duration, joined bool) (cold, all []time.Time) {
	back := time.Unix(1_000_000, 0)
	former, target := Target{Service: "pool", ID: "i-0", Incarnation: 1}, Target{Service: "pool", ID: "i-0", Incarnation: 2}
	fleet := make([]*Cold, instances)
	for i := range fleet {
		fleet[i] = NewCold()
		fleet[i].SetBounds(siteBounds)
		fleet[i].SetServices(map[string]ColdService{"pool": s})
		fleet[i].ObserveTarget(back, Registration{Target: former, Age: Settled}, false)
		if joined {
			fleet[i].RecordInTouch(back)
			fleet[i].SharesDue(back, staleTime, Ranking{Version: 1})
			fleet[i].SetShare(former.ID, 0, i+1)
			fleet[i].AppendClosed(nil, back, "pool") // the target is warm
			fleet[i].SharesDue(back, staleTime, Ranking{Version: 2})
		}
		fleet[i].Suspect(back.Add(-2*time.Second), former)
	}
	for now := back; now.Before(back.Add(s.Start + 2*time.Second)); now = now.Add(step) {
		for i, c := range fleet {
			c.RecordInTouch(now)
			if now.Equal(back.Add(registered)) {
				c.ObserveTarget(now, Registration{Target: target}, true)
			}
			if ranking := (Ranking{Version: 2}); now.Sub(back)%(250*time.Millisecond) == 10*step {
				for _, id := range c.SharesDue(now, staleTime, ranking) {
					c.SetShare(id, i, len(fleet))
				}
			}
			if len(c.AppendClosed(nil, now, "pool")) > 0 {
				continue
			}
			c.Take(now, target.ID)
			if all = append(all, now); now.Before(back.Add(s.Start)) {
				cold = append(cold, now)
			}
		}
	}
	return cold, all
}
