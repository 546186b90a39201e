package prober

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/faker"
)

// Outcomes of a request. The first four are the types that the system reports.
const (
	Whole       = "whole"
	NotRun      = "notrun"
	Unknown     = "unknown"
	Interrupted = "interrupted"
	Broken      = "broken"      // connection or stream ended without a typed outcome
	Unreachable = "unreachable" // no connection, nothing was sent
	Wrong       = "wrong"       // whole answer with another content than the engine's output for the prompt
)

// Result is the outcome of one request.
type Result struct {
	Phase     string
	Caller    string
	Kind      string
	ID        string // of the request, part of its content
	Attempts  int
	Outcome   string
	Reason    string // of a refusal
	Worth     float64
	Bound     int // tokens that it can consume
	Start     time.Time
	Tokens    int // total usage as answered
	Output    int // output tokens as answered
	First     time.Duration
	Gaps      []time.Duration
	Took      time.Duration
	FalseStop bool // refused although the budget had room
}

// request is a request to send.
type request struct {
	caller Caller
	id     string
	body   []byte
	want   string // expected text of the answer
	bound  int    // tokens that it can consume
}

const (
	role   = "user"
	marker = "Request " // before the id of the request, at the end of the prompt
	fill   = "All work on this route is done in turn. "
)

func newRequest(c Caller, id string) (request, error) {
	if c.Kind == KindService {
		body, err := json.Marshal(map[string]string{"request": id})
		if err != nil {
			return request{}, fmt.Errorf("encode request: %w", err)
		}
		return request{caller: c, id: id, body: body, bound: c.Tokens}, nil
	}
	prompt := strings.Repeat(fill, c.Prefix/len(fill)+1)[:c.Prefix] + marker + id
	chat := faker.Chat{
		Model: c.Model, MaxTokens: c.Tokens, Stream: true,
		Messages: []faker.Message{{Role: role, Content: prompt}},
	}
	chat.StreamOptions.IncludeUsage = true
	body, err := json.Marshal(chat)
	if err != nil {
		return request{}, fmt.Errorf("encode request: %w", err)
	}
	return request{
		caller: c, id: id, body: body,
		want:  strings.Join(faker.Output(chat), ""),
		bound: len(role) + len(prompt) + c.Tokens,
	}, nil
}

// failure is the error format of the system.
type failure struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
}

// send carries out a request. An attempt that ends without a final outcome is
// repeated with the same key, as callers do, at the next entry.
func (q request) send(ctx context.Context, client *http.Client, entries []string) Result {
	res := Result{ID: q.id, Caller: q.caller.Name, Kind: q.caller.Kind, Worth: q.caller.Worth, Bound: q.bound, Start: time.Now()}
	for n := 0; n <= q.caller.Repeat && ctx.Err() == nil; n++ {
		res.Attempts++
		q.exchange(ctx, client, entries[n%len(entries)], &res)
		if res.final() {
			break
		}
	}
	res.Took = time.Since(res.Start)
	return res
}

func (r *Result) final() bool { return r.Outcome == Whole || r.Outcome == Wrong || r.Outcome == NotRun }

func (q request) exchange(ctx context.Context, client *http.Client, entry string, res *Result) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+q.caller.Path, bytes.NewReader(q.body))
	if err != nil {
		res.Outcome = Unreachable
		return
	}
	// The transport repeats a request with an Idempotency-Key by itself if its body can be read again.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+q.caller.Key.Reveal())
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("Idempotency-Key", q.id)
	if q.caller.Worth > 0 {
		req.Header.Set("Request-Worth", strconv.FormatFloat(q.caller.Worth, 'g', -1, 64))
	}
	answer, err := client.Do(req)
	if err != nil {
		res.Outcome = Broken
		var dial *dialError
		if errors.As(err, &dial) {
			res.Outcome = Unreachable
		}
		return
	}
	defer answer.Body.Close()
	switch {
	case answer.StatusCode != http.StatusOK:
		refused(answer.Body, res)
	case q.caller.Kind == KindChat:
		s := stream{last: res.Start, res: res}
		s.read(answer.Body)
		if res.Outcome == Whole && s.text.String() != q.want {
			res.Outcome = Wrong
		}
	default:
		received(answer.Body, res)
		res.Tokens = q.bound
	}
}
