package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"daisylane/internal/forwarder"
	"daisylane/internal/quarantiner"
	"daisylane/internal/retrier"
)

// notRunStatuses are the statuses that promise a caller that the request has not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

var (
	errNoEvent          = errors.New("connection of the target ended before the first event")
	errNoSeal           = errors.New("response of the target has no seal")
	errResponseTooLarge = fmt.Errorf("response of the target is over %d bytes", maxResponseBytes)
)

// streamState is the state of a streamed response over all attempts.
type streamState struct {
	started bool   // the response header was written
	events  int    // number of delivered events
	lastID  string // ID of the last delivered event
}

// isStream reports whether the response is an event stream.
func (j *job) isStream(response *forwarder.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// deliverPlain buffers and checks a plain response and sends it to the caller.
func (j *job) deliverPlain(response *forwarder.Response, chosen ChosenTarget, meta ResponseMeta) attemptResult {
	j.freeAnswer() // of an attempt before
	body, whole, err := j.bufferAnswer(response)
	if err != nil {
		j.freeAnswer()
		return attemptResult{outcome: retrier.Interrupted, status: response.Status, err: err}
	}
	if response.Status < http.StatusMultipleChoices {
		j.r.dispatcher.RecordFirstEvent(time.Now(), chosen)
	}
	switch {
	case response.Status < http.StatusMultipleChoices && !meta.Sealed:
		return attemptResult{outcome: retrier.Unknown, status: response.Status, err: errNoSeal}
	case j.stream.started:
		return attemptResult{outcome: retrier.Interrupted, status: response.Status, err: errors.New("response to a resumed stream is not a stream")}
	case notRunStatuses[response.Status]:
		return attemptResult{outcome: retrier.Unknown, status: response.Status, err: errors.New("target responded with status " + strconv.Itoa(response.Status))}
	case response.Status >= http.StatusInternalServerError && j.mayRetry():
		return attemptResult{outcome: retrier.Unknown, status: response.Status, err: errors.New("target responded with status " + strconv.Itoa(response.Status))}
	}
	j.summary.status, j.summary.cause, j.summary.firstByteAt = response.Status, Complete, time.Now()
	j.copyHeader(response.Header)
	switch {
	case whole && j.req.Method != http.MethodHead:
		j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	case response.ContentLength() >= 0:
		j.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength(), 10))
	}
	if !whole {
		if res, ok := j.copyAnswer(response.Status, body, response); !ok {
			return res
		}
	}
	outcome := retrier.Complete
	if response.Status >= http.StatusInternalServerError {
		outcome, j.summary.cause = retrier.Unknown, TargetFailed
	} else {
		j.recordWhole(response, chosen)
	}
	res := attemptResult{outcome: outcome, done: true, status: response.Status}
	if whole {
		res.answer = body
	}
	return res
}

// bufferAnswer reads the beginning of a plain answer. It returns false if there is more of
// it, as it is too large or there is no memory for it.
func (j *job) bufferAnswer(answer io.Reader) (body []byte, whole bool, err error) {
	for buf := make([]byte, 0, minAnswerBuffer); ; {
		if len(buf) == cap(buf) {
			size := min(2*cap(buf), maxBufferedBytes)
			if size > maxFreeBuffer {
				if size == cap(buf) || !j.r.memory.HoldAnswer(int64(size)-j.heldAnswer) {
					return buf, false, nil
				}
				j.heldAnswer = int64(size)
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := answer.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// freeAnswer frees the memory of a buffered answer.
func (j *job) freeAnswer() {
	j.r.memory.FreeAnswer(j.heldAnswer)
	j.heldAnswer = 0
}

// writeAnswer sends a whole answer to the caller. The attempt has ended before, so a caller
// that reads slowly keeps no target.
func (j *job) writeAnswer(res attemptResult) {
	j.writeHead(res.status)
	if _, err := j.w.Write(res.answer); err != nil {
		j.callerDisconnected(err)
	}
}

// copyAnswer sends the beginning of an answer and what follows as it arrives. It returns
// false and the result of the attempt if it could not.
func (j *job) copyAnswer(status int, body []byte, rest io.Reader) (attemptResult, bool) {
	j.writeHead(status)
	w := holdingWriter{j.w, j.silence}
	if _, err := w.Write(body); err != nil {
		return j.callerDisconnected(err), false
	}
	if err := copyRest(w, rest); err != nil {
		j.summary.failure = err
		j.abortResponse(Interrupted)
		return attemptResult{outcome: retrier.Interrupted, done: true, err: err}, false
	}
	return attemptResult{}, true
}

// copyRest copies the part of a response that was not buffered, up to the limit.
func copyRest(w io.Writer, response io.Reader) error {
	n, err := io.Copy(w, io.LimitReader(response, maxResponseBytes))
	if err == nil && n == maxResponseBytes {
		return errResponseTooLarge
	}
	return err
}

// mayRetry reports whether a failed request may be retried at another target.
func (j *job) mayRetry() bool { return j.route.Retryable() && j.sends < j.route.MaxAttempts }

// deliverStream sends the events of a stream to the caller as they arrive.
func (j *job) deliverStream(response *forwarder.Response, chosen ChosenTarget, meta ResponseMeta) attemptResult {
	if !meta.Sealed {
		return attemptResult{outcome: retrier.Unknown, status: response.Status, err: errNoSeal}
	}
	controller := http.NewResponseController(j.w)
	for n := 0; ; n++ {
		event, err := response.NextEvent()
		if errors.Is(err, io.EOF) && n == 0 && !response.Delimited() {
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) {
			j.recordWhole(response, chosen)
			return j.finishStream(response)
		}
		if err != nil {
			return attemptResult{outcome: retrier.Interrupted, status: response.Status, events: n, err: err}
		}
		id := forwarder.EventID(event)
		if n == 0 {
			j.silence.stop()
			j.r.dispatcher.RecordFirstEvent(time.Now(), chosen)
			if j.stream.started && !isNextEvent(j.stream.lastID, id) {
				return attemptResult{outcome: retrier.Interrupted, err: errors.New("stream resumed at event " + id + " after " + j.stream.lastID)}
			}
		} else {
			j.r.dispatcher.RecordEvent(time.Now(), chosen)
		}
		if !j.stream.started {
			j.startStream(response)
		}
		// Counted before the write, as a failed write may still have reached the caller.
		j.stream.events++
		if _, err := j.w.Write(event); err != nil {
			return j.callerDisconnected(err)
		}
		if err := controller.Flush(); err != nil {
			return j.callerDisconnected(err)
		}
		if id != "" {
			j.stream.lastID = id
		}
	}
}

// recordWhole records that a target has answered to the end, so that the request does not
// crash targets, unless the target ends with its answer.
func (j *job) recordWhole(response *forwarder.Response, chosen ChosenTarget) {
	s := j.subject()
	s.Requests = j.identity() // what was answered before the first crash is suspected last
	s.Closed = !response.KeepsConnection()
	s.Watched = len(j.sharedParts) > 0 || j.r.guard.Suspects()
	j.r.guard.RecordWhole(chosen.process(), chosen.ChosenAt, s)
	if s.Watched {
		j.r.watchEnd(context.WithoutCancel(j.req.Context()), chosen, response.KeepsConnection())
	}
}

// watchEnd finds out whether a target ends right after an answer. A kept connection shows
// it; without one, the target has to be asked. One that is ending may still accept the
// connection that asks, so that is watched as well.
func (r *Receiver) watchEnd(ctx context.Context, chosen ChosenTarget, kept bool) {
	if kept {
		r.watchIdle(ctx, chosen)
		return
	}
	go func() {
		if !r.checkEnd(ctx, chosen) {
			r.watchIdle(ctx, chosen)
		}
	}()
}

// watch is the watch of a target for its end.
type watch struct {
	chosen ChosenTarget
	until  time.Time
}

// watchIdle watches the idle connections to a target until it has outlived its answer.
func (r *Receiver) watchIdle(ctx context.Context, chosen ChosenTarget) {
	addr, until := chosen.Target.Addr, time.Now().Add(quarantiner.SurvivalTime)
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	if w, ok := r.watched[addr]; ok {
		w.chosen, w.until = chosen, until
		return
	}
	r.watched[addr] = &watch{chosen, until}
	time.AfterFunc(endWatchTime, func() { r.endWatch(ctx, addr) })
}

// endWatch checks whether a watched target has ended, and goes on with the watch if the target
// has not yet outlived its last answer.
func (r *Receiver) endWatch(ctx context.Context, addr string) {
	now := time.Now()
	closed := r.pool.DropClosed(addr)
	open := r.pool.HasIdle(addr)
	r.watchMu.Lock()
	w := r.watched[addr]
	chosen, again := w.chosen, !closed && now.Before(w.until)
	if !again {
		delete(r.watched, addr)
	}
	r.watchMu.Unlock()
	switch {
	case !closed && open:
		r.guard.RecordAlive(chosen.process(), now)
	case !again && !r.checkEnd(ctx, chosen) && r.pool.HasIdle(addr):
		r.guard.RecordClosed(chosen.process(), time.Now())
	}
	if again {
		time.AfterFunc(endWatchTime, func() { r.endWatch(ctx, addr) })
	}
}

// checkEnd finds out whether a target has ended, and reports that.
func (r *Receiver) checkEnd(ctx context.Context, chosen ChosenTarget) (ended bool) {
	if ended = !r.dispatcher.Lives(chosen.Target) || r.pool.RefusesNext(ctx, chosen.Target.Addr); ended {
		r.guard.RecordEnd(chosen.process())
	}
	return ended
}

// startStream writes the response header of a stream. Later attempts that resume the
// stream keep the header of the first target. The body is always sent in chunks: if it
// ended with the connection, as it may at the target, a stream that is broken off would
// look complete.
func (j *job) startStream(response *forwarder.Response) {
	j.stream.started = true
	j.summary.status, j.summary.firstByteAt = response.Status, time.Now()
	j.copyHeader(response.Header)
	j.writeHead(response.Status)
}

// finishStream ends a complete stream.
func (j *job) finishStream(response *forwarder.Response) attemptResult {
	if !j.stream.started {
		j.startStream(response)
	}
	j.summary.cause = Complete
	return attemptResult{outcome: retrier.Complete, done: true, status: response.Status}
}

// callerDisconnected ends a request whose caller no longer accepts the response.
func (j *job) callerDisconnected(err error) attemptResult {
	j.summary.failure = err
	j.abortResponse(CallerDisconnected)
	return attemptResult{done: true, err: err}
}

// isNextEvent reports whether id is the event ID that directly follows last.
func isNextEvent(last, id string) bool {
	a, err1 := strconv.ParseInt(last, 10, 64)
	b, err2 := strconv.ParseInt(id, 10, 64)
	return err1 == nil && err2 == nil && b == a+1
}

// hopHeaders are the hop-by-hop headers and those that depend on the framing.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// removeHopHeaders removes the hop-by-hop headers, including those that Connection
// names, except for those that the codec defines as end-to-end.
func removeHopHeaders(c Codec, h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !c.IsEndToEnd(name) {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// copyHeader copies the end-to-end headers of a target's response.
func (j *job) copyHeader(from http.Header) {
	to := j.w.Header()
	for name, values := range from {
		to[name] = values
	}
	removeHopHeaders(j.r.codec, to)
}
