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

// perform executes an action of the adopter. It runs in the actor, but starts calls
// outside of it.
func (s *Syncer) perform(act adopter.Action) {
	switch act := act.(type) {
	case adopter.Adopt:
		s.active.Store(&activeVersion{act.Head, act.Index})
		s.onChange(act.Head, act.Index)
	case adopter.Ready:
		close(s.ready)
	case adopter.ReportRejection:
		s.onRefusal(act.From, act.Err)
	case adopter.SetWatch:
		s.setWatch(act.On)
	case adopter.ReadHead:
		s.startCall(s.readHead)
	case adopter.SendNotice:
		s.startCall(func(ctx context.Context) { s.compareVersions(ctx, act) })
	case adopter.FetchChunk:
		s.startCall(func(ctx context.Context) { s.fetchChunk(ctx, act) })
	}
}

// startCall runs f in a goroutine that [Syncer.Run] waits for. Calls that are started
// before Run are queued until then.
func (s *Syncer) startCall(f func(ctx context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		s.queuedCalls = append(s.queuedCalls, f)
		return
	}
	if ctx := s.ctx; ctx.Err() == nil {
		s.wg.Go(func() { f(ctx) })
	}
}

func (s *Syncer) startQueuedCalls(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	waiting := s.queuedCalls
	s.queuedCalls = nil
	s.mu.Unlock()
	for _, f := range waiting {
		s.startCall(f)
	}
}

func (s *Syncer) readHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := s.platform.Get(ctx, HeadKey)
	s.reportHead(item, err)
}

func (s *Syncer) reportHead(item storer.Item, err error) {
	if errors.Is(err, storer.ErrAbsent) {
		err = nil
	}
	s.send(func(now time.Time, a *adopter.Adopter) []adopter.Action {
		return a.HandlePlatformHead(now, item.Body, err)
	})
}

func (s *Syncer) setWatch(on bool) {
	s.stopWatch()
	if !on {
		return
	}
	watchCtx, cancel := context.WithCancel(context.Background())
	s.stopWatch = cancel
	s.startCall(func(ctx context.Context) {
		defer context.AfterFunc(ctx, cancel)()
		s.watchHead(watchCtx)
	})
}

func (s *Syncer) watchHead(ctx context.Context) {
	revision := uint64(0)
	for ctx.Err() == nil {
		items, next, err := s.platform.Watch(ctx, HeadKey, revision, watchWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.reportHead(storer.Item{}, err)
			sleep(ctx, watchRetryDelay)
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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *Syncer) compareVersions(ctx context.Context, sent adopter.SendNotice) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := s.exchange(ctx, sent)
	s.send(func(now time.Time, a *adopter.Adopter) []adopter.Action {
		if err != nil {
			return a.HandleNoticeFailure(now, sent)
		}
		return a.HandleAnswer(now, sent, answer)
	})
}

func (s *Syncer) exchange(ctx context.Context, sent adopter.SendNotice) (adopter.Notice, error) {
	payload, err := checker.Encode(sent.Notice)
	if err != nil {
		return adopter.Notice{}, err
	}
	m, err := connector.Call[*wirepb.Head](ctx, s.pool, sent.Peer.Addr, "", &wirepb.Head{Payload: payload})
	if err != nil {
		return adopter.Notice{}, fmt.Errorf("compare versions with %s: %w", sent.Peer.Name, err)
	}
	return checker.Decode[adopter.Notice](m.GetPayload())
}

func (s *Syncer) fetchChunk(ctx context.Context, f adopter.FetchChunk) {
	select {
	case <-ctx.Done():
		return
	case s.fetchSlots <- struct{}{}:
	}
	defer func() { <-s.fetchSlots }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := s.getChunk(ctx, f)
	s.send(func(now time.Time, a *adopter.Adopter) []adopter.Action {
		if err != nil {
			return a.HandleChunkFailure(now, f)
		}
		return a.HandleChunk(now, f, body)
	})
}

var errNoChunk = errors.New("peer does not have the chunk")

func (s *Syncer) getChunk(ctx context.Context, f adopter.FetchChunk) ([]byte, error) {
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
