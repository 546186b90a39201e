package retrier

import (
	"maps"
	"time"
)

// maxPause limits how long a target can keep requests away with one response. A wrong value
// costs at most this time of one process, less if it is started again. A target that wants a
// longer pause refuses one request of each instance in this time, which goes on elsewhere.
const maxPause = time.Hour

// Process identifies a process of a target.
type Process struct {
	Target, Service, Addr string
	Incarnation           int64
}

// pause is a pause that a process has asked for.
type pause struct {
	process Process
	end     time.Time
}

// Pause keeps attempts away from the target of a process that has refused one and asked for a
// pause. Unlike a circuit breaker, a pause is not overridden if no other target is left.
func (r *Retrier) Pause(now time.Time, p Process, d time.Duration) {
	end := now.Add(min(d, maxPause))
	if known, ok := r.pauses[p.Target]; !ok || known.process != p || end.After(known.end) {
		r.pauses[p.Target] = pause{p, end}
	}
}

// EndPauses ends the pauses of processes that have ended.
func (r *Retrier) EndPauses(ended func(Process) bool) {
	maps.DeleteFunc(r.pauses, func(_ string, p pause) bool { return ended(p.process) })
}

// AppendPaused appends the paused targets to a list. Pauses that are over are removed.
func (r *Retrier) AppendPaused(list []string, now time.Time) []string {
	for target, p := range r.pauses {
		if !now.Before(p.end) {
			delete(r.pauses, target)
			continue
		}
		list = append(list, target)
	}
	return list
}

// PauseLeft returns how long a target is still paused.
func (r *Retrier) PauseLeft(now time.Time, target string) time.Duration {
	return max(0, r.pauses[target].end.Sub(now))
}
