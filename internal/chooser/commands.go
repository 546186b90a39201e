package chooser

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choose selects a target and counts the demand for the prefix. It reports
// false if there is no candidate.
func (a *Affinity) Choose(now time.Time, r Request, list []Candidate) (Choice, bool) {
	if a.began.IsZero() {
		a.began = now
	}
	replicas := min(a.replicas(now, r), uint64(max(1, len(list))))
	own, others := a.split(now, r, list)
	first := a.choose(now, r, own, others, a.source.Uint64N(replicas))
	if replicas > 1 {
		second := a.choose(now, r, own, others, a.source.Uint64N(replicas))
		if second.load < first.load && second.Scope == first.Scope {
			first = second
		}
	}
	return first.Choice, first.Name != ""
}

// SetPeers changes the number of routers, see [WithPeers].
func (a *Affinity) SetPeers(n int) { a.peers = max(1, n) }

// split returns the allowed candidates of the own region and of the others.
func (a *Affinity) split(now time.Time, r Request, list []Candidate) (own, others []option) {
	own, others = a.own[:0], a.others[:0]
	for _, c := range list {
		if r.Exclude[c.Name] {
			continue
		}
		if c.Region == a.place.Region {
			own = append(own, a.option(now, r, c))
			continue
		}
		others = append(others, a.option(now, r, c))
	}
	a.own, a.others = own, others
	return own, others
}

// replicas returns over how many targets the demand for a prefix is spread. Load
// reports lag too far for the bound alone to stop many routers from sending the
// same prefix to one target at once.
func (a *Affinity) replicas(now time.Time, r Request) uint64 {
	d, ok := a.demand[r.Prefix]
	if !ok {
		a.trim(now)
		d = &demand{}
		a.demand[r.Prefix] = d
	}
	d.count = d.after(now)
	d.at = now
	// A young router has seen too little to tell a rare prefix from one in demand.
	young := math.Exp(-now.Sub(a.began).Seconds() / demandTime.Seconds())
	seen := max(time.Second, time.Duration((1-young)*float64(demandTime)))
	rate := (d.count + young*unseenDemand) / seen.Seconds() * float64(a.peers)
	running := rate * r.length().Seconds()
	d.count++
	return 1 + uint64(running/(prefixShare*expectedSlots))
}

// trim makes room in the demand table by dropping what decayed.
func (a *Affinity) trim(now time.Time) {
	for limit := 0.5; len(a.demand) >= maxPrefixes; limit *= 2 {
		maps.DeleteFunc(a.demand, func(_ uint64, d *demand) bool { return d.after(now) < limit })
	}
}

// Sent records a request sent to a target.
func (l *Loads) Sent(now time.Time, name string) {
	t := l.target(name)
	t.sent = append(t.sent, now)
}

// Done records the end of a request that was sent at the given time.
func (l *Loads) Done(now time.Time, name string, sent time.Time) {
	t := l.target(name)
	i := slices.IndexFunc(t.sent, sent.Equal)
	if i < 0 {
		return
	}
	t.sent = slices.Delete(t.sent, i, i+1)
	t.ended = append(t.ended, span{sent, now})
	t.prune(now.Add(-maxReportLag))
}

// Reported records a load report. Reports that arrive out of order are dropped.
func (l *Loads) Reported(name string, r Load) {
	t := l.target(name)
	if !r.At.After(t.report.At) {
		return
	}
	t.report = r
	t.prune(r.At)
}

// Forget drops a target that is gone.
func (l *Loads) Forget(name string) { delete(l.targets, name) }

func (l *Loads) target(name string) *target {
	t, ok := l.targets[name]
	if !ok {
		t = &target{hash: xxhash.Sum64String(name)}
		l.targets[name] = t
	}
	return t
}

// prune drops requests that no report measured after the given time counts.
func (t *target) prune(at time.Time) {
	t.ended = slices.DeleteFunc(t.ended, func(s span) bool { return !s.done.After(at) })
}
