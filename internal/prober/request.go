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

// Outcomes of a request. OutcomeNotRun, OutcomeUnknown and OutcomeInterrupted are the
// error types that the system reports.
const (
	OutcomeComplete    = "whole"
	OutcomeNotRun      = "notrun"
	OutcomeUnknown     = "unknown"
	OutcomeInterrupted = "interrupted"
	OutcomeBroken      = "broken"      // connection or stream ended without a reported outcome
	OutcomeUnreachable = "unreachable" // connection not established, nothing was sent
	OutcomeWrong       = "wrong"       // complete response that differs from the engine's output for the prompt
)

// Result is the outcome of one request.
type Result struct {
	Phase            string
	Caller           string
	Kind             string
	ID               string // request id, part of the content
	Attempts         int
	Outcome          string
	Reason           string // reason of a refusal
	Worth            float64
	MaxTokens        int // maximum tokens that the request can consume
	Start            time.Time
	TotalTokens      int // total tokens as reported in the response
	OutputTokens     int // output tokens as reported in the response
	TimeToFirstToken time.Duration
	TokenGaps        []time.Duration
	Elapsed          time.Duration
	FalseRefusal     bool // refused for lack of budget although the budget had room
}

// request is a request that is ready to send.
type request struct {
	caller    Caller
	id        string
	body      []byte
	wantText  string // expected text of the response
	maxTokens int    // maximum tokens that the request can consume
}

const (
	promptRole = "user"
	idMarker   = "Request " // precedes the request id at the end of the prompt
	prefixFill = "All work on this route is done in turn. "
)

func newRequest(c Caller, id string) (request, error) {
	if c.Kind == KindService {
		body, err := json.Marshal(map[string]string{"request": id})
		if err != nil {
			return request{}, fmt.Errorf("encode request: %w", err)
		}
		return request{caller: c, id: id, body: body, maxTokens: c.Tokens}, nil
	}
	prompt := strings.Repeat(prefixFill, c.PrefixBytes/len(prefixFill)+1)[:c.PrefixBytes] + idMarker + id
	chat := faker.ChatRequest{
		Model: c.Model, MaxTokens: c.Tokens, Stream: true,
		Messages: []faker.Message{{Role: promptRole, Content: prompt}},
	}
	chat.StreamOptions.IncludeUsage = true
	body, err := json.Marshal(chat)
	if err != nil {
		return request{}, fmt.Errorf("encode request: %w", err)
	}
	return request{
		caller: c, id: id, body: body,
		wantText:  strings.Join(faker.ExpectedOutput(chat), ""),
		maxTokens: len(promptRole) + len(prompt) + c.Tokens,
	}, nil
}

// apiError is the error object of the system's API.
type apiError struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
}

// send sends the request. An attempt that ends without a final outcome is retried
// with the same idempotency key at the next entry, as real callers do.
func (q request) send(ctx context.Context, client *http.Client, entries []string) Result {
	res := Result{ID: q.id, Caller: q.caller.Name, Kind: q.caller.Kind, Worth: q.caller.Worth, MaxTokens: q.maxTokens, Start: time.Now()}
	for n := 0; n <= q.caller.Retries && ctx.Err() == nil; n++ {
		res.Attempts++
		q.exchange(ctx, client, entries[n%len(entries)], &res)
		if res.isFinal() {
			break
		}
	}
	res.Elapsed = time.Since(res.Start)
	return res
}

func (r *Result) isFinal() bool {
	return r.Outcome == OutcomeComplete || r.Outcome == OutcomeWrong || r.Outcome == OutcomeNotRun
}

func (q request) exchange(ctx context.Context, client *http.Client, entry string, res *Result) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+q.caller.Path, bytes.NewReader(q.body))
	if err != nil {
		res.Outcome = OutcomeUnreachable
		return
	}
	// With GetBody set, net/http retries a request that carries an Idempotency-Key by
	// itself after the connection failed.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+q.caller.Key.Reveal())
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("Idempotency-Key", q.id)
	if q.caller.Worth > 0 {
		req.Header.Set("Request-Worth", strconv.FormatFloat(q.caller.Worth, 'g', -1, 64))
	}
	resp, err := client.Do(req)
	if err != nil {
		res.Outcome = OutcomeBroken
		var dial *dialError
		if errors.As(err, &dial) {
			res.Outcome = OutcomeUnreachable
		}
		return
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode != http.StatusOK:
		readErrorResponse(resp.Body, res)
	case q.caller.Kind == KindChat:
		s := eventStream{lastTokenAt: res.Start, res: res}
		s.read(resp.Body)
		if res.Outcome == OutcomeComplete && s.text.String() != q.wantText {
			res.Outcome = OutcomeWrong
		}
	default:
		readServiceResponse(resp.Body, res)
		res.TotalTokens = q.maxTokens
	}
}
