package throttler

import (
	"math"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/recorder"
)

const (
	// Permits for cold targets are good for a time between these, whatever the bounds.
	minColdPermitTime = 300 * time.Millisecond
	maxColdPermitTime = time.Second
	// coldBurstTime limits what the holder of the lease keeps for a burst.
	coldBurstTime = 100 * time.Millisecond
	minColdBurst  = 1.5
	// permitRatio is the part of the bound that permits may use. The rest is for instances
	// that are cut off and cannot know that a target is cold.
	permitRatio = 0.8
	// After the cold time the rate doubles every rampDoubling until rampTime is over. Load
	// reports are some 200 ms old, so each step is seen before the next one.
	rampDoubling = 500 * time.Millisecond
	rampTime     = 2500 * time.Millisecond
	// clockError is by how much the clock of a target may be ahead when its age decides.
	clockError = 5 * time.Second
	// minNews is by how much longer a target has to stay cold than known to be news. Without
	// it, reports that cross each other would be passed on without end.
	minNews = 2 * time.Second
	// Settled is the age of a process that has certainly not just started.
	Settled = maxColdTime
	// maxColdTime limits what a target may say.
	maxColdTime = time.Hour
	// Time for which the requests of this instance to a target are counted.
	shareWindow = time.Second
)

// ColdBounds limits the requests to a cold target in any second, from all instances:
// Ratio times the rate that it sustains, and Reserve more.
type ColdBounds struct{ Ratio, Reserve float64 }

// plan returns the rate of permits and how long one is good, so that the permits that can
// be used within a second stay below the bound: those of the second and of the time before
// for which they are good, and a burst.
func (b ColdBounds) plan(perSecond float64) (rate float64, good time.Duration) {
	usable := permitRatio*(perSecond*b.Ratio+b.Reserve) - max(minColdBurst, perSecond*coldBurstTime.Seconds())
	good = time.Duration(min((usable/perSecond-1), maxColdPermitTime.Seconds()) * float64(time.Second))
	if good >= minColdPermitTime {
		return perSecond, good
	}
	return max(0, usable/(1+minColdPermitTime.Seconds())), minColdPermitTime
}

// share returns how many requests an instance may send to a target in any second if it can't
// know whether the target is cold. peers is the number of other instances like that.
func (b ColdBounds) share(perSecond float64, peers int) int {
	return int((1-permitRatio)*(perSecond*b.Ratio+b.Reserve)) / (peers + 1)
}

// ColdService says how the targets of a service start.
type ColdService struct {
	Start     time.Duration // how long a target is cold after its start
	PerSecond float64       // requests a second that a cold target sustains, 0: no limit
}

// Registration is what is known of a target from the store.
type Registration struct {
	Target
	Left time.Duration // how long it stays cold, as it says, 0: it does not say
	Age  time.Duration // of the process when the registration was first seen, 0: it has just started
}

// coldTarget is the state of a target that is, was or may become cold.
type coldTarget struct {
	Registration
	seenAt  time.Time // when the registration was seen
	end     time.Time // of the cold time, as the target said in an answer
	told    time.Time // the same, as other instances said
	suspect time.Time // the same, if the target has restarted without a registration
	warmAt  time.Time // when the target began to warm up, zero: it is cold
	sent    []time.Time
}

// Cold keeps the requests to cold targets within their bounds. A cold target is one with a
// limit for a while; its permits come from the holder of a lease. It is not safe for
// concurrent use.
type Cold struct {
	bounds   ColdBounds
	services map[string]ColdService
	targets  map[string]*coldTarget
	active   map[string]bool // targets that may be cold
	throttle *Throttle
	lease    lease
	touchAt  time.Time // when the store last responded
	cutOff   bool      // this instance can't know which targets are cold
	peers    int       // other instances that it reaches, which can't know it either
}

// NewCold returns the state of a process that has the given identity in records.
func NewCold(holder, process, addr string) *Cold {
	c := &Cold{
		services: make(map[string]ColdService), targets: make(map[string]*coldTarget), active: make(map[string]bool), throttle: New(),
		lease: lease{self: Lease{Group: leaseName, Holder: holder, Process: process, Addr: addr}},
	}
	c.throttle.burst, c.throttle.minBurst, c.throttle.good = coldBurstTime, minColdBurst, c.permitTime
	return c
}

// SetBounds sets the bounds. There is no limit without a ratio.
func (c *Cold) SetBounds(b ColdBounds) {
	c.bounds = b
	c.activate()
}

// activate makes all targets be looked at again.
func (c *Cold) activate() {
	for id := range c.targets {
		c.active[id] = true
	}
}

// SetServices sets all services.
func (c *Cold) SetServices(services map[string]ColdService) {
	c.services = services
	c.activate()
}

// service returns the service of a target if it has a limit for cold targets.
func (c *Cold) service(name string) (ColdService, bool) {
	s := c.services[name]
	return s, s.PerSecond > 0 && c.bounds.Ratio > 0
}

// permitTime returns how long a permit of a target is good.
func (c *Cold) permitTime(service string) time.Duration {
	_, good := c.bounds.plan(c.services[service].PerSecond)
	return good
}

// ObserveTarget takes over a registration. changed says that the store reported a change of
// it. A list may repeat what was written long ago.
func (c *Cold) ObserveTarget(now time.Time, r Registration, changed bool) {
	t, ok := c.targets[r.ID]
	if !ok || t.Target != r.Target {
		c.targets[r.ID] = &coldTarget{Registration: r, seenAt: now}
		c.active[r.ID] = true
		return
	}
	switch {
	case r.Left == 0 && t.Left > 0:
		t.warm(now)
	case r.Left > 0 && (changed || r.Left != t.Left):
		t.Left, t.seenAt = r.Left, now
		c.active[r.ID] = true
	}
}

// warm records that the target itself says that it is not cold any more.
func (t *coldTarget) warm(now time.Time) {
	t.Left, t.Age, t.end, t.told, t.suspect = 0, Settled, now, time.Time{}, time.Time{}
}

// coldUntil returns the end of the cold time of a target.
func (c *Cold) coldUntil(t *coldTarget, s ColdService) time.Time {
	end := t.end
	for _, at := range []time.Time{t.told, t.suspect} {
		if at.After(end) {
			end = at
		}
	}
	var registered time.Time
	switch {
	case t.Left > 0:
		registered = t.seenAt.Add(t.Left)
	case t.Age < s.Start+clockError:
		registered = t.seenAt.Add(s.Start)
	}
	if registered.After(end) {
		end = registered
	}
	return end
}

// RecordAnswer takes over what an answer of a target says, to a request sent at sentAt.
func (c *Cold) RecordAnswer(now, sentAt time.Time, target Target, left time.Duration) {
	id := target.ID
	t, ok := c.targets[id]
	switch {
	case !ok || t.Target != target:
	case left > 0:
		t.end = now.Add(min(left, maxColdTime))
		c.active[id] = true
	case c.active[id] && sentAt.After(t.seenAt) && sentAt.After(t.suspect.Add(-c.services[t.Service].Start)):
		if s, ok := c.service(t.Service); ok && c.coldUntil(t, s).After(now) {
			t.warm(now)
		}
	}
}

// Suspect records that the process of a target may have ended. It may be back at once, and
// cold, before the store says so. It returns a report if other instances should know.
func (c *Cold) Suspect(now time.Time, target Target) (r ColdReport, news bool) {
	id := target.ID
	t, ok := c.targets[id]
	if !ok || t.Target != target {
		return r, false
	}
	s, ok := c.service(t.Service)
	if !ok || s.Start <= 0 {
		return r, false
	}
	known := t.suspect
	if t.told.After(known) {
		known = t.told
	}
	t.suspect = now.Add(s.Start)
	c.active[id] = true
	return ColdReport{Target: id, Incarnation: t.Incarnation, Left: s.Start.Milliseconds()}, t.suspect.Sub(known) > minNews
}

// Reopen records that a target gets requests again after its data centre got none. Until it
// says otherwise, it may have become cold.
func (c *Cold) Reopen(now time.Time, id string) {
	if t, ok := c.targets[id]; ok {
		c.Suspect(now, t.Target)
	}
}

// Forget removes a target that is not listed any more. One that comes back counts as new.
func (c *Cold) Forget(target Target) {
	t, ok := c.targets[target.ID]
	if !ok || t.Target != target {
		return
	}
	delete(c.targets, target.ID)
	delete(c.active, target.ID)
	delete(c.throttle.targets, target.ID)
	delete(c.throttle.buckets, target.ID)
}

// Phase returns whether a target is cold, or warms up.
func (c *Cold) Phase(now time.Time, id string) (cold, warming bool) {
	t, ok := c.targets[id]
	if !ok || !c.active[id] {
		return false, false
	}
	s, ok := c.service(t.Service)
	if !ok {
		return false, false
	}
	c.warmUp(now, t, s)
	return t.warmAt.IsZero(), !t.warmAt.IsZero()
}

// Reports returns the cold targets that this instance knows of by itself.
func (c *Cold) Reports(now time.Time) (list []ColdReport) {
	for id := range c.active {
		t := c.targets[id]
		s, ok := c.service(t.Service)
		if !ok {
			continue
		}
		own := *t
		own.told = time.Time{} // reports that were passed on again would never end
		if left := c.coldUntil(&own, s).Sub(now); left > 0 && len(list) < maxLeaseTargets {
			list = append(list, ColdReport{Target: id, Incarnation: t.Incarnation, Left: min(left, maxColdTime).Milliseconds()})
		}
	}
	return list
}

// Learn takes over the reports of another instance. It returns those that are news.
func (c *Cold) Learn(now time.Time, list []ColdReport) (news []ColdReport) {
	for _, r := range list {
		t, ok := c.targets[r.Target]
		if !ok || t.Incarnation > r.Incarnation {
			continue
		}
		known := t.suspect
		if t.told.After(known) {
			known = t.told
		}
		end := now.Add(time.Duration(r.Left) * time.Millisecond)
		if end.Sub(known) > minNews {
			news = append(news, r)
		}
		if end.After(t.told) {
			t.told = end
			c.active[r.Target] = true
		}
	}
	return news
}

// refresh makes the throttle limit the targets that are cold or warm up.
func (c *Cold) refresh(now time.Time) {
	for id := range c.active {
		t := c.targets[id]
		s, ok := c.service(t.Service)
		if !ok {
			delete(c.throttle.targets, id)
			if len(c.services) > 0 {
				delete(c.active, id)
			}
			continue
		}
		c.warmUp(now, t, s)
		warming := time.Duration(0)
		if !t.warmAt.IsZero() {
			warming = min(now.Sub(t.warmAt), rampTime)
		}
		// An instance without touch to the store may not know that the target has become cold
		// again, and while it gets no permits it can't notice either.
		if warming == rampTime && !c.touchAt.Before(t.warmAt.Add(rampTime)) {
			delete(c.active, id)
			delete(c.throttle.targets, id)
			continue
		}
		l, ok := c.throttle.targets[id]
		if !ok || l.record.Incarnation != t.Incarnation {
			l = &limited{learnedAt: now}
			c.throttle.targets[id] = l
		}
		rate, _ := c.bounds.plan(s.PerSecond)
		l.record = Record{Service: t.Service, Target: id, Incarnation: t.Incarnation, PerSecond: ramp(rate, warming)}
	}
}

// warmUp lets a target warm up when its cold time is over.
func (c *Cold) warmUp(now time.Time, t *coldTarget, s ColdService) {
	end := c.coldUntil(t, s)
	switch {
	case end.IsZero(): // it was never cold
		t.warmAt = time.Time{}.Add(time.Second)
	case now.Before(end):
		t.warmAt = time.Time{}
	case t.warmAt.IsZero():
		t.warmAt = now
	}
}

// ramp returns the rate some time after a target has begun to warm up.
func ramp(rate float64, d time.Duration) float64 {
	return rate * math.Exp2(d.Seconds()/rampDoubling.Seconds())
}

// RecordRequest counts a request to a service.
func (c *Cold) RecordRequest(now time.Time, service string) { c.throttle.RecordRequest(now, service) }

// AppendClosed is [Throttle.AppendClosed] for cold targets. It also appends those to which
// an instance that is cut off may send nothing now.
func (c *Cold) AppendClosed(list []string, now time.Time, service string, ready int) []string {
	c.refresh(now)
	list = c.throttle.AppendClosed(list, now, service, ready)
	s, ok := c.service(service)
	if !c.cutOff || !ok {
		return list
	}
	share := c.bounds.share(s.PerSecond, c.peers)
	for id, t := range c.targets {
		if t.Service == service && t.lately(now) >= share {
			list = append(list, id)
		}
	}
	return list
}

// lately returns how many requests this instance has sent within shareWindow.
func (t *coldTarget) lately(now time.Time) (n int) {
	for _, at := range t.sent {
		if now.Sub(at) <= shareWindow {
			n++
		}
	}
	return n
}

// Take uses a permit for a request to a target, if the target is cold.
func (c *Cold) Take(now time.Time, id string) {
	c.throttle.Take(now, id)
	t, ok := c.targets[id]
	if !ok {
		return
	}
	s, ok := c.service(t.Service)
	if !ok {
		return
	}
	keep := max(1, c.bounds.share(s.PerSecond, 0))
	if t.sent = append(t.sent, now); len(t.sent) > keep {
		t.sent = append(t.sent[:0], t.sent[len(t.sent)-keep:]...)
	}
}

// OpensIn is [Throttle.OpensIn] for cold targets.
func (c *Cold) OpensIn(now time.Time, ids []string) time.Duration {
	least := c.throttle.OpensIn(now, ids)
	for _, id := range ids {
		t, ok := c.targets[id]
		if s, limited := c.service(serviceOf(t, ok)); c.cutOff && limited && t.lately(now) >= c.bounds.share(s.PerSecond, c.peers) && least == 0 {
			least = shareWindow
		}
	}
	return least
}

func serviceOf(t *coldTarget, ok bool) string {
	if !ok {
		return ""
	}
	return t.Service
}

// AsksDue returns the permits to be asked for now, of the holder of the lease. before is the
// place of this instance among those that may take it. The caller must call Granted or
// AskLost for each.
func (c *Cold) AsksDue(now time.Time, before int) []Ask {
	c.refresh(now)
	due := c.throttle.AsksDue(now)
	if len(due) > 0 {
		if _, ok := c.lease.holder(now); !ok || c.lease.record.Process == c.lease.self.Process {
			c.lease.want(now, before)
		}
	}
	return due
}

// Holder returns the instance that gives out permits, if one is known.
func (c *Cold) Holder(now time.Time) (l Lease, self, ok bool) {
	if c.lease.holds(now) {
		return c.lease.self, true, true
	}
	l, ok = c.lease.holder(now)
	return l, false, ok && l.Process != c.lease.self.Process
}

// Granted takes over the reply to an ask, AskLost records that there is none.
func (c *Cold) Granted(now time.Time, id string, g Grant) { c.throttle.Granted(now, id, g) }

// AskLost records that an ask got no reply.
func (c *Cold) AskLost(now time.Time, id string) { c.throttle.AskLost(now, id) }

// Grant gives out permits, if this process holds the lease.
func (c *Cold) Grant(now time.Time, a Ask) Grant {
	if !c.lease.holds(now) {
		return Grant{Declined: true, Pause: lostPause.Milliseconds()}
	}
	c.lease.want(now, 0)
	c.refresh(now)
	s, ok := c.service(a.Service)
	if !ok {
		return Grant{Declined: true, Pause: maxAskPause.Milliseconds()}
	}
	base, _ := c.bounds.plan(s.PerSecond)
	if base <= 0 {
		return Grant{Pause: maxAskPause.Milliseconds()}
	}
	// The lower rate counts: either side may not know yet that the target is cold again.
	a.PerSecond = min(a.PerSecond, base*math.Exp2(rampTime.Seconds()/rampDoubling.Seconds()))
	if l, ok := c.throttle.targets[a.Target]; ok {
		a.PerSecond = min(a.PerSecond, l.record.PerSecond)
	}
	return c.throttle.grant(now, a, a.PerSecond)
}

// Check validates the reports.
func (r ColdReports) Check() error {
	var f checker.Validator
	checker.Range(&f, "age", r.Age, 0, int64(math.MaxInt32))
	for _, t := range r.Targets {
		f.AddNested("targets", t.Check())
	}
	return f.Err()
}

// ColdReports is the reply of an instance that is asked what it knows.
type ColdReports struct {
	Age     int64        `json:"age"` // milliseconds since its view of the targets matched the store
	Targets []ColdReport `json:"targets,omitempty"`
}

// leaseRecords makes a Cold a [recorder.Records].
type leaseRecords struct{ *Cold }

// Records returns the part of the state that is kept in the store.
func (c *Cold) Records() recorder.Records[Lease] { return leaseRecords{c} }

func (r leaseRecords) Due(now time.Time) []recorder.Write[Lease] {
	if !r.lease.due(now) {
		return nil
	}
	record := r.lease.self
	record.Targets = r.Reports(now)
	return []recorder.Write[Lease]{{Name: leaseName, Record: record, Version: r.lease.version}}
}

func (r leaseRecords) Written(now time.Time, w recorder.Write[Lease], version uint64) {
	r.lease.written(now, w, version)
}

func (r leaseRecords) Failed(recorder.Write[Lease]) { r.lease.failed() }

func (r leaseRecords) Gone(recorder.Write[Lease]) {
	r.lease.failed()
	r.lease.remove()
}

func (r leaseRecords) Observe(now time.Time, version uint64, l Lease) {
	if version > r.lease.version {
		r.Learn(now, l.Targets)
	}
	r.lease.observe(now, version, l)
}

func (r leaseRecords) ObserveRemoved(_ string, version uint64) {
	if version >= r.lease.version {
		r.lease.remove()
	}
}

func (r leaseRecords) ObserveList(now time.Time, list []recorder.Stored[Lease], restored bool) {
	r.lease.observeList(now, list, restored)
}

// Limiting reports whether there may be cold targets.
func (c *Cold) Limiting() bool { return len(c.active) > 0 }

// Has reports whether a target is known.
func (c *Cold) Has(id string) bool {
	_, ok := c.targets[id]
	return ok
}

// Guards reports whether the start of a service's targets is limited.
func (c *Cold) Guards(service string) bool {
	s, ok := c.service(service)
	return ok && s.Start > 0
}

// Used reports whether the start of any target is limited.
func (c *Cold) Used() bool {
	for name := range c.services {
		if _, ok := c.service(name); ok {
			return true
		}
	}
	return false
}

// ColdNow returns the targets that are cold, nil if there are none.
func (c *Cold) ColdNow(now time.Time) (list map[string]bool) {
	for id := range c.active {
		if cold, _ := c.Phase(now, id); !cold {
			continue
		}
		if list == nil {
			list = make(map[string]bool)
		}
		list[id] = true
	}
	return list
}

// RecordContacts takes over whom an instance reaches that has lost touch with the store:
// asked is the number of the other instances, or of some of them (sampled), that may live,
// reached of those that answered, fresh whether one of these is in touch with the store. Then
// nothing was lost but the path to the store. If most instances are reached, the store is lost
// to all, and nothing is withdrawn or registered there meanwhile. Else this instance is cut
// off. It reports whether this has begun.
func (c *Cold) RecordContacts(asked, reached int, sampled, fresh bool) (begun bool) {
	was, most := c.cutOff, 2*(reached+1) > asked+1
	if c.peers = reached; sampled {
		// Half of the instances are easily taken for more by a sample, and a few are missed.
		most, c.peers = 4*reached >= 3*asked, asked
	}
	c.cutOff = !fresh && asked > 0 && !most
	return c.cutOff && !was
}

// RecordPause records that this process did not run for a while. Until the store or other
// instances respond, it counts as cut off.
func (c *Cold) RecordPause() { c.cutOff, c.peers = true, 0 }

// RecordInTouch records that the store responded at a time.
func (c *Cold) RecordInTouch(at time.Time) {
	if at.After(c.touchAt) {
		c.cutOff, c.peers, c.touchAt = false, 0, at
	}
}

// Age returns how long ago the store responded.
func (c *Cold) Age(now time.Time) time.Duration { return min(now.Sub(c.touchAt), maxColdTime) }
