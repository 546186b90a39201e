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

// maxLoggedRequests is the number of requests whose decisions are stored for the
// explain command.
const maxLoggedRequests = 10_000

// decisionLog implements [router.DecisionLog]. It is safe for concurrent use.
type decisionLog struct {
	mu       sync.Mutex
	recorded *explainer.Explainer
}

func newDecisionLog() *decisionLog { return &decisionLog{recorded: explainer.New(maxLoggedRequests)} }

// Add implements [router.DecisionLog].
func (l *decisionLog) Add(id string, rec explainer.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorded.Add(id, rec)
}

func (l *decisionLog) json(id string) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recorded.JSON(id)
}

// Status is the state of an entry as reported to the operator's command line.
type Status struct {
	Instance string        `json:"instance"`
	Role     string        `json:"role"`
	Bundle   uint64        `json:"bundle"`   // active version
	Stopping bool          `json:"stopping"` // whether a graceful shutdown is in progress
	Inflight int64         `json:"inflight"`
	Holder   holder.Status `json:"holder"`
}

// registerOperatorHandlers registers the handlers of operator requests.
func (p *process) registerOperatorHandlers() {
	connector.HandleCall(p.peerServer, p.handleStatus)
	connector.HandleCall(p.peerServer, p.handleExplain)
}

func (p *process) handleStatus(ctx context.Context, _ string, _ *wirepb.Status) (*wirepb.Report, error) {
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

func (p *process) handleExplain(_ context.Context, _ string, m *wirepb.Explain) (*wirepb.Records, error) {
	data, err := p.decisionLog.json(m.GetRequest())
	if err != nil {
		return nil, &connector.RefusedError{Reason: "unknown", Text: err.Error()}
	}
	return &wirepb.Records{Payload: data}, nil
}
