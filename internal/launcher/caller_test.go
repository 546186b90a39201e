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

// response is the answer to a caller. Status -1 means that the connection broke.
type response struct {
	status int
	header http.Header
	body   string
}

func (f *fixture) post(r *running, path, body string, header ...string) response {
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

// failure returns type and reason of an error answer, also of one in a stream.
func (r response) failure() (kind, reason string) {
	body := r.body[strings.LastIndex(r.body, `{"error":`)+len(`{"error":`):]
	var e errorAnswer
	if err := json.NewDecoder(strings.NewReader(body)).Decode(&e); err != nil {
		return "", ""
	}
	return e.Type, e.Reason
}

type errorAnswer struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
}

func chat(prompt string, stream bool) string { return question{prompt, 20, stream}.body() }

// question is a chat completion with the answer that an engine gives to it.
type question struct {
	prompt string
	tokens int // maximum of the answer
	stream bool
}

func (q question) body() string {
	return fmt.Sprintf(`{"model":"plan-1","stream":%v,"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, q.stream, q.prompt, q.tokens)
}

func (q question) output() []string {
	return faker.Output(faker.Chat{
		Model: "plan-1", Messages: []faker.Message{{Role: "user", Content: q.prompt}}, MaxTokens: q.tokens,
	})
}

// usage is the number of tokens that a whole answer costs.
func (q question) usage() int64 { return int64((len(q.prompt)+3)/4 + len(q.output())) }

// text returns the answer's text so far and whether the answer is whole.
func (q question) text(r response) (string, bool) {
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
			for _, c := range m.Choices {
				text.WriteString(c.Delta.Content + c.Message.Content)
			}
		}
	}
	whole := r.status == http.StatusOK && (!q.stream || strings.HasSuffix(r.body, "data: [DONE]\n\n"))
	return text.String(), whole
}

// check reports an answer that is not that of the question, and whether it is whole.
func (q question) check(t testing.TB, r response) bool {
	t.Helper()
	text, whole := q.text(r)
	want := strings.Join(q.output(), "")
	switch {
	case whole && text != want:
		t.Errorf("answer to %q is %q, want %q", q.prompt, text, want)
	case !strings.HasPrefix(want, text):
		t.Errorf("part of the answer to %q is %q, want a start of %q", q.prompt, text, want)
	}
	return whole
}

// bill sums up the use of whole answers.
type bill struct {
	mu     sync.Mutex
	tokens int64
	whole  int
}

func (b *bill) add(q question) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += q.usage()
	b.whole++
}

// runs counts the runs of a question at all engines.
func (f *fixture) runs(q question) int {
	n := 0
	for _, e := range f.engines {
		for _, r := range e.Runs() {
			if r.Tail == q.prompt {
				n++
			}
		}
	}
	return n
}

// settled waits until exactly the given tokens are charged, and checks that the
// budget holds what is charged and granted.
func (f *fixture) settled(want int64) {
	f.t.Helper()
	var got int64
	f.eventuallyf(func() bool {
		got = f.charged()
		return got == want
	}, func() string { return fmt.Sprintf("settled %d tokens, want %d", got, want) })
}

func (f *fixture) charged() int64 {
	f.t.Helper()
	b := f.object().Budgets[testBudget]
	out := b.Settled
	for _, g := range b.Grants {
		out += g.Allotted - g.Folded
	}
	if out > b.Topped {
		f.t.Errorf("settled and granted %d tokens of %d", out, b.Topped)
	}
	return b.Settled
}

// granted returns the tokens that instances of a name may still spend.
func (f *fixture) granted(name string) int64 {
	var n int64
	for instance, g := range f.object().Budgets[testBudget].Grants {
		if watcher.Base(instance) == name {
			n += g.Allotted - g.Folded
		}
	}
	return n
}

// holder returns the entry that holds the budget, and another one.
func (f *fixture) holder(a, b *running) (holder, other *running) {
	f.t.Helper()
	if name := watcher.Base(f.object().Holders["north"].Instance); name == b.name {
		return b, a
	}
	return a, b
}
