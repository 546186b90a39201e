package throttler

import (
	"math"
	"time"

	"daisylane/internal/checker"
)

const (
	// blindRatio is the part of the bound that is left to instances that are cut off and cannot
	// know that a target is cold.
	blindRatio = 0.2
	// holdTime is how long the shares stay as they are after the cold time: the bound holds for
	// each second that begins in it.
	holdTime = shareWindow
	// After that the shares double every rampDoubling until rampTime is over. Load reports are
	// some 200 ms old, so each step is seen before the next one.
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
	// shareWindow is the time in which the requests of this instance to a target are counted.
	// It is longer than the second of the bound by what timers may be late.
	shareWindow = 1020 * time.Millisecond
	// maxSent limits the requests that are remembered for a target.
	maxSent = 512
	// maxReports limits the targets that are passed on at a time.
	maxReports = 1024
)

// ColdBounds limits the requests to a cold target in any second, from all instances:
// Ratio times the rate that it sustains, and Reserve more.
type ColdBounds struct{ Ratio, Reserve float64 }

// quota returns how many requests an instance may send to a cold target in any second. The
// instances are ranked for each target in the same way everywhere; before is how many come
// before this one, of as many as are known. The first ones share the bound out among them, so
// no message is needed, and a partition changes nothing.
func (b ColdBounds) quota(perSecond float64, before, instances int) int {
	total := max(1, int(perSecond*b.Ratio))
	first := min(instances, total)
	if before >= first {
		return 0
	}
	return total / first
}

// blindShare returns how many requests an instance may send to a target in any second if it
// can't know whether the target is cold. peers is the number of other instances like that.
func (b ColdBounds) blindShare(perSecond float64, peers int) int {
	return int(blindRatio*(perSecond*b.Ratio+b.Reserve)) / (peers + 1)
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
	share   int     // requests that this instance may send in any second
	ranking Ranking // that the share was computed from, zero: it was not computed
}

// Ranking identifies what the shares of an instance are computed from.
type Ranking struct {
	Version     int64 // of the order of the instances, at least 1
	JustStarted bool  // this instance may know few of the others
}

// Cold keeps the requests to cold targets within their bounds: each of the instances that
// come first for a target has a fixed share. It is not safe for concurrent use.
type Cold struct {
	bounds   ColdBounds
	services map[string]ColdService
	targets  map[string]*coldTarget
	active   map[string]bool // targets that may be cold
	ranking  Ranking         // that shares are computed from now
	touchAt  time.Time       // when the store last responded
	cutOff   bool            // this instance can't know which targets are cold
	peers    int             // other instances that it reaches, which can't know it either
}

// NewCold returns the state of a process.
func NewCold() *Cold {
	return &Cold{services: make(map[string]ColdService), targets: make(map[string]*coldTarget), active: make(map[string]bool)}
}

// SetBounds sets the bounds. There is no limit without a ratio.
func (c *Cold) SetBounds(b ColdBounds) {
	c.bounds = b
	c.activate()
}

// activate makes all targets be looked at again, and their shares be computed anew.
func (c *Cold) activate() {
	for id, t := range c.targets {
		t.ranking = Ranking{}
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

// ObserveTarget takes over a registration. changed says that the store reported a change of
// it. A list may repeat what was written long ago.
func (c *Cold) ObserveTarget(now time.Time, r Registration, changed bool) {
	t, ok := c.targets[r.ID]
	if !ok || t.Target != r.Target {
		next := &coldTarget{Registration: r, seenAt: now}
		if ok {
			next.sent = t.sent // the last ones may have reached this process before its registration was seen
		}
		c.targets[r.ID] = next
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
		if left := c.coldUntil(&own, s).Sub(now); left > 0 && len(list) < maxReports {
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

// refresh drops the targets that are warm.
func (c *Cold) refresh(now time.Time) {
	for id := range c.active {
		t := c.targets[id]
		s, ok := c.service(t.Service)
		if !ok {
			if len(c.services) > 0 {
				delete(c.active, id)
			}
			continue
		}
		c.warmUp(now, t, s)
		// An instance without touch to the store may not know that the target has become cold
		// again.
		if warm := t.warming(now) == rampTime; warm && !c.touchAt.Before(t.warmAt.Add(holdTime+rampTime)) {
			delete(c.active, id)
		}
	}
}

// warming returns for how long the shares of a target have grown, 0 while they don't.
func (t *coldTarget) warming(now time.Time) time.Duration {
	if t.warmAt.IsZero() {
		return 0
	}
	return min(max(0, now.Sub(t.warmAt)-holdTime), rampTime)
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

// limit returns how many requests this instance may send to a target in shareWindow now, and
// false if there is no limit.
func (c *Cold) limit(now time.Time, id string) (n int, ok bool) {
	t, known := c.targets[id]
	if !known {
		return 0, false
	}
	s, limited := c.service(t.Service)
	if !limited {
		return 0, false
	}
	n, ok = math.MaxInt, false
	if c.active[id] {
		share := t.share
		if t.ranking != c.ranking {
			share = 0
		}
		n, ok = int(float64(share)*math.Exp2(t.warming(now).Seconds()/rampDoubling.Seconds())), true
	}
	if c.cutOff {
		n, ok = min(n, c.bounds.blindShare(s.PerSecond, c.peers)), true
	}
	return n, ok
}

// AppendClosed appends the targets of a service that may get no request now.
func (c *Cold) AppendClosed(list []string, now time.Time, service string) []string {
	if _, ok := c.service(service); !ok {
		return list
	}
	c.refresh(now)
	look := func(id string, t *coldTarget) {
		if n, ok := c.limit(now, id); ok && t.Service == service && t.lately(now) >= n {
			list = append(list, id)
		}
	}
	if c.cutOff {
		for id, t := range c.targets {
			look(id, t)
		}
		return list
	}
	for id := range c.active {
		look(id, c.targets[id])
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

// Take counts a request that is sent to a target.
func (c *Cold) Take(now time.Time, id string) {
	t, ok := c.targets[id]
	if !ok {
		return
	}
	if _, ok := c.service(t.Service); !ok {
		return
	}
	old := 0
	for old < len(t.sent) && (now.Sub(t.sent[old]) > shareWindow || len(t.sent)-old >= maxSent) {
		old++
	}
	t.sent = append(append(t.sent[:0], t.sent[old:]...), now)
}

// OpensIn returns the shortest time until one of the given targets may get a request, 0 if
// none of them is limited.
func (c *Cold) OpensIn(now time.Time, ids []string) time.Duration {
	least := time.Duration(0)
	for _, id := range ids {
		n, ok := c.limit(now, id)
		if !ok {
			continue
		}
		in := shareWindow
		if sent := c.targets[id].sent; n > 0 && len(sent) >= n {
			in = max(sent[len(sent)-n].Add(shareWindow).Sub(now), time.Millisecond)
		}
		if least == 0 || in < least {
			least = in
		}
	}
	return least
}

// SharesDue returns the targets whose share was not computed from a ranking. Until it is, they get
// no requests: with shares of several rankings, all instances together may exceed the bound. An
// instance without touch to the store goes on with the last ranking: it may no longer know which
// instances live.
func (c *Cold) SharesDue(now time.Time, stale time.Duration, r Ranking) (ids []string) {
	if now.Sub(c.touchAt) <= stale {
		c.ranking = r
	}
	for id := range c.active {
		t := c.targets[id]
		if _, ok := c.service(t.Service); ok && t.ranking != c.ranking {
			ids = append(ids, id)
		}
	}
	return ids
}

// SetShare sets the share of this instance for a target, given how many of the known
// instances come before it. One that has just started may know few others, so it counts as one of
// many.
func (c *Cold) SetShare(id string, before, instances int) {
	t, ok := c.targets[id]
	if !ok {
		return
	}
	s, ok := c.service(t.Service)
	if !ok {
		return
	}
	t.share, t.ranking = c.bounds.quota(s.PerSecond, before, instances), c.ranking
	if c.ranking.JustStarted {
		t.share = min(t.share, 1)
	}
}

// ColdReport says for how long a target stays cold.
type ColdReport struct {
	Target      string `json:"target"`
	Incarnation int64  `json:"incarnation"`
	Left        int64  `json:"left"` // milliseconds, as known at the time of the report
}

// Check validates the report.
func (r ColdReport) Check() error {
	var f checker.Validator
	f.Require(r.Target != "", "target", "is empty")
	checker.Range(&f, "left", r.Left, 0, maxColdTime.Milliseconds())
	return f.Err()
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
