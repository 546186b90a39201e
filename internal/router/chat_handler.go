package router

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/reporter"
)

// prefixBytes is how much of the prompt decides which target is likely to have
// it in its prefix cache: about the system prompt and the start of a history.
const prefixBytes = 2048

// serveChat runs a chat completion, streamed or plain.
func (r *Router) serveChat(ctx context.Context, w http.ResponseWriter, hr *http.Request, req request) *Error {
	payload, failure := readBody(w, hr)
	if failure != nil {
		return failure
	}
	chat, err := parseChat(payload)
	if err != nil {
		return notRun(http.StatusBadRequest, "body", "%v", err)
	}
	target, failure := findModel(req, chat.Model)
	if failure != nil {
		return failure
	}
	output := chat.outputBound(target.Output.Default, target.Output.Limit)
	j := job{
		target: target.Name, model: target.Model, method: http.MethodPost, path: "/v1/chat/completions",
		payload: payload, repeatable: true, stream: chat.Stream, output: output,
		tokens: chat.promptBound() + output*chat.choices(), prefix: payload[:min(len(payload), prefixBytes)],
	}
	if chat.Stream {
		return r.streamChat(ctx, w, req, j, chat)
	}
	return r.plainChat(ctx, w, req, j)
}

func (r *Router) plainChat(ctx context.Context, w http.ResponseWriter, req request, j job) *Error {
	j.buffer = &bytes.Buffer{}
	res := r.run(ctx, req, j, j.collect)
	if res.failure != nil {
		return res.failure
	}
	writeAnswer(w, res.end.GetHeader(), int(res.end.GetStatus()), j.buffer.Bytes())
	return nil
}

func (r *Router) streamChat(ctx context.Context, w http.ResponseWriter, req request, j job, chat chatRequest) *Error {
	events := newEventWriter(w, chat.wantsUsage())
	res := r.run(ctx, req, j, r.timed(j.model, events.data))
	if res.failure == nil {
		_ = events.done()
		return nil
	}
	if !events.started {
		return res.failure
	}
	r.record(req.id, "answer", res.failure.Type, res.failure.Reason)
	events.fail(req.id, res.failure)
	return nil
}

// timed reports the time to the first event of a stream and between events.
func (r *Router) timed(model string, out sink) sink {
	scope := r.scope.Tagged(map[string]string{"model": model})
	first := scope.Histogram(reporter.FirstTokenSeconds, reporter.SecondsBuckets)
	gap := scope.Histogram(reporter.TokenGapSeconds, reporter.SecondsBuckets)
	last, started := time.Now(), false
	return func(data []byte) error {
		now := time.Now()
		if started {
			gap.RecordDuration(now.Sub(last))
		} else {
			first.RecordDuration(now.Sub(last))
		}
		last, started = now, true
		return out(data)
	}
}

// findModel returns the first target with the model that the account may use.
func findModel(req request, name string) (bundler.Target, *Error) {
	targets := req.index.Model(name)
	if len(targets) == 0 {
		return bundler.Target{}, notRun(http.StatusNotFound, "model", "there is no model %q, see GET /v1/models", name)
	}
	for _, target := range targets {
		if req.account.Reaches(target.Name) {
			return target, nil
		}
	}
	return bundler.Target{}, notRun(http.StatusForbidden, "right", "the account may not use model %q", name)
}
