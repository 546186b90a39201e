package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"daisylane/internal/connector"
	"daisylane/internal/explainer"
	"daisylane/internal/holder"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

// recordsKept is the number of requests whose decisions are kept for the explain command.
const recordsKept = 10_000

// records keeps the decisions about requests. It is safe for concurrent use.
type records struct {
	mu   sync.Mutex
	kept *explainer.Explainer
}

func newRecords() *records { return &records{kept: explainer.New(recordsKept)} }

// Add implements [router.Records].
func (r *records) Add(id string, rec explainer.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept.Add(id, rec)
}

func (r *records) json(id string) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept.JSON(id)
}

// Status is the state of an entry for the operator.
type Status struct {
	Instance string        `json:"instance"`
	Role     string        `json:"role"`
	Bundle   uint64        `json:"bundle"`   // version in force
	Stopping bool          `json:"stopping"` // whether a planned stop is under way
	Inflight int64         `json:"inflight"`
	Holder   holder.Status `json:"holder"`
}

// serveOperator registers the handlers for the operator's command line.
func (p *process) serveOperator() {
	connector.Answer(p.server, p.status)
	connector.Answer(p.server, p.explain)
}

func (p *process) status(ctx context.Context, _ string, _ *wirepb.Status) (*wirepb.Report, error) {
	held, err := p.holder.Status(ctx)
	if err != nil {
		return nil, fmt.Errorf("holder status: %w", err)
	}
	data, err := json.Marshal(Status{
		Instance: p.instance, Role: watcher.Entry, Bundle: p.bundles.Head().Version,
		Stopping: p.router.Stopping(), Inflight: p.router.Inflight(), Holder: held,
	})
	if err != nil {
		return nil, fmt.Errorf("encode status: %w", err)
	}
	return &wirepb.Report{Payload: data}, nil
}

func (p *process) explain(_ context.Context, _ string, m *wirepb.Explain) (*wirepb.Records, error) {
	data, err := p.records.json(m.GetRequest())
	if err != nil {
		return nil, &connector.RefusedError{Reason: "unknown", Text: err.Error()}
	}
	return &wirepb.Records{Payload: data}, nil
}
