package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/storer"
	"daisylane/internal/watcher"
)

const (
	processTimeout = 3 * time.Second
	maxExchanges   = 16
)

func decodeMember(item storer.Item) (watcher.Member, error) {
	m, err := checker.Decode[watcher.Member](item.Body)
	if err != nil {
		return m, fmt.Errorf("registration %s: %w", item.Key, err)
	}
	return m, nil
}

// members returns the registered processes.
func members(ctx context.Context, p platform) ([]watcher.Member, error) {
	items, err := p.List(ctx, watcher.Prefix)
	if err != nil {
		return nil, fmt.Errorf("list processes: %w", err)
	}
	var list []watcher.Member
	for _, item := range items {
		m, err := decodeMember(item)
		if err != nil {
			return nil, err
		}
		list = append(list, m)
	}
	return list, nil
}

// answer is what one process said.
type answer struct {
	Name   string          `json:"name"`
	Role   string          `json:"role"`
	Centre string          `json:"centre"`
	Addr   string          `json:"addr"`
	Report json.RawMessage `json:"report,omitempty"`
	Error  string          `json:"error,omitempty"`
	err    error
}

// askAll asks all processes at once and returns their answers in the same order.
func askAll[A interface {
	proto.Message
	GetPayload() []byte
}](ctx context.Context, pool *connector.Pool, list []watcher.Member, id string, question proto.Message) []answer {
	answers := make([]answer, len(list))
	var group errgroup.Group
	group.SetLimit(maxExchanges)
	var mu sync.Mutex
	for i, m := range list {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, processTimeout)
			defer cancel()
			a := answer{Name: m.Name, Role: m.Role, Centre: m.Centre, Addr: m.Addr}
			res, err := connector.Call[A](ctx, pool, m.Addr, id, question)
			if err != nil {
				a.err, a.Error = err, err.Error()
			} else if payload := res.GetPayload(); json.Valid(payload) {
				a.Report = payload
			}
			mu.Lock()
			defer mu.Unlock()
			answers[i] = a
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

// connect returns what is needed to reach the processes.
// reach calls f with the registered processes and a pool to talk to them.
func (e *env) reach(f func(ctx context.Context, pool *connector.Pool, list []watcher.Member) error) error {
	p, pool, err := e.connect()
	if err != nil {
		return err
	}
	defer pool.Close()
	ctx, cancel := e.context()
	defer cancel()
	list, err := members(ctx, p)
	if err != nil {
		return err
	}
	return f(ctx, pool, list)
}

func (e *env) connect() (platform, *connector.Pool, error) {
	p, cfg, err := e.platform()
	if err != nil {
		return nil, nil, err
	}
	pool, err := e.pool(cfg)
	return p, pool, err
}
