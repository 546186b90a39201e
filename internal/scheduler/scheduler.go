package scheduler

import "time"

// Limits of [Scheduler.Decide]. With these values callers gain the most in
// TestAdmissionUnderOverload and TestUrgencyUnderOverload of package chooser without a loss
// at the usual load.
const (
	// Share of the latency objective that the expected wait behind a transient backlog
	// may use. The estimate is often too long while the model of the engines is new or
	// prefix caches are cold.
	transientWaitShare = 1.3
	// The same behind a persistent backlog. Some of the waits are longer than expected.
	persistentWaitShare = 0.85
	// By how much these shares are lower for each more urgent priority in use.
	urgencyStep = 0.2
	// Lower limit of the shares, so that the least urgent requests do not starve.
	minWaitShare = 0.25
	// Age from which a backlog counts as persistent. Prefill of a single long prompt is
	// finished by then.
	persistentBacklogAge = 1500 * time.Millisecond
	// A shorter backlog counts as none: it is a typical prompt that is half prefilled.
	lowBacklog = 80 * time.Millisecond
	// Upper limit of the backlog of a target that is offered a request which another one was
	// chosen for. It reads prompt parts again that the other one has cached, which pays only
	// if it would be idle otherwise: with 80 ms, or without this limit, callers gain less.
	idleBacklog = 20 * time.Millisecond
	// Share of the response timeout that the expected response time may use.
	transientResponseShare = 1.0
	// Share of the response timeout behind a persistent backlog.
	persistentResponseShare = 0.7
	// Time without a request after which a priority counts as not in use.
	inUseTime = 20 * time.Second
	// Upper limit of the delay of a retry that depends on the pace of responses, which
	// changes within this time.
	maxPaceDelay = 2 * time.Second
	priorities   = 10
)

// Request is what the decision about a request depends on.
type Request struct {
	Priority  int           // 0 is the most urgent
	Account   string        // client account, empty: has no share
	Objective time.Duration // of the time to first token, 0: none
	Left      time.Duration // until the deadline, 0: none
	Elsewhere bool          // offered to another target than the one chosen for it, after a decision about that one
	Counted   bool          // an earlier decision has counted it in the shares
}

// Estimate is what is expected at the target that is chosen for a request.
type Estimate struct {
	Wait       time.Duration // until the first token
	Backlog    time.Duration // the part of Wait before the prefill of this prompt starts
	BacklogAge time.Duration // time since the backlog was low
	Rest       time.Duration // from the first token to the end of the response
}

// Decision says whether a request is admitted. If not, After is the time until the target
// may have room.
type Decision struct {
	Admit    bool
	After    time.Duration
	Exceeded bool // the account has used up its share, while requests are refused
}

// Scheduler decides about the requests to one service.
type Scheduler struct {
	seen   [priorities]time.Time // time of the last request
	shares [priorities]shares    // of the client accounts
}

// New returns a Scheduler that has seen no request.
func New() *Scheduler { return &Scheduler{} }

// Decide decides about a request.
//
// It sheds load above the prefill throughput of the engines. An engine reads prompts in
// chunks between decode steps, so a backlog slows all responses in flight until none of
// them ends in time. Refusals then serve callers as a whole better than late responses.
// Sending the request to an engine without the cached prefix would only add prefill work.
// Requests wait for a transient backlog, for example after a start. Without a backlog, a
// request is admitted even if its own prompt takes too long: no later attempt would be
// served sooner.
//
// While requests are refused, an account that asks for more than the others is refused
// sooner, once it has used up its share.
func (s *Scheduler) Decide(now time.Time, r Request, e Estimate) Decision {
	r.Priority = min(max(0, r.Priority), priorities-1)
	if r.Account == "" {
		return s.decide(now, r, e, false)
	}
	shares, work := &s.shares[r.Priority], max(0, e.Wait-e.Backlog).Seconds()
	if !r.Elsewhere && !r.Counted {
		shares.offer(now, r.Account, work)
	}
	exceeded := shares.exceeded(now, r.Account)
	d := s.decide(now, r, e, exceeded)
	d.Exceeded = exceeded
	if d.Admit {
		shares.admit(now, r.Account, work)
	}
	return d
}

// decide decides about a request of an account that may have used up its share.
func (s *Scheduler) decide(now time.Time, r Request, e Estimate, exceeded bool) Decision {
	rank := s.rank(now, r.Priority)
	if r.Elsewhere && e.Backlog > idleBacklog {
		return Decision{After: e.Backlog - idleBacklog}
	}
	waitShare, responseShare := transientWaitShare, transientResponseShare
	if e.BacklogAge > persistentBacklogAge {
		waitShare, responseShare = persistentWaitShare, persistentResponseShare
	}
	waitShare = max(minWaitShare, waitShare-urgencyStep*float64(rank))
	if exceeded {
		waitShare *= excessWaitShare
	}
	if limit := time.Duration(waitShare * float64(r.Objective)); r.Objective > 0 && e.Wait > limit && e.Backlog > lowBacklog {
		return Decision{After: e.Wait - limit}
	}
	if limit := time.Duration(responseShare * float64(r.Left)); r.Left > 0 && e.Wait+e.Rest > limit {
		return Decision{After: min(e.Wait+e.Rest-limit, maxPaceDelay)}
	}
	return Decision{Admit: true}
}

// rank records a request of a priority and returns the number of more urgent priorities in
// use.
func (s *Scheduler) rank(now time.Time, priority int) int {
	s.seen[priority] = now
	n := 0
	for _, t := range s.seen[:priority] {
		if !t.IsZero() && now.Sub(t) < inUseTime {
			n++
		}
	}
	return n
}
