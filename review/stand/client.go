package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, path string
	key              string
	body             string
	deadline         time.Duration
	header           map[string]string
	patience         time.Duration // the client leaves after this time, 0: after its deadline
}

// answer is what the client got.
type answer struct {
	id       string
	took     time.Duration
	status   int
	header   http.Header
	bytes    int64
	events   []string // data lines
	lastID   int
	complete bool
	reused   bool // it came on a connection that had brought an answer before
	err      error
}

func (a answer) String() string {
	e := ""
	if a.err != nil {
		e = " " + a.err.Error()
	}
	return fmt.Sprintf("status %d, %d bytes, %d events, complete %v, %.0f ms%s", a.status, a.bytes, len(a.events), a.complete, a.took.Seconds()*1000, e)
}

// newTransport returns what keeps the connections of one client.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
}

// send sends a request to an entry and reads the whole answer.
func send(t *http.Transport, m *machine, r request) (a answer) {
	a.id = r.id
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	limit := r.deadline
	if r.patience > 0 {
		limit = r.patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var body io.Reader
	if r.body != "" {
		body = strings.NewReader(r.body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+m.addr(0)+r.path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.GetBody = nil // no attempt is sent twice
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { a.reused = c.Reused }}))
	req.Host = host
	req.Header.Set("Daisylane-Attempt-Id", r.id)
	req.Header.Set("Daisylane-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	req.Header.Set("Api-Key", r.key)
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	res, err := t.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer res.Body.Close()
	a.status, a.header = res.StatusCode, res.Header
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		a.bytes, a.err = io.Copy(io.Discard, res.Body)
		a.complete = a.err == nil
		return a
	}
	br := bufio.NewReader(res.Body)
	for {
		line, err := br.ReadString('\n')
		a.bytes += int64(len(line))
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			a.lastID, _ = strconv.Atoi(strings.TrimSpace(v))
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			a.events = append(a.events, strings.TrimSpace(v))
		}
		if errors.Is(err, io.EOF) {
			a.complete = true
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}
