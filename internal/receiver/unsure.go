package receiver

import (
	"maps"
	"sync"
	"time"

	"daisylane/internal/follower"
	"daisylane/internal/registrar"
	"daisylane/internal/reporter"
)

// Streams that were sent to targets whose version was uncertain, as in metrics.
const (
	unsureBegun = "begun"
	unsureKnown = "known"  // the version became known
	unsureBroke = "broken" // broke off before the version was known
)

// maxUnsure limits the streams that broke off and whose version may yet become known.
const maxUnsure = 2048

// unsureStream is a stream that was sent to a target whose version was uncertain.
type unsureStream struct {
	target follower.Target // as it was registered
	sentAt time.Time
	ended  bool // it broke off
}

// unsureStreams holds the streams of which it is not known which process started them, by ID
// of the caller's attempt. The zero value is empty.
type unsureStreams struct {
	mu   sync.Mutex
	list map[string]unsureStream
}

func (u *unsureStreams) add(id string, s unsureStream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.list == nil {
		u.list = make(map[string]unsureStream)
	}
	u.list[id] = s
}

func (u *unsureStreams) remove(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.list, id)
}

// end records that a stream has ended. One that broke off may be taken up when its version
// becomes known.
func (u *unsureStreams) end(id string, broken bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s, ok := u.list[id]
	if !ok {
		return
	}
	if !broken || len(u.list) > maxUnsure {
		delete(u.list, id)
		return
	}
	s.ended = true
	u.list[id] = s
}

// LearnOrigins records the origins of streams whose version has become known. It is called
// when the version of a target has become certain.
func (r *Receiver) LearnOrigins() {
	r.unsure.mu.Lock()
	defer r.unsure.mu.Unlock()
	maps.DeleteFunc(r.unsure.list, func(id string, s unsureStream) bool {
		version, ok := r.dispatcher.StartedBy(s.target, s.sentAt)
		if !ok {
			return s.ended && time.Since(s.sentAt) > maxUnsureTime
		}
		r.streams.Begin(id, registrar.Origin{Service: s.target.Service, Version: version})
		if s.ended {
			r.streams.End(id, true)
		}
		r.countUnsure(unsureKnown)
		return true
	})
}

func (r *Receiver) countUnsure(result string) {
	r.scope.Tagged(map[string]string{"result": result}).Counter(reporter.UnsureStreams).Inc(1)
}
