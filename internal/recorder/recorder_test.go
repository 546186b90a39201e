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

// store counts writes. While it is away, none has an effect.
type store struct {
	mu    sync.Mutex
	away  bool
	calls int
}

func (s *store) Put(_ context.Context, _, name string, body []byte, _ uint64) (storer.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return storer.Item{}, fmt.Errorf("put %s: %w", name, storer.ErrUnavailable)
	}
	return storer.Item{Key: name, Version: 1, Body: body}, nil
}

func (s *store) Remove(context.Context, string, string, uint64) (storer.Item, error) {
	return storer.Item{}, storer.ErrAbsent
}

// Guards against a priced call for each record and each 150 ms while the store is away, and
// against records that stay unwritten once it responds again.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &notes{due: make(map[string]bool), sending: make(map[string]bool)}
		for i := range 20 {
			n.due[fmt.Sprint(i)] = true
		}
		var mu sync.Mutex
		s := &store{away: true}
		group := recorder.NewGroup("test", func(use func(recorder.Records[note])) {
			mu.Lock()
			defer mu.Unlock()
			use(n)
		})
		r := recorder.New(s, zerolog.Nop(), group)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		time.Sleep(6 * time.Second)
		s.mu.Lock()
		if s.calls > 12 { // 6 s / half of the longest pause, and those of the beginning
			t.Errorf("%d calls in 6 s to a store that is away", s.calls)
		}
		s.away = false
		s.mu.Unlock()
		r.Reconnected()
		time.Sleep(200 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		if len(n.due) > 0 {
			t.Errorf("%d records are not stored 0.2 s after the store responds again", len(n.due))
		}
	})
}
