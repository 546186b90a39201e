package executor

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/admitter"
	"daisylane/internal/tracer"
	"daisylane/internal/wirepb"
)

const (
	completionsPath = "/v1/chat/completions"
	pieceBytes      = 32 << 10
	maxAnswerBytes  = 64 << 20
	maxLoadBytes    = 64 << 10
	idleConnections = 64
)

var (
	errBody       = errors.New("the request body is not valid")
	errIncomplete = errors.New("the target ended the answer early")
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// request builds the call to the target.
func (s *Side) request(ctx context.Context, id string, run *wirepb.Run) (*http.Request, error) {
	method, path, body := run.GetMethod(), run.GetPath(), run.GetPayload()
	if s.cfg.Target.Kind == Model {
		if method == "" {
			method = http.MethodPost
		}
		if path == "" {
			path = completionsPath
		}
		if method == http.MethodPost {
			var err error
			if body, err = completionBody(run); err != nil {
				return nil, err
			}
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, s.targetURL(path), bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w: %w", errBody, err)
	}
	for key, value := range run.GetHeader() {
		req.Header.Set(key, value)
	}
	for _, key := range hopHeaders {
		req.Header.Del(key)
	}
	if len(body) > 0 && req.Header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if s.cfg.Target.Kind == Model {
		req.Header.Set(requestHeader, id)
	}
	for key, value := range tracer.Inject(ctx) {
		req.Header.Set(key, value)
	}
	return req, nil
}

func (s *Side) targetURL(path string) string { return strings.TrimSuffix(s.cfg.Target.URL, "/") + path }

// completionBody asks the engine for usage, bounds the output by the reservation
// and sets the priority, in place of one that the caller sent.
func completionBody(run *wirepb.Run) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(run.GetPayload(), &fields); err != nil || fields == nil {
		return nil, fmt.Errorf("%w: want a JSON object", errBody)
	}
	if run.GetStream() {
		options := make(map[string]json.RawMessage)
		if raw, ok := fields["stream_options"]; ok {
			if err := json.Unmarshal(raw, &options); err != nil {
				return nil, fmt.Errorf("%w: stream_options: %w", errBody, err)
			}
		}
		if options == nil {
			options = make(map[string]json.RawMessage)
		}
		options["include_usage"] = json.RawMessage("true")
		fields["stream"] = json.RawMessage("true")
		if err := set(fields, "stream_options", options); err != nil {
			return nil, err
		}
	}
	if err := boundOutput(fields, run.GetOutput()); err != nil {
		return nil, err
	}
	if err := set(fields, "priority", enginePriority(run.GetWorth())); err != nil {
		return nil, err
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBody, err)
	}
	return body, nil
}

func boundOutput(fields map[string]json.RawMessage, limit int64) error {
	if limit <= 0 {
		return nil
	}
	bounded := false
	for _, key := range []string{"max_tokens", "max_completion_tokens"} {
		raw, ok := fields[key]
		if !ok || string(raw) == "null" {
			continue
		}
		var n int64
		if err := json.Unmarshal(raw, &n); err != nil || n < 1 {
			return fmt.Errorf("%w: %s: want a positive integer", errBody, key)
		}
		bounded = true
		if err := set(fields, key, min(n, limit)); err != nil {
			return err
		}
	}
	if bounded {
		return nil
	}
	return set(fields, "max_tokens", limit)
}

func set(fields map[string]json.RawMessage, key string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errBody, key, err)
	}
	fields[key] = raw
	return nil
}

// receive keeps the answer of the target.
func (s *Side) receive(ctx context.Context, j *job, run *wirepb.Run, res *http.Response) result {
	kind, _, _ := mime.ParseMediaType(res.Header.Get("Content-Type"))
	model := s.cfg.Target.Kind == Model
	if model && res.StatusCode == http.StatusOK && kind == "text/event-stream" {
		return s.receiveEvents(ctx, j, run, res.Body)
	}
	if !model {
		return s.receiveCall(ctx, j, run, res)
	}
	var body bytes.Buffer
	err := keepBody(ctx, j, io.TeeReader(io.LimitReader(res.Body, maxAnswerBytes+1), &body))
	if err == nil && body.Len() > maxAnswerBytes {
		err = fmt.Errorf("answer is over %d bytes: %w", maxAnswerBytes, errIncomplete)
	}
	if res.StatusCode != http.StatusOK {
		return result{err: err}
	}
	var answer struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(body.Bytes(), &answer) == nil && answer.Usage != nil {
		return result{usage: answer.Usage.tokens(), err: err}
	}
	return result{err: err}
}

// receiveCall keeps the answer of a service. The price of a call is its whole
// reservation, charged if the service carried it out.
func (s *Side) receiveCall(ctx context.Context, j *job, run *wirepb.Run, res *http.Response) result {
	out := result{err: keepBody(ctx, j, res.Body)}
	if res.StatusCode < http.StatusBadRequest {
		out.usage.Output = run.GetReservation().GetTokens()
	}
	return out
}

// keepBody keeps the body in pieces as they arrive.
func keepBody(ctx context.Context, j *job, r io.Reader) error {
	piece := make([]byte, pieceBytes)
	for {
		n, err := r.Read(piece)
		if n > 0 {
			if err := j.append(ctx, bytes.Clone(piece[:n])); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read answer: %w", err)
		}
	}
}

func flatten(h http.Header) map[string]string {
	flat := make(map[string]string, len(h))
	for key := range h {
		flat[key] = strings.Join(h.Values(key), ", ")
	}
	for _, key := range hopHeaders {
		delete(flat, key)
	}
	return flat
}

// pollLoad asks the engine for its load.
func (s *Side) pollLoad(ctx context.Context) {
	load, err := s.engineLoad(ctx)
	if err != nil {
		s.log.Debug().Err(err).Msg("load of the engine not read")
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.reported = now
	s.mu.Unlock()
	s.carryOut(ask(s.admission, func(a *admitter.Admitter) []admitter.Action { return a.Report(now, load) }))
}

func (s *Side) engineLoad(ctx context.Context) (admitter.Load, error) {
	var load admitter.Load
	ctx, cancel := context.WithTimeout(ctx, loadInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.targetURL("/load"), nil)
	if err != nil {
		return load, fmt.Errorf("build load request: %w", err)
	}
	res, err := s.pooled.Do(req)
	if err != nil {
		return load, fmt.Errorf("ask for load: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return load, fmt.Errorf("ask for load: status %d", res.StatusCode)
	}
	// Engines report more fields than these, so unknown fields are accepted.
	if err := json.NewDecoder(io.LimitReader(res.Body, maxLoadBytes)).Decode(&load); err != nil {
		return load, fmt.Errorf("decode load: %w", err)
	}
	if err := load.Check(); err != nil {
		return load, fmt.Errorf("check load: %w", err)
	}
	return load, nil
}
