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
	completionsPath        = "/v1/chat/completions"
	readBufferBytes        = 32 << 10
	maxResponseBytes       = 64 << 20
	maxEngineResponseBytes = 64 << 10
	maxIdleConnsPerHost    = 64
	maxHeadBytes           = 64 << 10 // of a response of the target, with the 1xx responses before it
)

var (
	errInvalidBody        = errors.New("the request body is not valid")
	errIncompleteResponse = errors.New("the target ended the answer early")
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// newTargetRequest builds the HTTP request to the target.
func (s *Side) newTargetRequest(ctx context.Context, id string, run *wirepb.Run) (*http.Request, error) {
	method, path, body := run.GetMethod(), run.GetPath(), run.GetPayload()
	if s.cfg.Target.Kind == KindModel {
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
		return nil, fmt.Errorf("build request: %w: %w", errInvalidBody, err)
	}
	for key, value := range run.GetHeader() {
		req.Header.Set(key, value)
	}
	for _, key := range hopByHopHeaders {
		req.Header.Del(key)
	}
	if len(body) > 0 && req.Header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if s.cfg.Target.Kind == KindModel {
		req.Header.Set(requestHeader, id)
	}
	for key, value := range tracer.Inject(ctx) {
		req.Header.Set(key, value)
	}
	return req, nil
}

func (s *Side) targetURL(path string) string { return strings.TrimSuffix(s.cfg.Target.URL, "/") + path }

// completionBody returns the request body for the engine: the caller's body with
// usage reporting enabled for streams, the output limited to what the reservation
// covers, and the caller's priority, if any, replaced by the request's own.
func completionBody(run *wirepb.Run) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(run.GetPayload(), &fields); err != nil || fields == nil {
		return nil, fmt.Errorf("%w: want a JSON object", errInvalidBody)
	}
	if run.GetStream() {
		options := make(map[string]json.RawMessage)
		if raw, ok := fields["stream_options"]; ok {
			if err := json.Unmarshal(raw, &options); err != nil {
				return nil, fmt.Errorf("%w: stream_options: %w", errInvalidBody, err)
			}
		}
		if options == nil {
			options = make(map[string]json.RawMessage)
		}
		options["include_usage"] = json.RawMessage("true")
		fields["stream"] = json.RawMessage("true")
		if err := setField(fields, "stream_options", options); err != nil {
			return nil, err
		}
	}
	if err := limitOutput(fields, run.GetOutput()); err != nil {
		return nil, err
	}
	if err := setField(fields, "priority", enginePriority(run.GetWorth())); err != nil {
		return nil, err
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidBody, err)
	}
	return body, nil
}

// limitOutput lowers the token limits in the body to limit, or adds one if the body
// has none. A limit of 0 or less changes nothing.
func limitOutput(fields map[string]json.RawMessage, limit int64) error {
	if limit <= 0 {
		return nil
	}
	limited := false
	for _, key := range []string{"max_tokens", "max_completion_tokens"} {
		raw, ok := fields[key]
		if !ok || string(raw) == "null" {
			continue
		}
		var n int64
		if err := json.Unmarshal(raw, &n); err != nil || n < 1 {
			return fmt.Errorf("%w: %s: want a positive integer", errInvalidBody, key)
		}
		limited = true
		if err := setField(fields, key, min(n, limit)); err != nil {
			return err
		}
	}
	if limited {
		return nil
	}
	return setField(fields, "max_tokens", limit)
}

func setField(fields map[string]json.RawMessage, key string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errInvalidBody, key, err)
	}
	fields[key] = raw
	return nil
}

// receiveResponse buffers the target's response and returns its token usage.
func (s *Side) receiveResponse(ctx context.Context, j *job, run *wirepb.Run, res *http.Response) result {
	kind, _, _ := mime.ParseMediaType(res.Header.Get("Content-Type"))
	model := s.cfg.Target.Kind == KindModel
	if model && res.StatusCode == http.StatusOK && kind == "text/event-stream" {
		return s.receiveEvents(ctx, j, run, res.Body)
	}
	if !model {
		return s.receiveServiceResponse(ctx, j, run, res)
	}
	var body bytes.Buffer
	err := bufferBody(ctx, j, io.TeeReader(io.LimitReader(res.Body, maxResponseBytes+1), &body))
	if err == nil && body.Len() > maxResponseBytes {
		err = fmt.Errorf("answer is over %d bytes: %w", maxResponseBytes, errIncompleteResponse)
	}
	if res.StatusCode != http.StatusOK {
		return result{err: err}
	}
	var response struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(body.Bytes(), &response) == nil && response.Usage != nil {
		return result{usage: response.Usage.tokens(), err: err}
	}
	return result{err: err}
}

// receiveServiceResponse buffers the response of a service. A call costs its whole
// reservation and is charged only if the service carried it out, which a status
// below 400 shows.
func (s *Side) receiveServiceResponse(ctx context.Context, j *job, run *wirepb.Run, res *http.Response) result {
	out := result{err: bufferBody(ctx, j, res.Body)}
	if res.StatusCode < http.StatusBadRequest {
		out.usage.Output = run.GetReservation().GetTokens()
	}
	return out
}

// bufferBody appends the body to the output of j as it arrives.
func bufferBody(ctx context.Context, j *job, r io.Reader) error {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if err := j.appendData(ctx, bytes.Clone(buf[:n])); err != nil {
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

// flattenHeader joins the values of each header and drops hop-by-hop headers.
func flattenHeader(h http.Header) map[string]string {
	flat := make(map[string]string, len(h))
	for key := range h {
		// Frames hold UTF-8 only, fields any bytes.
		flat[key] = strings.ToValidUTF8(strings.Join(h.Values(key), ", "), "?")
	}
	for _, key := range hopByHopHeaders {
		delete(flat, key)
	}
	return flat
}

// pollLoad reads the load of the engine and reports it to the admission state.
func (s *Side) pollLoad(ctx context.Context) {
	load, err := s.fetchLoad(ctx)
	if err != nil {
		s.log.Debug().Err(err).Msg("engine load request failed")
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.loadReportedAt = now
	s.mu.Unlock()
	s.applyActions(call(s.admission, func(a *admitter.Admitter) []admitter.Action { return a.SetLoad(now, load) }))
}

func (s *Side) fetchLoad(ctx context.Context) (admitter.Load, error) {
	var load admitter.Load
	ctx, cancel := context.WithTimeout(ctx, loadInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.targetURL("/load"), nil)
	if err != nil {
		return load, fmt.Errorf("build load request: %w", err)
	}
	res, err := s.pooledClient.Do(req)
	if err != nil {
		return load, fmt.Errorf("request load: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return load, fmt.Errorf("request load: engine returned status %d", res.StatusCode)
	}
	// Unknown fields are accepted because engines report more than the side uses.
	if err := json.NewDecoder(io.LimitReader(res.Body, maxEngineResponseBytes)).Decode(&load); err != nil {
		return load, fmt.Errorf("decode load: %w", err)
	}
	if err := load.Check(); err != nil {
		return load, fmt.Errorf("check load: %w", err)
	}
	return load, nil
}
