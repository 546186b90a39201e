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

	"daisylane/internal/verifier"
)

// dialError is returned if no connection was established.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// runner is the state of a running experiment.
type runner struct {
	exp      Experiment
	runID    string // keeps request ids distinct from those of earlier experiments with the same stand-ins
	client   *http.Client
	rng      *rand.Rand
	slots    chan struct{}
	inFlight sync.WaitGroup
	sent     int

	mu      sync.Mutex
	results []Result
	skipped map[string]int // skipped requests per phase
}

// Run runs an experiment and returns its report.
func Run(ctx context.Context, exp Experiment) (Report, error) {
	r := newRunner(exp)
	for _, p := range exp.Phases {
		if err := r.runPhase(ctx, p); err != nil {
			return Report{}, fmt.Errorf("phase %s: %w", p.Name, err)
		}
	}
	r.inFlight.Wait()
	if err := sleep(ctx, exp.SettleTime.Std()); err != nil {
		return Report{}, err
	}
	markFalseRefusals(exp.Callers, exp.SettleTime.Std(), r.results)
	findings, err := r.compareRecords(ctx)
	if err != nil {
		return Report{}, fmt.Errorf("compare run records: %w", err)
	}
	return summarize(exp, r.results, r.skipped, findings), nil
}

func newRunner(exp Experiment) *runner {
	dialer := &net.Dialer{Timeout: time.Second}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = exp.MaxInFlight
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
		runID:   strconv.FormatInt(time.Now().UnixNano(), 36),
		client:  &http.Client{Transport: verifier.NewTransport(t), Timeout: exp.Timeout.Std()},
		rng:     rand.New(rand.NewPCG(exp.Seed, 0)),
		slots:   make(chan struct{}, exp.MaxInFlight),
		skipped: make(map[string]int),
	}
}

// runPhase sets the fault switches and sends requests with exponentially distributed
// intervals at the phase's mean rate, without waiting for earlier responses.
func (r *runner) runPhase(ctx context.Context, p Phase) error {
	for _, f := range p.Faults {
		if err := r.setFault(ctx, f); err != nil {
			return err
		}
	}
	end := time.Now().Add(p.Duration.Std())
	for at := time.Now(); r.sent < r.exp.MaxRequests && p.Rate > 0; r.sent++ {
		at = at.Add(time.Duration(r.rng.ExpFloat64() / p.Rate * float64(time.Second)))
		if at.After(end) {
			break
		}
		if err := sleep(ctx, time.Until(at)); err != nil {
			return err
		}
		if err := r.startRequest(ctx, p); err != nil {
			return err
		}
	}
	return sleep(ctx, time.Until(end))
}

func (r *runner) setFault(ctx context.Context, f Fault) error {
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

func (r *runner) startRequest(ctx context.Context, p Phase) error {
	first := r.rng.IntN(len(r.exp.Entries))
	entries := slices.Concat(r.exp.Entries[first:], r.exp.Entries[:first])
	q, err := newRequest(r.pickCaller(), fmt.Sprintf("probe-%s-%d", r.runID, r.sent))
	if err != nil {
		return err
	}
	select {
	case r.slots <- struct{}{}:
	default:
		r.skipped[p.Name]++
		return nil
	}
	r.inFlight.Go(func() {
		defer func() { <-r.slots }()
		r.sendAndRecord(ctx, p, q, entries)
	})
	return nil
}

func (r *runner) sendAndRecord(ctx context.Context, p Phase, q request, entries []string) {
	res := q.send(ctx, r.client, entries)
	res.Phase = p.Name
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// pickCaller returns a random caller, weighted by share.
func (r *runner) pickCaller() Caller {
	sum := 0.0
	for _, c := range r.exp.Callers {
		sum += c.Share
	}
	at := r.rng.Float64() * sum
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
