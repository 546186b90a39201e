package prober

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// dialError means that no connection was made.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// runner is the state of an experiment.
type runner struct {
	exp     Experiment
	start   string // makes request ids differ from those of earlier experiments at the same stand-ins
	client  *http.Client
	rand    *rand.Rand
	slots   chan struct{}
	pending sync.WaitGroup
	sent    int

	mu      sync.Mutex
	results []Result
	skipped map[string]int // per phase
}

// Run carries out an experiment and returns its report.
func Run(ctx context.Context, exp Experiment) (Report, error) {
	r := newRunner(exp)
	for _, p := range exp.Phases {
		if err := r.phase(ctx, p); err != nil {
			return Report{}, fmt.Errorf("phase %s: %w", p.Name, err)
		}
	}
	r.pending.Wait()
	if err := sleep(ctx, exp.Settle.Std()); err != nil {
		return Report{}, err
	}
	markFalse(exp.Callers, exp.Settle.Std(), r.results)
	found, err := r.compare(ctx)
	if err != nil {
		return Report{}, fmt.Errorf("compare records: %w", err)
	}
	return summarize(exp, r.results, r.skipped, found), nil
}

func newRunner(exp Experiment) *runner {
	dialer := &net.Dialer{Timeout: time.Second}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = exp.InFlight
	t.Proxy = nil
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, &dialError{err}
		}
		return conn, nil
	}
	return &runner{
		exp:     exp,
		start:   strconv.FormatInt(time.Now().UnixNano(), 36),
		client:  &http.Client{Transport: t, Timeout: exp.Timeout.Std()},
		rand:    rand.New(rand.NewPCG(exp.Seed, 0)),
		slots:   make(chan struct{}, exp.InFlight),
		skipped: make(map[string]int),
	}
}

// phase sets the fault switches and sends requests at random times with the
// phase's mean rate, whether or not earlier ones have been answered.
func (r *runner) phase(ctx context.Context, p Phase) error {
	for _, f := range p.Faults {
		if err := r.set(ctx, f); err != nil {
			return err
		}
	}
	end := time.Now().Add(p.Duration.Std())
	for at := time.Now(); r.sent < r.exp.Limit && p.Rate > 0; r.sent++ {
		at = at.Add(time.Duration(r.rand.ExpFloat64() / p.Rate * float64(time.Second)))
		if at.After(end) {
			break
		}
		if err := sleep(ctx, time.Until(at)); err != nil {
			return err
		}
		if err := r.launch(ctx, p); err != nil {
			return err
		}
	}
	return sleep(ctx, time.Until(end))
}

func (r *runner) set(ctx context.Context, f Fault) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL, strings.NewReader(f.Body))
	if err != nil {
		return fmt.Errorf("set fault: %w", err)
	}
	res, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("set fault: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("set fault at %s: status %d", f.URL, res.StatusCode)
	}
	return nil
}

func (r *runner) launch(ctx context.Context, p Phase) error {
	first := r.rand.IntN(len(r.exp.Entries))
	entries := slices.Concat(r.exp.Entries[first:], r.exp.Entries[:first])
	q, err := newRequest(r.pick(), fmt.Sprintf("probe-%s-%d", r.start, r.sent))
	if err != nil {
		return err
	}
	select {
	case r.slots <- struct{}{}:
	default:
		r.skipped[p.Name]++
		return nil
	}
	r.pending.Go(func() {
		defer func() { <-r.slots }()
		r.probe(ctx, p, q, entries)
	})
	return nil
}

func (r *runner) probe(ctx context.Context, p Phase, q request, entries []string) {
	res := q.send(ctx, r.client, entries)
	res.Phase = p.Name
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// pick chooses a caller by share.
func (r *runner) pick() Caller {
	sum := 0.0
	for _, c := range r.exp.Callers {
		sum += c.Share
	}
	at := r.rand.Float64() * sum
	for _, c := range r.exp.Callers {
		if at -= c.Share; at < 0 {
			return c
		}
	}
	return r.exp.Callers[len(r.exp.Callers)-1]
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
