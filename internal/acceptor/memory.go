package acceptor

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"daisylane/internal/gatekeeper"
	"daisylane/internal/reporter"
)

const (
	// firstBuffer holds most requests. Larger bodies double their buffer as they arrive.
	firstBuffer = 4 << 10
	// stepInterval is how often bodies are looked at while some are being read. A deadline for
	// each read would cost a request 5% more processor time.
	stepInterval = 50 * time.Millisecond
	// relieved is how many bodies are given up for a connection without room: more than one,
	// as others follow it.
	relieved = 8
	// retryDelay is the mean time after which a body without room should come back: bodies
	// ahead of it wait for at most a second.
	retryDelay = 2 * time.Second
)

// Reasons why a body is not read whole. Nothing has run for its request.
var (
	ErrTooLarge = errors.New("body exceeds the limit")
	ErrNoMemory = errors.New("no memory for the body in time")
	ErrTooSlow  = errors.New("body arrives too slowly")
	ErrDeadline = errors.New("time of the request is over before its body is whole")
)

// RetryAfter returns when a client whose body had no room should come back.
func RetryAfter() time.Duration { return retryDelay/2 + rand.N(retryDelay) }

// Memory accounts for the bodies and answers of all clients of an instance. It is safe for
// concurrent use.
type Memory struct {
	mu      sync.Mutex
	decide  *gatekeeper.Memory
	bodies  map[*gatekeeper.Body]*Body
	ticking bool
	scope   tally.Scope
}

// MemoryOption changes a setting of a [Memory].
type MemoryOption func(*Memory)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) MemoryOption { return func(m *Memory) { m.scope = s } }

// NewMemory returns an account with a limit in bytes.
func NewMemory(limit int64, opts ...MemoryOption) *Memory {
	m := &Memory{decide: gatekeeper.NewMemory(limit), bodies: make(map[*gatekeeper.Body]*Body), scope: tally.NoopScope}
	for _, o := range opts {
		o(m)
	}
	return m
}

// SetLimit changes the limit.
func (m *Memory) SetLimit(limit int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decide.SetLimit(limit)
}

// Body is the body of a request. The nil Body is empty.
type Body struct {
	m          *Memory
	b          *gatekeeper.Body
	data       []byte
	granted    chan gatekeeper.Verdict // nil: the body does not wait
	controller *http.ResponseController
}

// Bytes returns the content.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// Close frees the memory of the body. The content must not be used any more.
func (b *Body) Close() {
	if b == nil || b.m == nil {
		return
	}
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	b.m.decide.Close(b.b)
	delete(b.m.bodies, b.b)
	b.m.step()
	b.m, b.data = nil, nil
}

// Read reads the body of a request of at most limit bytes until the deadline. The buffer
// grows as the bytes arrive. If it returns an error, nothing may follow on the connection
// after the response. The caller must close the body.
func (m *Memory) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, error) {
	switch {
	case r.ContentLength == 0:
		return nil, nil
	case r.ContentLength > limit:
		return nil, ErrTooLarge
	}
	b := &Body{m: m, controller: http.NewResponseController(w)}
	now := time.Now()
	m.mu.Lock()
	b.b = m.decide.Open(now, r.ContentLength, deadline)
	m.bodies[b.b] = b
	m.tick()
	m.mu.Unlock()
	err := b.read(r.Body, r.ContentLength, limit)
	if err != nil {
		m.scope.Tagged(map[string]string{"reason": reason(err)}).Counter(reporter.UnreadBodies).Inc(1)
		b.Close()
		return nil, err
	}
	markWhole(r)
	return b, nil
}

// reason names an error for the metrics.
func reason(err error) string {
	switch {
	case errors.Is(err, ErrTooLarge):
		return "large"
	case errors.Is(err, ErrNoMemory):
		return "memory"
	case errors.Is(err, ErrTooSlow):
		return "slow"
	case errors.Is(err, ErrDeadline):
		return "deadline"
	}
	return "left"
}

func (b *Body) read(src io.Reader, declared, limit int64) error {
	size := limit + 1 // one more tells a body over the limit from one at it
	if declared >= 0 {
		size = declared
	}
	for int64(len(b.data)) < size {
		if len(b.data) == cap(b.data) {
			if err := b.grow(size); err != nil {
				return err
			}
		}
		n, err := src.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		whole := int64(len(b.data)) == declared || errors.Is(err, io.EOF) && declared < 0 && int64(len(b.data)) <= limit
		if verdict := b.receive(int64(n), whole); verdict != "" {
			return failure(verdict)
		}
		switch {
		case whole:
			return nil
		case err != nil:
			return err
		}
	}
	if declared < 0 {
		return ErrTooLarge
	}
	return nil
}

// receive records bytes that have arrived, and whether the body is whole. It returns why the
// body is given up, if it is.
func (b *Body) receive(n int64, whole bool) gatekeeper.Verdict {
	m := b.m
	m.mu.Lock()
	defer m.mu.Unlock()
	verdict := m.decide.Receive(time.Now(), b.b, n)
	if verdict == "" && whole {
		m.decide.Complete(b.b)
		delete(m.bodies, b.b)
	}
	return verdict
}

// failure returns the error for a body that is given up.
func failure(v gatekeeper.Verdict) error {
	switch v {
	case gatekeeper.Refused:
		return ErrNoMemory
	case gatekeeper.Late:
		return ErrDeadline
	}
	return ErrTooSlow
}

// grow makes the buffer two to four times as large, up to the size of the body.
func (b *Body) grow(size int64) error {
	had := int64(cap(b.data))
	more := had
	if had <= gatekeeper.SmallBody/4 {
		more = max(firstBuffer, 3*had) // fewer copies of ordinary bodies
	}
	more = min(more, size-had)
	m := b.m
	var granted chan gatekeeper.Verdict
	m.mu.Lock()
	verdict := m.decide.Grow(time.Now(), b.b, more)
	if verdict == gatekeeper.Waiting {
		granted = make(chan gatekeeper.Verdict, 1)
		b.granted = granted
		m.step()
	}
	m.mu.Unlock()
	if verdict == gatekeeper.Waiting {
		verdict = <-granted
	}
	if verdict != gatekeeper.Granted {
		return failure(verdict)
	}
	next := make([]byte, len(b.data), had+more)
	copy(next, b.data)
	b.data = next
	return nil
}

// step carries out what is decided about waiting bodies. The caller must hold the lock.
func (m *Memory) step() { m.carryOut(m.decide.Step(time.Now())) }

// Relieve gives up some bodies whose clients are too slow, because there is no room for
// connections.
func (m *Memory) Relieve() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.carryOut(m.decide.Relieve(time.Now(), relieved))
}

// carryOut carries out decisions. The caller must hold the lock.
func (m *Memory) carryOut(events []gatekeeper.Event) {
	for _, e := range events {
		b, ok := m.bodies[e.Body]
		switch {
		case !ok:
		case b.granted != nil:
			b.granted <- e.Verdict
			b.granted = nil
		default:
			// Ends the read that waits for the client. An error means that the connection has
			// ended, and so has the read.
			_ = b.controller.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// tick looks at bodies from time to time while some are being read. The caller must hold the
// lock.
func (m *Memory) tick() {
	if m.ticking || m.decide.Reading() == 0 {
		return
	}
	m.ticking = true
	time.AfterFunc(stepInterval, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.ticking = false
		m.carryOut(m.decide.Expire(time.Now()))
		m.step()
		m.tick()
	})
}

// HoldAnswer asks for memory for a part of an answer. Without room, the answer is to be
// delivered without being buffered.
func (m *Memory) HoldAnswer(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.decide.HoldAnswer(n)
}

// FreeAnswer frees memory of answers.
func (m *Memory) FreeAnswer(n int64) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decide.FreeAnswer(n)
	m.step()
}

// Report updates the gauges.
func (m *Memory) Report() {
	m.mu.Lock()
	held, queue := m.decide.Held(), m.decide.Queue()
	m.mu.Unlock()
	m.scope.Gauge(reporter.HeldBytes).Update(float64(held))
	m.scope.Gauge(reporter.WaitingBodies).Update(float64(queue))
}
