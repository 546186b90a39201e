package relayer

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/storer"
	"daisylane/internal/wirepb"
)

const (
	watchWait     = 25 * time.Second
	retryInterval = time.Second
	maxAttempts   = 8
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 2 * time.Second
)

// Platform is the part of the platform client that the relayer uses.
type Platform interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Put(ctx context.Context, key string, body []byte, version uint64) (uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]storer.Item, uint64, error)
}

// handler returns the response to one call.
type handler func(ctx context.Context, id string, m proto.Message) (proto.Message, error)

// Relayer sends and handles calls through the platform. It is safe for concurrent use.
type Relayer struct {
	platform Platform
	self     string
	log      zerolog.Logger
	handlers map[protoreflect.FullName]handler

	mu               sync.Mutex
	pendingResponses map[string]chan *wirepb.Frame // by call id
}

// Option configures a relayer.
type Option func(*Relayer)

// WithLogger sets the logger. The default discards events.
func WithLogger(log zerolog.Logger) Option { return func(r *Relayer) { r.log = log } }

// New returns a relayer for the given instance.
func New(platform Platform, self string, opts ...Option) *Relayer {
	r := &Relayer{
		platform:         platform,
		self:             self,
		log:              zerolog.Nop(),
		handlers:         make(map[protoreflect.FullName]handler),
		pendingResponses: make(map[string]chan *wirepb.Frame),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// HandleCall registers the handler for calls with a message of type M. Register all
// handlers before Run.
func HandleCall[M, A proto.Message](r *Relayer, h func(ctx context.Context, id string, m M) (A, error)) {
	var zero M
	r.handlers[zero.ProtoReflect().Descriptor().FullName()] = func(ctx context.Context, id string, m proto.Message) (proto.Message, error) {
		return h(ctx, id, m.(M))
	}
}

// Call sends a call to another instance and waits at most 2 s for the response. A
// refusal of the peer becomes a [*connector.RefusedError]. After any other error the
// peer may have carried out the call.
func Call[A proto.Message](ctx context.Context, r *Relayer, to, id string, m proto.Message) (A, error) {
	var zero A
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f, err := connector.Wrap(id, m)
	if err != nil {
		return zero, fmt.Errorf("relay to %s: %w", to, err)
	}
	call := rand.Text()
	response := r.addPending(call)
	defer r.removePending(call)
	if err := r.sendFrame(ctx, to, call, false, f); err != nil {
		return zero, fmt.Errorf("relay to %s: %w", to, err)
	}
	select {
	case <-ctx.Done():
		return zero, fmt.Errorf("relay to %s: wait for response: %w", to, ctx.Err())
	case f := <-response:
		if refused := f.GetRefused(); refused != nil {
			return zero, connector.NewRefusedError(refused)
		}
		a, ok := connector.Unwrap(f).(A)
		if !ok {
			return zero, fmt.Errorf("relay to %s: unexpected response: %w", to, connector.ErrProtocol)
		}
		return a, nil
	}
}

// Run watches the inbox until the context ends.
func (r *Relayer) Run(ctx context.Context) {
	after := uint64(1)
	for ctx.Err() == nil {
		items, revision, err := r.platform.Watch(ctx, InboxKey(r.self), after, watchWait)
		if err != nil {
			r.log.Debug().Err(err).Msg("inbox watch failed; retrying")
			select {
			case <-ctx.Done():
			case <-time.After(retryInterval):
			}
			continue
		}
		after = revision
		for _, item := range items {
			if item.Key == InboxKey(r.self) && len(item.Body) > 0 {
				r.receive(ctx, item)
			}
		}
	}
}

// receive removes the messages in item from the inbox and handles them. Messages that
// arrived later stay in the inbox for the next watch.
func (r *Relayer) receive(ctx context.Context, item storer.Item) {
	inbox, err := checker.Decode[Inbox](item.Body)
	if err != nil {
		r.log.Warn().Err(err).Msg("inbox is invalid; clearing it")
	}
	if err == nil && len(inbox.Messages) == 0 {
		return
	}
	// Remove the messages first: only the process that removed a message handles it.
	if err := r.update(ctx, r.self, func(b Inbox) Inbox { return b.Without(inbox.Messages) }); err != nil {
		r.log.Warn().Err(err).Msg("messages not removed from the inbox")
		return
	}
	for _, m := range inbox.Messages {
		go r.handle(ctx, m)
	}
}

func (r *Relayer) handle(ctx context.Context, m Message) {
	f := &wirepb.Frame{}
	if err := proto.Unmarshal(m.Frame, f); err != nil {
		r.log.Warn().Str("from", m.From).Err(err).Msg("undecodable relayed frame ignored")
		return
	}
	if m.IsResponse {
		r.deliver(m.ID, f)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := connector.Wrap(f.GetId(), r.respond(ctx, f))
	if err == nil {
		err = r.sendFrame(ctx, m.From, m.ID, true, response)
	}
	if err != nil {
		r.log.Warn().Str("to", m.From).Err(err).Msg("response to relayed call not sent")
	}
}

func (r *Relayer) respond(ctx context.Context, f *wirepb.Frame) proto.Message {
	m := connector.Unwrap(f)
	if m == nil {
		return &wirepb.Refused{Reason: "frame", Text: "the frame is empty"}
	}
	h, ok := r.handlers[m.ProtoReflect().Descriptor().FullName()]
	if !ok {
		return &wirepb.Refused{Reason: "frame", Text: "no handler for the message"}
	}
	a, err := h(ctx, f.GetId(), m)
	if err == nil {
		return a
	}
	var refused *connector.RefusedError
	if errors.As(err, &refused) {
		return refused.Message()
	}
	return &wirepb.Refused{Reason: "internal", Text: err.Error()}
}

func (r *Relayer) sendFrame(ctx context.Context, to, call string, isResponse bool, f *wirepb.Frame) error {
	data, err := proto.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	m := Message{ID: call, From: r.self, IsResponse: isResponse, Frame: data}
	return r.update(ctx, to, func(b Inbox) Inbox { return b.With(m) })
}

// update changes an inbox with a conditional write, and retries on a conflict.
func (r *Relayer) update(ctx context.Context, owner string, change func(Inbox) Inbox) error {
	var err error
	for range maxAttempts {
		if err = r.tryUpdate(ctx, owner, change); err == nil || !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
	return err
}

func (r *Relayer) tryUpdate(ctx context.Context, owner string, change func(Inbox) Inbox) error {
	var inbox Inbox
	item, err := r.platform.Get(ctx, InboxKey(owner))
	switch {
	case errors.Is(err, storer.ErrAbsent):
		item = storer.Item{}
	case err != nil:
		return fmt.Errorf("read inbox of %s: %w", owner, err)
	default:
		// An invalid inbox is replaced by a new one.
		inbox, _ = checker.Decode[Inbox](item.Body)
	}
	body, err := checker.Encode(change(inbox))
	if err != nil {
		return fmt.Errorf("inbox of %s: %w", owner, err)
	}
	if _, err := r.platform.Put(ctx, InboxKey(owner), body, item.Version); err != nil {
		return fmt.Errorf("write inbox of %s: %w", owner, err)
	}
	return nil
}

func (r *Relayer) addPending(call string) chan *wirepb.Frame {
	r.mu.Lock()
	defer r.mu.Unlock()
	response := make(chan *wirepb.Frame, 1)
	r.pendingResponses[call] = response
	return response
}

func (r *Relayer) removePending(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pendingResponses, call)
}

func (r *Relayer) deliver(call string, f *wirepb.Frame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if response, ok := r.pendingResponses[call]; ok {
		select {
		case response <- f:
		default:
		}
	}
}
