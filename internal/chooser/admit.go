package chooser

import "time"

// Limits of [PrefillPolicy.Admit]. With these values callers gain the most
// in TestAdmissionUnderOverload without a loss at the usual load.
const (
	// Share of the time-to-first-token target that the expected wait behind a transient
	// backlog may use. The estimate is often too long while the model is new or prefix
	// caches are cold.
	transientWaitShare = 1.3
	// The same behind a persistent backlog. Some of the waits are longer than expected.
	persistentWaitShare = 0.85
	// Age from which a backlog counts as persistent. Prefill of a
	// single long prompt is finished by then.
	persistentBacklogAge = 1500 * time.Millisecond
	// A shorter backlog counts as none: it is a typical prompt that is half prefilled.
	lowBacklog = 80 * time.Millisecond
	// Share of the response timeout that the expected response time may use.
	transientResponseShare = 1.0
	// Share of the response timeout behind a persistent backlog.
	persistentResponseShare = 0.7
)

// Admit reports whether a request should be sent to the target chosen for it. If
// not, after is the time until the target may have room.
//
// It sheds load above the prefill throughput of the engines. An engine reads
// prompts in chunks between decode steps, so a backlog slows all responses in
// flight until none of them ends in time. Refusals then serve callers as a whole
// better than late responses. Sending the request to an engine without the cached
// prefix would only add prefill work. Requests wait for a transient backlog, for
// example after a start. Without a backlog, the request is sent even if its own prompt
// takes too long: no later attempt would be served sooner.
func (p *PrefillPolicy) Admit(r PrefillRequest, choice PrefillChoice) (after time.Duration, ok bool) {
	waitShare, responseShare := transientWaitShare, transientResponseShare
	if choice.BacklogAge > persistentBacklogAge {
		waitShare, responseShare = persistentWaitShare, persistentResponseShare
	}
	if limit := time.Duration(waitShare * float64(r.FirstTokenTarget)); r.FirstTokenTarget > 0 && choice.Wait > limit && choice.Backlog > lowBacklog {
		return choice.Wait - limit, false
	}
	end := choice.Wait + time.Duration(r.ExpectedEvents)*choice.EventInterval
	if limit := time.Duration(responseShare * float64(r.ResponseTimeout)); r.ResponseTimeout > 0 && end > limit {
		return min(end-limit, intervalDecayTime), false
	}
	return 0, true
}
