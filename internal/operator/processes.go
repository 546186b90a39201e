package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
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
	processTimeout       = 3 * time.Second
	maxConcurrentQueries = 16
)

func decodeMember(item storer.Item) (watcher.Member, error) {
	m, err := checker.Decode[watcher.Member](item.Body)
	if err != nil {
		return m, fmt.Errorf("registration %s: %w", item.Key, err)
	}
	return m, nil
}

// listMembers returns the registered processes.
func listMembers(ctx context.Context, p platformClient) ([]watcher.Member, error) {
	items, err := p.List(ctx, watcher.KeyPrefix)
	if err != nil {
		return nil, fmt.Errorf("list processes: %w", err)
	}
	var list []watcher.Member
	for _, item := range items {
		if strings.HasPrefix(item.Key, watcher.WarningPrefix) {
			continue
		}
		m, err := decodeMember(item)
		if err != nil {
			return nil, err
		}
		list = append(list, m)
	}
	return list, nil
}

// processReply is the reply of one process to a query, or the error of the call.
type processReply struct {
	Name   string          `json:"name"`
	Role   string          `json:"role"`
	Centre string          `json:"centre"`
	Addr   string          `json:"addr"`
	Report json.RawMessage `json:"report,omitempty"`
	Error  string          `json:"error,omitempty"`
	err    error
}

// queryAll queries all processes concurrently and returns their replies in the order
// of the list.
func queryAll[A interface {
	proto.Message
	GetPayload() []byte
}](ctx context.Context, pool *connector.Pool, list []watcher.Member, id string, query proto.Message) []processReply {
	replies := make([]processReply, len(list))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	var mu sync.Mutex
	for i, m := range list {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, processTimeout)
			defer cancel()
			reply := processReply{Name: m.Name, Role: m.Role, Centre: m.Centre, Addr: m.Addr}
			res, err := connector.Call[A](ctx, pool, m.Addr, id, query)
			if err != nil {
				reply.err, reply.Error = err, err.Error()
			} else if payload := res.GetPayload(); json.Valid(payload) {
				reply.Report = payload
			}
			mu.Lock()
			defer mu.Unlock()
			replies[i] = reply
			return nil
		})
	}
	_ = group.Wait()
	return replies
}

// withProcesses calls f with the registered processes and a pool of connections to
// them.
func (e *env) withProcesses(f func(ctx context.Context, pool *connector.Pool, list []watcher.Member) error) error {
	p, pool, err := e.connect()
	if err != nil {
		return err
	}
	defer pool.Close()
	ctx, cancel := e.context()
	defer cancel()
	list, err := listMembers(ctx, p)
	if err != nil {
		return err
	}
	return f(ctx, pool, list)
}

// connect returns the platform client and a pool of connections to processes.
func (e *env) connect() (platformClient, *connector.Pool, error) {
	p, cfg, err := e.platform()
	if err != nil {
		return nil, nil, err
	}
	pool, err := e.pool(cfg)
	return p, pool, err
}
