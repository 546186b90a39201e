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

// Reasons for which a running request is cancelled. Their texts are sent to the
// router in End and Refused frames.
var (
	errCancelled = errors.New("the router cancelled the request")
	errLimit     = errors.New("the request reached the limit of its reservation")
	errDeadline  = errors.New("the deadline passed")
)

// Record is an entry in the history of a request.
type Record struct {
	Time time.Time `json:"time"`
	Text string    `json:"text"`
}

// job is one request and its output. It outlives the streams that send its output to
// routers.
type job struct {
	id       string
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc

	mu       sync.Mutex
	run      *wirepb.Run // nil after the request has ended, to free the payload
	buf      *assembler.SendBuffer
	changed  chan struct{} // closed and replaced on each change
	accepted bool
	refused  *connector.RefusedError
	end      *wirepb.End
	endedAt  time.Time
	records  []Record
	readers  int // streams that are sending the output

	delivered bool // a stream has sent the output and End
}

// snapshot is the state of a job as seen by a reader at an offset.
type snapshot struct {
	frames   []assembler.BufferedFrame
	changed  <-chan struct{}
	accepted bool
	refused  *connector.RefusedError
	end      *wirepb.End
}

func newJob(ctx context.Context, id string, run *wirepb.Run, deadline time.Time, bufferBytes int) *job {
	j := &job{
		id: id, run: run, deadline: deadline,
		buf: assembler.NewSendBuffer(bufferBytes), changed: make(chan struct{}),
	}
	j.ctx, j.cancel = context.WithCancelCause(ctx)
	return j
}

func (j *job) snapshot(offset uint64) (snapshot, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	frames, err := j.buf.FramesFrom(offset)
	if err != nil {
		return snapshot{}, fmt.Errorf("request %s: %w", j.id, err)
	}
	return snapshot{frames: frames, changed: j.changed, accepted: j.accepted, refused: j.refused, end: j.end}, nil
}

// update runs f under the lock and wakes the readers.
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

// runMessage returns the Run message, or nil if the job has ended.
func (j *job) runMessage() *wirepb.Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.run
}

func (j *job) markAccepted() {
	j.update(func() { j.accepted = true })
	j.addRecord("sent to the target")
}

func (j *job) refuse(e *connector.RefusedError) {
	j.update(func() { j.refused, j.endedAt, j.run = e, time.Now(), nil })
	j.addRecord("refused: %s: %s", e.Reason, e.Text)
	j.cancel(e)
}

func (j *job) finish(end *wirepb.End) {
	j.update(func() {
		end.Count, end.Sum = j.buf.Count(), j.buf.Checksum()
		j.end, j.endedAt, j.run = end, time.Now(), nil
	})
	j.addRecord("ended: %s: %s", end.GetOutcome(), end.GetText())
	j.cancel(nil)
}

// appendData buffers a data frame. While the buffer is full of unsent frames, it
// blocks until a reader has sent some, so that no frame is lost.
func (j *job) appendData(ctx context.Context, data []byte) error {
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

func (j *job) markSent(seq uint64) { j.update(func() { j.buf.MarkSent(seq) }) }

// addRecord adds an entry to the history. Entries after the first maxRecords are
// dropped.
func (j *job) addRecord(format string, args ...any) {
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

// expired reports whether the retention period of the output has passed.
func (j *job) expired(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.endedAt.IsZero() && now.Sub(j.endedAt) > retentionPeriod
}

// addReaders changes the number of streams that are sending the output by change and
// returns the new number.
func (j *job) addReaders(change int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers += change
	return j.readers
}

// endedUnread reports whether the request has ended, no stream has sent its End and
// no stream is open that could.
func (j *job) endedUnread() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.end != nil && j.readers == 0 && !j.delivered
}

// markDelivered records that a stream has sent the output and End.
func (j *job) markDelivered() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.delivered = true
}
