package executor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/assembler"
	"daisylane/internal/connector"
	"daisylane/internal/wirepb"
)

const maxRecords = 32

// Causes for the end of a running request.
var (
	errCancelled = errors.New("the router cancelled the request")
	errLimit     = errors.New("the request reached the limit of its reservation")
	errDeadline  = errors.New("the deadline passed")
)

// Record is a step in the life of a request.
type Record struct {
	Time time.Time `json:"time"`
	Text string    `json:"text"`
}

// job is one request and its output. It outlives the streams that read it.
type job struct {
	id       string
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc

	mu       sync.Mutex
	run      *wirepb.Run // nil after the end, to free the payload
	buf      *assembler.Buffer
	changed  chan struct{} // closed at the next change
	accepted bool
	refused  *connector.RefusedError
	end      *wirepb.End
	ended    time.Time
	records  []Record
	readers  int // streams that read the answer

	delivered bool // a stream has read the answer to its end
}

// view is the state of a job for a reader at an offset.
type view struct {
	pieces   []assembler.Piece
	changed  <-chan struct{}
	accepted bool
	refused  *connector.RefusedError
	end      *wirepb.End
}

func newJob(ctx context.Context, id string, run *wirepb.Run, deadline time.Time, bufferBytes int) *job {
	j := &job{
		id: id, run: run, deadline: deadline,
		buf: assembler.NewBuffer(bufferBytes), changed: make(chan struct{}),
	}
	j.ctx, j.cancel = context.WithCancelCause(ctx)
	return j
}

func (j *job) view(offset uint64) (view, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	pieces, err := j.buf.From(offset)
	if err != nil {
		return view{}, fmt.Errorf("request %s: %w", j.id, err)
	}
	return view{pieces: pieces, changed: j.changed, accepted: j.accepted, refused: j.refused, end: j.end}, nil
}

// update changes the job under its lock and wakes its readers.
func (j *job) update(f func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f()
	close(j.changed)
	j.changed = make(chan struct{})
}

func (j *job) isRefused() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.refused != nil
}

// request returns the Run message of a job that has not ended.
func (j *job) request() *wirepb.Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.run
}

func (j *job) accept() {
	j.update(func() { j.accepted = true })
	j.note("sent to the target")
}

func (j *job) refuse(e *connector.RefusedError) {
	j.update(func() { j.refused, j.ended, j.run = e, time.Now(), nil })
	j.note("refused: %s: %s", e.Reason, e.Text)
	j.cancel(e)
}

func (j *job) finish(end *wirepb.End) {
	j.update(func() {
		end.Count, end.Sum = j.buf.Count(), j.buf.Sum()
		j.end, j.ended, j.run = end, time.Now(), nil
	})
	j.note("ended: %s: %s", end.GetOutcome(), end.GetText())
	j.cancel(nil)
}

// append keeps a data frame. While the buffer is full of unsent frames it waits
// for a reader, so that no frame is lost.
func (j *job) append(ctx context.Context, data []byte) error {
	for {
		var err error
		var changed <-chan struct{}
		j.mu.Lock()
		if _, err = j.buf.Append(data); err == nil {
			close(j.changed)
			j.changed = make(chan struct{})
		}
		changed = j.changed
		j.mu.Unlock()
		if !errors.Is(err, assembler.ErrFull) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("keep output: %w", context.Cause(ctx))
		case <-changed:
		}
	}
}

func (j *job) sent(seq uint64) { j.update(func() { j.buf.Sent(seq) }) }

func (j *job) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.records) < maxRecords {
		j.records = append(j.records, Record{time.Now(), fmt.Sprintf(format, args...)})
	}
}

func (j *job) history() []Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Record(nil), j.records...)
}

// expired reports whether the output is no longer kept.
func (j *job) expired(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.ended.IsZero() && now.Sub(j.ended) > keepPeriod
}

// read counts streams that read the answer and returns their number.
func (j *job) read(change int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers += change
	return j.readers
}

// unread reports whether the answer ended and no stream has read its end.
func (j *job) unread() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.end != nil && j.readers == 0 && !j.delivered
}

// deliver records that a stream has read the answer to its end.
func (j *job) deliver() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.delivered = true
}
