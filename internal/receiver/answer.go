package receiver

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"daisylane/internal/forwarder"
	"daisylane/internal/retrier"
)

// promises are the statuses that tell a caller that the request has not run.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

var errUnsealed = errors.New("the target does not vouch for the answer")

// stream is the state of an answer that is delivered in pieces, over all attempts.
type stream struct {
	started bool // the head was delivered
	events  int  // delivered
	last    string
	begun   func() // called at the first event of an attempt
}

// streams reports whether the answer is a stream of events.
func (j *job) streams(a *forwarder.Answer) bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// deliver checks a plain answer whole and passes it on.
func (j *job) deliver(a *forwarder.Answer, lane Lane, reply Reply) result {
	body, err := io.ReadAll(io.LimitReader(a, maxAnswerBytes))
	if err != nil {
		return result{outcome: retrier.Interrupted, status: a.Status, err: err}
	}
	long := len(body) == maxAnswerBytes
	j.r.dispatch.Began(time.Now(), lane)
	switch {
	case a.Status < http.StatusMultipleChoices && !reply.Sealed:
		return result{outcome: retrier.Unknown, status: a.Status, err: errUnsealed}
	case j.stream.started:
		return result{outcome: retrier.Interrupted, status: a.Status, err: errors.New("no stream follows")}
	case promises[a.Status]:
		return result{outcome: retrier.Unknown, status: a.Status, err: errors.New("target failed with status " + strconv.Itoa(a.Status))}
	case a.Status >= http.StatusInternalServerError && j.mayRepeat():
		return result{outcome: retrier.Unknown, status: a.Status, err: errors.New("target failed with status " + strconv.Itoa(a.Status))}
	}
	j.out.status, j.out.cause, j.out.first = a.Status, Whole, time.Now()
	j.copyHeader(a.Header)
	switch {
	case !long && j.req.Method != http.MethodHead:
		j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	case a.Length() >= 0:
		j.w.Header().Set("Content-Length", strconv.FormatInt(a.Length(), 10))
	}
	j.w.WriteHeader(a.Status)
	_, err = j.w.Write(body)
	if err == nil && long {
		_, err = io.Copy(j.w, a)
	}
	if err != nil {
		j.out.detail = err
		j.breakOff(Interrupted)
		return result{outcome: retrier.Interrupted, done: true, err: err}
	}
	outcome := retrier.Whole
	if a.Status >= http.StatusInternalServerError {
		outcome, j.out.cause = retrier.Unknown, TargetFailed
	}
	return result{outcome: outcome, done: true, status: a.Status}
}

// mayRepeat reports whether a failure of the target may be tried elsewhere.
func (j *job) mayRepeat() bool { return j.route.Repeatable() && j.sends < j.route.Attempts }

// pipe passes the events of a stream on as they come.
func (j *job) pipe(a *forwarder.Answer, lane Lane, reply Reply) result {
	if !reply.Sealed {
		return result{outcome: retrier.Unknown, status: a.Status, err: errUnsealed}
	}
	flush := http.NewResponseController(j.w)
	first := true
	for {
		event, err := a.Event()
		if errors.Is(err, io.EOF) {
			return j.finish(a)
		}
		if err != nil {
			return result{outcome: retrier.Interrupted, status: a.Status, err: err}
		}
		id := forwarder.EventID(event)
		if first {
			first = false
			if j.stream.begun != nil {
				j.stream.begun()
			}
			j.r.dispatch.Began(time.Now(), lane)
			if j.stream.started && !follows(j.stream.last, id) {
				return result{outcome: retrier.Interrupted, err: errors.New("stream goes on at event " + id + " after " + j.stream.last)}
			}
		} else {
			j.r.dispatch.Progressed(time.Now(), lane)
		}
		if !j.stream.started {
			j.begin(a)
		}
		// An event that fails on its way may still have reached the caller.
		j.stream.events++
		if _, err := j.w.Write(event); err != nil {
			return j.left(err)
		}
		if err := flush.Flush(); err != nil {
			return j.left(err)
		}
		if id != "" {
			j.stream.last = id
		}
	}
}

// begin delivers the head of a stream, which stays that of its first target.
func (j *job) begin(a *forwarder.Answer) {
	j.stream.started = true
	j.out.status, j.out.first = a.Status, time.Now()
	j.copyHeader(a.Header)
	if !a.Delimited() {
		// The end of this answer shows as the target's does: by the connection.
		j.w.Header().Set("Transfer-Encoding", "identity")
	}
	j.w.WriteHeader(a.Status)
}

// finish ends a stream that is complete.
func (j *job) finish(a *forwarder.Answer) result {
	if !j.stream.started {
		j.begin(a)
	}
	j.out.cause = Whole
	return result{outcome: retrier.Whole, done: true, status: a.Status}
}

// left ends a stream whose caller takes no more.
func (j *job) left(err error) result {
	j.out.detail = err
	j.breakOff(Left)
	return result{done: true, err: err}
}

// follows reports whether an event continues a stream after another one.
func follows(last, id string) bool {
	a, err1 := strconv.ParseInt(last, 10, 64)
	b, err2 := strconv.ParseInt(id, 10, 64)
	return err1 == nil && err2 == nil && b == a+1
}

// hop are the headers that concern one connection only.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// removeHop removes the headers that concern one connection, also those that
// Connection names, unless the codec says that they belong to the request.
func removeHop(c Codec, h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !c.EndToEnd(name) {
				h.Del(name)
			}
		}
	}
	for _, name := range hop {
		delete(h, name)
	}
}

// copyHeader copies the headers of a target's answer.
func (j *job) copyHeader(from http.Header) {
	to := j.w.Header()
	for name, values := range from {
		to[name] = values
	}
	removeHop(j.r.codec, to)
}
