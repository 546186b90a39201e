package router

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/connector"
)

// Guards against accepting a request whose token count cannot be bounded: missing
// or malformed fields and limits out of range.
func TestParseChat(t *testing.T) {
	const message = `"messages":[{"role":"user","content":"hello"}]`
	tests := []struct {
		name, body, want string
	}{
		{"plain", `{"model":"m",` + message + `}`, ""},
		{"unknown field", `{"model":"m","temperature":0.1,` + message + `}`, ""},
		{"malformed", `{"model":`, "parse chat completion"},
		{"no model", `{` + message + `}`, "model: is missing"},
		{"no messages", `{"model":"m","messages":[]}`, "messages: is empty"},
		{"negative limit", `{"model":"m","max_tokens":-1,` + message + `}`, "max_tokens: is -1"},
		{"zero limit", `{"model":"m","max_completion_tokens":0,` + message + `}`, "max_completion_tokens: is 0"},
		{"too many choices", `{"model":"m","n":17,` + message + `}`, "n: is 17"},
		{"text limit", `{"model":"m","max_tokens":"9",` + message + `}`, "parse chat completion"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := parseChat([]byte(tt.body))
			switch {
			case tt.want == "" && err != nil:
				t.Errorf("err = %v", err)
			case tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)):
				t.Errorf("err = %v, want %q", err, tt.want)
			}
		})
	}
}

// Guards against reserving too few tokens because the limit of the request or of
// the target is applied wrongly.
func TestMaxOutputTokens(t *testing.T) {
	n := func(v int64) *int64 { return &v }
	tests := []struct {
		name string
		chat chatRequest
		want int64
	}{
		{"default", chatRequest{}, 64},
		{"max_tokens", chatRequest{MaxTokens: n(7)}, 7},
		{"newer name wins", chatRequest{MaxTokens: n(7), MaxCompletionTokens: n(9)}, 9},
		{"target's maximum", chatRequest{MaxTokens: n(5000)}, 1024},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.chat.maxOutputTokens(64, 1024); got != tt.want {
				t.Errorf("maxOutputTokens = %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against forwarding a usage event that the caller did not request, and
// against dropping events that only look like one.
func TestIsUsageEvent(t *testing.T) {
	tests := []struct {
		event string
		want  bool
	}{
		{`{"choices":[],"usage":{"prompt_tokens":1}}`, true},
		{`{"choices":[{"delta":{"content":"\"usage\""}}],"usage":null}`, false},
		{`{"choices":[],"usage":null}`, false},
		{`{"choices":[{"delta":{}}],"usage":{"prompt_tokens":1}}`, false},
		{`"usage"`, false},
	}
	for _, tt := range tests {
		if got := isUsageEvent([]byte(tt.event)); got != tt.want {
			t.Errorf("isUsageEvent(%s) = %v, want %v", tt.event, got, tt.want)
		}
	}
}

// Guards against headers that raise a request's worth above the account's, extend
// its timeout above the maximum, or are malformed and accepted.
func TestWithHeaders(t *testing.T) {
	account := bundler.Account{Name: "acme", Worth: 2}
	tests := []struct {
		name, key, value string
		worth            float64
		timeout          time.Duration
		ok               bool
	}{
		{"none", "X-Other", "1", 2, defaultTimeout, true},
		{"lower worth", headerWorth, "0.5", 0.5, defaultTimeout, true},
		{"higher worth", headerWorth, "9", 2, defaultTimeout, true},
		{"not a number", headerWorth, "NaN", 0, 0, false},
		{"timeout", headerTimeout, "1.5", 2, 1500 * time.Millisecond, true},
		{"long timeout", headerTimeout, "1e99", 2, maxTimeout, true},
		{"negative timeout", headerTimeout, "-1", 0, 0, false},
		{"long key", headerIdempotencyKey, strings.Repeat("k", maxIdempotencyKeyBytes+1), 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := http.Header{}
			h.Set(tt.key, tt.value)
			req, failure := request{account: account}.withHeaders(h)
			if (failure == nil) != tt.ok {
				t.Fatalf("failure = %v, want ok %v", failure, tt.ok)
			}
			if !tt.ok {
				return
			}
			if left := time.Until(req.deadline); left > tt.timeout || left < tt.timeout-time.Second {
				t.Errorf("timeout = %v, want %v", left, tt.timeout)
			}
			if req.worth != tt.worth {
				t.Errorf("worth = %v, want %v", req.worth, tt.worth)
			}
		})
	}
}

// Guards against a lost Retry-After of a refusal, and against a session error on a
// reservation or claim that is reported as anything other than not run.
func TestRefusalError(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		status int
		after  time.Duration
	}{
		{"budget", &connector.RefusedError{Reason: "budget"}, http.StatusPaymentRequired, 0},
		{"platform", &connector.RefusedError{Reason: "platform", RetryAfter: 5 * time.Second}, http.StatusServiceUnavailable, 5 * time.Second},
		{"other reason", &connector.RefusedError{Reason: "closed", RetryAfter: time.Second}, http.StatusServiceUnavailable, time.Second},
		{"no response", connector.ErrDial, http.StatusServiceUnavailable, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := refusalError(tt.err, "platform")
			if got.Type != typeNotRun || got.Status != tt.status || got.RetryAfter != tt.after {
				t.Errorf("error = %+v", got)
			}
		})
	}
}

// Guards against token bounds that are not positive for an accepted request.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}],"n":2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		chat, err := parseChat(data)
		if err != nil {
			return
		}
		if chat.maxPromptTokens() <= 0 || chat.maxOutputTokens(1, 1024) <= 0 || chat.choiceCount() <= 0 {
			t.Errorf("bounds of %q are not positive", data)
		}
	})
}
