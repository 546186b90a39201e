package router

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/reporter"
)

// promptPrefixBytes is the length of the prompt prefix used for prefix-cache
// affinity. It covers about the system prompt and the start of the history.
const promptPrefixBytes = 2048

// serveChat handles a chat completion, streamed or plain.
func (r *Router) serveChat(ctx context.Context, w http.ResponseWriter, _ *http.Request, req request) *Error {
	payload := req.payload
	chat, err := parseChat(payload)
	if err != nil {
		return notRun(http.StatusBadRequest, "body", "%v", err)
	}
	target, failure := targetForModel(req, chat.Model)
	if failure != nil {
		return failure
	}
	output := chat.maxOutputTokens(target.Output.Default, target.Output.Limit)
	j := job{
		target: target.Name, model: target.Model, method: http.MethodPost, path: "/v1/chat/completions",
		payload: payload, idempotent: true, stream: chat.Stream, maxOutputTokens: output,
		maxTokens: chat.maxPromptTokens() + output*chat.choiceCount(), promptPrefix: payload[:min(len(payload), promptPrefixBytes)],
	}
	if chat.Stream {
		return r.streamChat(ctx, w, req, j, chat)
	}
	return r.plainChat(ctx, w, req, j)
}

func (r *Router) plainChat(ctx context.Context, w http.ResponseWriter, req request, j job) *Error {
	j.buffer = &bytes.Buffer{}
	res := r.runJob(ctx, req, j, j.writeToBuffer)
	if res.failure != nil {
		return res.failure
	}
	writeResponse(w, res.end.GetHeader(), int(res.end.GetStatus()), j.buffer.Bytes())
	return nil
}

func (r *Router) streamChat(ctx context.Context, w http.ResponseWriter, req request, j job, chat chatRequest) *Error {
	events := newEventWriter(w, chat.wantsUsage())
	res := r.runJob(ctx, req, j, r.withLatencyMetrics(j.model, events.writeEvent))
	if res.failure == nil {
		_ = events.finish()
		return nil
	}
	if !events.headerWritten {
		return res.failure
	}
	r.recordDecision(req.id, "answer", res.failure.Type, res.failure.Reason)
	events.writeError(req.id, res.failure)
	return nil
}

// withLatencyMetrics wraps a sink to report the time to first token and between tokens.
func (r *Router) withLatencyMetrics(model string, out sink) sink {
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

// targetForModel returns the first target with the model that the account may access.
func targetForModel(req request, name string) (bundler.Target, *Error) {
	targets := req.index.TargetsForModel(name)
	if len(targets) == 0 {
		return bundler.Target{}, notRun(http.StatusNotFound, "model", "there is no model %q, see GET /v1/models", name)
	}
	for _, target := range targets {
		if req.account.MayUse(target.Name) {
			return target, nil
		}
	}
	return bundler.Target{}, notRun(http.StatusForbidden, "right", "the account may not use model %q", name)
}
