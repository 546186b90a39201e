package chooser

import "time"

// The shares and times are those with which callers get most in
// TestStreamsUnderLoad without losing at the usual load.
const (
	looseShare   = 1.5                   // of the objective of the first token that a passing backlog may take
	strictShare  = 0.4                   // of it that a standing backlog may take
	standingTime = time.Second           // after which a backlog counts as standing; a single long prompt is read by then
	lowBacklog   = 80 * time.Millisecond // a shorter one is a usual prompt, read by half
	endShare     = 1.0                   // of the caller's patience that the whole answer may be expected to take
	strictEnd    = 0.7                   // of it behind a standing backlog
)

// Admit reports whether a request should be sent to the target chosen for it. If
// not, it returns after what time there may be room.
//
// It answers loads above what the engines can read. An engine reads prompts in
// chunks between two steps, so a backlog slows all answers that it is giving, until
// none ends in time. Refusing is then better for the callers as a whole than late
// answers, and an engine that keeps nothing of the prompt would only have more to
// read. A backlog that passes, as after a start, is waited for.
func (p *Prefill) Admit(r Prompt, pick Pick) (after time.Duration, ok bool) {
	first, whole := looseShare, endShare
	if pick.Standing > standingTime {
		first, whole = strictShare, strictEnd
	}
	if limit := time.Duration(first * float64(r.Aim)); r.Aim > 0 && pick.Backlog > limit {
		return pick.Backlog - limit, false
	}
	end := pick.Wait + time.Duration(r.Events)*pick.Pause
	if limit := time.Duration(whole * float64(r.Patience)); r.Patience > 0 && end > limit {
		return min(end-limit, paceTime), false
	}
	return 0, true
}
