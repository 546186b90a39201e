package cacher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"daisylane/internal/follower"
)

const (
	// encodingCopies is how many times the size of an answer its encoding may take: the result,
	// and a buffer of the encoder, which may be twice as large.
	encodingCopies = 3
	// changeBytes is what a change takes beside its key and content, in the answer and in lists.
	changeBytes = 256
	// freeBytes is the size up to which an answer is not charged, less than the buffers of a
	// connection: changes of targets are told also if clients fill the memory.
	freeBytes = 4 << 10
)

// Memory accounts for answers to neighbours.
type Memory interface {
	// HoldAnswer asks for memory. It does not wait.
	HoldAnswer(n int64) bool
	FreeAnswer(n int64)
}

// unlimited is a [Memory] with room for all answers.
type unlimited struct{}

func (unlimited) HoldAnswer(int64) bool { return true }
func (unlimited) FreeAnswer(int64)      {}

// answers holds the encoded changes of the answers that are being written. Neighbours that wait
// for the same changes share them: a configuration of 1 MB for each of 320 would take ten times
// the memory of a small machine. It is safe for concurrent use.
type answers struct {
	memory Memory

	mu      sync.Mutex
	encoded map[answerKey]*encoded
}

// answerKey identifies a list of changes: as many as lead to a position.
type answerKey struct {
	kind  string
	to    follower.Position
	count int
	first uint64 // version
}

// encoded is an encoded list of changes.
type encoded struct {
	done  chan struct{} // closed when it is encoded, or there is no memory for it
	data  []byte        // nil: there is no memory for it
	held  int64
	users int
}

// acquire takes the changes of a reply and returns them encoded. The caller must release them. It
// returns false if there is no memory for them.
func (a *answers) acquire(kind string, r *Reply) (key answerKey, data []byte, ok bool) {
	changes := r.Changes
	r.Changes = nil // not kept while others encode the same, or while the answer is written
	key = answerKey{kind, follower.Position{Era: r.Era, Revision: r.Revision}, len(changes), changes[0].Item.Version}
	a.mu.Lock()
	e, known := a.encoded[key]
	if !known {
		e = &encoded{done: make(chan struct{})}
		a.encoded[key] = e
	}
	e.users++
	a.mu.Unlock()
	if !known {
		e.encode(a.memory, changes)
	}
	<-e.done
	if e.data == nil {
		a.release(key)
		return key, nil, false
	}
	return key, e.data, true
}

// encode encodes a list of changes if there is memory for it.
func (e *encoded) encode(m Memory, changes []change) {
	defer close(e.done)
	size := int64(0)
	for _, c := range changes {
		size += int64(changeBytes + len(c.Item.Key) + (len(c.Item.Body)+2)/3*4) // base64
	}
	if size <= freeBytes {
		size = 0
	}
	if size > 0 && !m.HoldAnswer(encodingCopies*size) {
		return
	}
	data, err := json.Marshal(changes)
	if err != nil { // not for these types
		m.FreeAnswer(encodingCopies * size)
		return
	}
	m.FreeAnswer((encodingCopies - 1) * size)
	e.data, e.held = data, size
}

// release ends the use of encoded changes.
func (a *answers) release(key answerKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.encoded[key]
	if e.users--; e.users == 0 {
		delete(a.encoded, key)
		a.memory.FreeAnswer(e.held)
	}
}

// answer is a [Reply] whose changes are encoded.
type answer struct {
	Reply          // without the changes
	data    []byte // the changes, nil: there are none
	release func()
}

// head is a [Reply] without changes. It is never empty, unlike a Reply.
type head struct {
	Era      int64 `json:"era"`
	Revision int64 `json:"revision"`
	Contact  int64 `json:"contact"`
}

// respond answers a neighbour. It refuses if there is no memory for the changes.
func (c *Cache) respond(ctx context.Context, a Ask) answer {
	r := c.serve(ctx, a)
	if len(r.Changes) == 0 {
		return answer{Reply: r}
	}
	key, data, ok := c.answers.acquire(a.Kind, &r)
	if !ok {
		c.log.Debug().Str("kind", a.Kind).Msg("neighbour refused for lack of memory")
		return answer{Reply: Reply{Refused: Busy, Era: r.Era}}
	}
	return answer{r, data, func() { c.answers.release(key) }}
}

// WriteTo implements [io.WriterTo]. It writes the shared changes without a copy.
func (a answer) WriteTo(w io.Writer) (int64, error) {
	if a.data == nil {
		return write(w, a.Reply)
	}
	defer a.release()
	rest, err := json.Marshal(head{a.Era, a.Revision, a.Contact})
	if err != nil {
		return 0, fmt.Errorf("encode answer: %w", err)
	}
	rest[0] = ',' // instead of the brace
	var n int64
	for _, part := range [][]byte{[]byte(`{"changes":`), a.data, rest} {
		m, err := w.Write(part)
		if n += int64(m); err != nil {
			return n, fmt.Errorf("write answer: %w", err)
		}
	}
	return n, nil
}

// write writes a reply without changes.
func write(w io.Writer, r Reply) (int64, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode answer: %w", err)
	}
	n, err := w.Write(data)
	if err != nil {
		return int64(n), fmt.Errorf("write answer: %w", err)
	}
	return int64(n), nil
}
