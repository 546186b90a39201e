package retrier

import "time"

// maxPause limits how long a target can keep requests away with one response. A longer
// time is more likely a fault than a wish.
const maxPause = time.Minute

// Pause keeps attempts away from a target that has refused one and asked for a pause.
// Unlike a circuit breaker, a pause is not overridden if no other target is left.
func (r *Retrier) Pause(now time.Time, target string, d time.Duration) {
	if end := now.Add(min(d, maxPause)); end.After(r.pauses[target]) {
		r.pauses[target] = end
	}
}

// AppendPaused appends the paused targets to a list. Pauses that are over are removed.
func (r *Retrier) AppendPaused(list []string, now time.Time) []string {
	for target, end := range r.pauses {
		if !now.Before(end) {
			delete(r.pauses, target)
			continue
		}
		list = append(list, target)
	}
	return list
}

// PauseLeft returns how long a target is still paused.
func (r *Retrier) PauseLeft(now time.Time, target string) time.Duration {
	return max(0, r.pauses[target].Sub(now))
}
