package syncer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"daisylane/internal/adopter"
	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/storer"
	"daisylane/internal/wirepb"
)

// carryOut runs an action of the state. Calls run outside the actor.
func (s *Syncer) carryOut(act adopter.Action) {
	switch act := act.(type) {
	case adopter.Adopt:
		s.current.Store(&version{act.Head, act.Index})
		s.changed(act.Head, act.Index)
	case adopter.Ready:
		close(s.ready)
	case adopter.Refuse:
		s.refused(act.From, act.Err)
	case adopter.Watch:
		s.setWatch(act.On)
	case adopter.Read:
		s.effect(s.read)
	case adopter.Ask:
		s.effect(func(ctx context.Context) { s.ask(ctx, act) })
	case adopter.Fetch:
		s.effect(func(ctx context.Context) { s.fetch(ctx, act) })
	}
}

// effect runs a call while the syncer runs. Calls from before Run wait for it.
func (s *Syncer) effect(f func(ctx context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		s.waiting = append(s.waiting, f)
		return
	}
	if ctx := s.ctx; ctx.Err() == nil {
		s.wg.Go(func() { f(ctx) })
	}
}

func (s *Syncer) begin(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	waiting := s.waiting
	s.waiting = nil
	s.mu.Unlock()
	for _, f := range waiting {
		s.effect(f)
	}
}

func (s *Syncer) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := s.platform.Get(ctx, HeadKey)
	s.reportHead(item, err)
}

func (s *Syncer) reportHead(item storer.Item, err error) {
	if errors.Is(err, storer.ErrAbsent) {
		err = nil
	}
	s.send(func(now time.Time, a *adopter.Adopter) []adopter.Action { return a.Platform(now, item.Body, err) })
}

func (s *Syncer) setWatch(on bool) {
	s.stopWatch()
	if !on {
		return
	}
	watchCtx, cancel := context.WithCancel(context.Background())
	s.stopWatch = cancel
	s.effect(func(ctx context.Context) {
		defer context.AfterFunc(ctx, cancel)()
		s.watch(watchCtx)
	})
}

func (s *Syncer) watch(ctx context.Context) {
	revision := uint64(0)
	for ctx.Err() == nil {
		items, next, err := s.platform.Watch(ctx, HeadKey, revision, watchWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.reportHead(storer.Item{}, err)
			pause(ctx, watchDelay)
			continue
		}
		revision = next
		var head storer.Item
		for _, item := range items {
			if item.Key == HeadKey {
				head = item
			}
		}
		s.reportHead(head, nil)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *Syncer) ask(ctx context.Context, ask adopter.Ask) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := s.exchange(ctx, ask)
	s.send(func(now time.Time, a *adopter.Adopter) []adopter.Action {
		if err != nil {
			return a.Failed(now, ask)
		}
		return a.Answered(now, ask, answer)
	})
}

func (s *Syncer) exchange(ctx context.Context, ask adopter.Ask) (adopter.Notice, error) {
	payload, err := checker.Encode(ask.Notice)
	if err != nil {
		return adopter.Notice{}, err
	}
	m, err := connector.Call[*wirepb.Head](ctx, s.pool, ask.Peer.Addr, "", &wirepb.Head{Payload: payload})
	if err != nil {
		return adopter.Notice{}, fmt.Errorf("compare versions with %s: %w", ask.Peer.Name, err)
	}
	return checker.Decode[adopter.Notice](m.GetPayload())
}

func (s *Syncer) fetch(ctx context.Context, f adopter.Fetch) {
	select {
	case <-ctx.Done():
		return
	case s.fetches <- struct{}{}:
	}
	defer func() { <-s.fetches }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := s.chunk(ctx, f)
	s.send(func(now time.Time, a *adopter.Adopter) []adopter.Action {
		if err != nil {
			return a.ChunkFailed(now, f)
		}
		return a.Chunk(now, f, body)
	})
}

var errNoChunk = errors.New("peer does not have the chunk")

func (s *Syncer) chunk(ctx context.Context, f adopter.Fetch) ([]byte, error) {
	if f.Peer.Name == "" {
		item, err := s.platform.Get(ctx, ChunkPrefix+f.Hash)
		return item.Body, err
	}
	m, err := connector.Call[*wirepb.Chunk](ctx, s.pool, f.Peer.Addr, "", &wirepb.Fetch{Hash: f.Hash})
	if err == nil && len(m.GetPayload()) == 0 {
		err = errNoChunk
	}
	return m.GetPayload(), err
}
