package launcher

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"daisylane/internal/faker"
	"daisylane/internal/watcher"
)

const (
	chatPath    = "/v1/chat/completions"
	bookingPath = "/services/booking/bookings"
	keyHeader   = "Idempotency-Key"
)

// response is the response to a caller. Status -1 means that the connection failed.
type response struct {
	status int
	header http.Header
	body   string
}

func (f *fixture) post(r *testProcess, path, body string, header ...string) response {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, r.url+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{status: -1, body: err.Error()}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return response{status: -1, header: res.Header, body: string(data)}
	}
	return response{res.StatusCode, res.Header, string(data)}
}

// errorTypeAndReason returns type and reason of an error response, also at the end
// of a stream.
func (r response) errorTypeAndReason() (kind, reason string) {
	body := r.body[strings.LastIndex(r.body, `{"error":`)+len(`{"error":`):]
	var e errorResponse
	if err := json.NewDecoder(strings.NewReader(body)).Decode(&e); err != nil {
		return "", ""
	}
	return e.Type, e.Reason
}

type errorResponse struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
}

func chatBody(prompt string, stream bool) string { return testChat{prompt, 20, stream}.body() }

// testChat is a chat completion with a known response of the fake engine.
type testChat struct {
	prompt    string
	maxTokens int // max_tokens of the request
	stream    bool
}

func (tc testChat) body() string {
	return fmt.Sprintf(`{"model":"plan-1","stream":%v,"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, tc.stream, tc.prompt, tc.maxTokens)
}

func (tc testChat) expectedOutput() []string {
	return faker.ExpectedOutput(faker.ChatRequest{
		Model: "plan-1", Messages: []faker.Message{{Role: "user", Content: tc.prompt}}, MaxTokens: tc.maxTokens,
	})
}

// expectedUsage returns the number of tokens charged for a complete response.
func (tc testChat) expectedUsage() int64 {
	return int64((len(tc.prompt)+3)/4 + len(tc.expectedOutput()))
}

// receivedText returns the received text and whether the response is complete.
func (tc testChat) receivedText(r response) (string, bool) {
	type message struct {
		Choices []struct {
			Delta   faker.Message `json:"delta"`
			Message faker.Message `json:"message"`
		} `json:"choices"`
	}
	var text strings.Builder
	for event := range strings.SplitSeq(r.body, "\n\n") {
		var m message
		if json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &m) == nil {
			for _, choice := range m.Choices {
				text.WriteString(choice.Delta.Content + choice.Message.Content)
			}
		}
	}
	complete := r.status == http.StatusOK && (!tc.stream || strings.HasSuffix(r.body, "data: [DONE]\n\n"))
	return text.String(), complete
}

// checkResponse fails the test if the text is not the expected output or a prefix
// of it. It returns whether the response is complete.
func (tc testChat) checkResponse(t testing.TB, r response) bool {
	t.Helper()
	text, complete := tc.receivedText(r)
	want := strings.Join(tc.expectedOutput(), "")
	switch {
	case complete && text != want:
		t.Errorf("response to %q is %q, want %q", tc.prompt, text, want)
	case !strings.HasPrefix(want, text):
		t.Errorf("incomplete response to %q is %q, want a prefix of %q", tc.prompt, text, want)
	}
	return complete
}

// usageTotal sums the token usage of complete responses.
type usageTotal struct {
	mu        sync.Mutex
	tokens    int64
	responses int
}

func (u *usageTotal) add(tc testChat) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tokens += tc.expectedUsage()
	u.responses++
}

// runCount counts the runs of a chat at all engines.
func (f *fixture) runCount(tc testChat) int {
	n := 0
	for _, e := range f.engines {
		for _, r := range e.Runs() {
			if r.PromptTail == tc.prompt {
				n++
			}
		}
	}
	return n
}

// waitSettled waits until exactly the given tokens are settled, and checks that the
// settled and granted tokens never exceed the top-ups.
func (f *fixture) waitSettled(want int64) {
	f.t.Helper()
	var got int64
	f.eventuallyf(func() bool {
		got = f.settledTokens()
		return got == want
	}, func() string { return fmt.Sprintf("settled %d tokens, want %d", got, want) })
}

func (f *fixture) settledTokens() int64 {
	f.t.Helper()
	b := f.shardObject().Budgets[testBudget]
	committed := b.Settled
	for _, g := range b.Grants {
		committed += g.Allotted - g.Folded
	}
	if committed > b.ToppedUp {
		f.t.Errorf("settled and granted %d tokens of %d", committed, b.ToppedUp)
	}
	return b.Settled
}

// grantedTokens returns the tokens that the incarnations of an instance may still
// spend.
func (f *fixture) grantedTokens(name string) int64 {
	var n int64
	for instance, g := range f.shardObject().Budgets[testBudget].Grants {
		if watcher.BaseName(instance) == name {
			n += g.Allotted - g.Folded
		}
	}
	return n
}

// findHolder returns the entry that holds the budget's shard, and the other one.
func (f *fixture) findHolder(a, b *testProcess) (holder, other *testProcess) {
	f.t.Helper()
	if name := watcher.BaseName(f.shardObject().Holders["north"].Instance); name == b.name {
		return b, a
	}
	return a, b
}
