package recorder_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/recorder"
	"daisylane/internal/storer"
)

// note is a record of a test.
type note struct {
	ID string `json:"id"`
}

func (n note) Name() string { return n.ID }
func (n note) Check() error { return nil }

// notes are records that are all to be stored.
type notes struct {
	due     map[string]bool
	sending map[string]bool
}

func (n *notes) Due(time.Time) []recorder.Write[note] {
	var list []recorder.Write[note]
	for id := range n.due {
		if !n.sending[id] {
			n.sending[id] = true
			list = append(list, recorder.Write[note]{Name: id, Record: note{id}})
		}
	}
	return list
}

func (n *notes) Written(_ time.Time, w recorder.Write[note], _ uint64) { delete(n.due, w.Name) }
func (n *notes) Failed(w recorder.Write[note])                         { delete(n.sending, w.Name) }
func (n *notes) Gone(w recorder.Write[note])                           { delete(n.sending, w.Name) }
func (n *notes) Observe(time.Time, uint64, note)                       {}
func (n *notes) ObserveRemoved(string, uint64)                         {}
func (n *notes) ObserveList(time.Time, []recorder.Stored[note], bool)  {}

// store counts writes. While it is away, none has an effect; while it is contended, each conflicts.
type store struct {
	mu        sync.Mutex
	away      bool
	contended bool
	calls     int
}

func (s *store) Put(_ context.Context, _, name string, body []byte, _ uint64) (storer.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return storer.Item{}, fmt.Errorf("put %s: %w", name, storer.ErrUnavailable)
	}
	item := storer.Item{Key: name, Version: 1, Body: body}
	if s.contended {
		return item, fmt.Errorf("put %s: %w", name, storer.ErrConflict)
	}
	return item, nil
}

func (s *store) Remove(context.Context, string, string, uint64) (storer.Item, error) {
	return storer.Item{}, storer.ErrAbsent
}

// run starts a recorder with n records that are to be stored.
func run(t *testing.T, s *store, n int) (r *recorder.Recorder, left func() int) {
	t.Helper()
	records := &notes{due: make(map[string]bool), sending: make(map[string]bool)}
	for i := range n {
		records.due[fmt.Sprint(i)] = true
	}
	var mu sync.Mutex
	r = recorder.New(s, zerolog.Nop(), recorder.NewGroup("test", func(use func(recorder.Records[note])) {
		mu.Lock()
		defer mu.Unlock()
		use(records)
	}))
	go r.Run(t.Context())
	return r, func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(records.due)
	}
}

// set changes the state of the store and returns how many calls there were.
func (s *store) set(away, contended bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.contended = away, contended
	return s.calls
}

// Guards against a priced call for each record and each 150 ms while the store is away, and
// against records that stay unwritten once it responds again.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{away: true}
		r, left := run(t, s, 20)
		time.Sleep(6 * time.Second)
		if calls := s.set(false, false); calls > 12 { // 6 s / half of the longest pause, and those of the beginning
			t.Errorf("%d calls in 6 s to a store that is away", calls)
		}
		r.Reconnected()
		time.Sleep(200 * time.Millisecond)
		if n := left(); n > 0 {
			t.Errorf("%d records are not stored 0.2 s after the store responds again", n)
		}
	})
}

// Guards against the long pause of an outage after the next failed call, if the store responded
// with conflicts only in the meantime.
func TestPauseAfterConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{away: true}
		r, left := run(t, s, 1)
		time.Sleep(6 * time.Second) // the pause is the longest one
		s.set(false, true)
		r.Reconnected()
		time.Sleep(time.Second)
		calls := s.set(true, true)
		for s.set(true, true) == calls {
			time.Sleep(time.Millisecond)
		}
		s.set(false, false)
		time.Sleep(300 * time.Millisecond) // the first pause of an outage is at most 225 ms
		if left() > 0 {
			t.Error("record is not stored 0.3 s after a single failed call")
		}
	})
}
