package launcher

import (
	"net/http"
	"strings"
	"testing"

	"daisylane/internal/bundler"
)

// Guards against invalid requests that are run, are charged or are refused with an
// error that does not name the type and reason.
func TestBadInput(t *testing.T) {
	f := newFixture(t)
	bundle := testBundle()
	bundle.Accounts = append(bundle.Accounts, bundler.Account{
		Name: "visitor", Keys: []string{bundler.HashKey("visitor-key")}, Worth: 1, Targets: []string{"booking"},
		Budgets: []bundler.Payment{{Budget: testBudget, Targets: []string{bundler.Any}}},
	})
	f.pushBundle(bundle)
	f.topUp("t1", 1000)
	f.startModelTarget("side-1")
	f.startBookingTarget("side-2")
	a := f.startEntry("entry-1")
	f.waitReady(a)
	limit := func(field, value string) string {
		return `{"model":"plan-1","messages":[{"role":"user","content":"x"}],"` + field + `":` + value + `}`
	}
	for _, c := range []struct {
		name, path, body string
		header           []string
		status           int
		reason           string
	}{
		{"oversized", chatPath, chatBody(strings.Repeat("x", 3<<20), false), nil, http.StatusRequestEntityTooLarge, "body"},
		{"oversized booking", bookingPath, strings.Repeat("x", 3<<20), []string{keyHeader, "k"}, http.StatusRequestEntityTooLarge, "body"},
		{"malformed", chatPath, `{"model":`, nil, http.StatusBadRequest, "body"},
		{"not an object", chatPath, `[]`, nil, http.StatusBadRequest, "body"},
		{"empty", chatPath, ``, nil, http.StatusBadRequest, "body"},
		{"no messages", chatPath, `{"model":"plan-1"}`, nil, http.StatusBadRequest, "body"},
		{"bad messages", chatPath, `{"model":"plan-1","messages":["x"]}`, nil, http.StatusBadRequest, "body"},
		{"no model", chatPath, `{"messages":[{"role":"user","content":"x"}]}`, nil, http.StatusBadRequest, "body"},
		{"unknown model", chatPath, strings.Replace(chatBody("x", false), "plan-1", "plan-2", 1), nil, http.StatusNotFound, "model"},
		{"unknown service", "/services/none/x", `{}`, []string{keyHeader, "k"}, http.StatusNotFound, "model"},
		{"bad key", chatPath, chatBody("x", false), []string{"Authorization", "Bearer wrong"}, http.StatusUnauthorized, "key"},
		{"no key", chatPath, chatBody("x", false), []string{"Authorization", ""}, http.StatusUnauthorized, "key"},
		{"no access", chatPath, chatBody("x", false), []string{"Authorization", "Bearer visitor-key"}, http.StatusForbidden, "right"},
		{"negative limit", chatPath, limit("max_tokens", "-1"), nil, http.StatusBadRequest, "body"},
		{"zero limit", chatPath, limit("max_tokens", "0"), nil, http.StatusBadRequest, "body"},
		{"limit as text", chatPath, limit("max_tokens", `"5"`), nil, http.StatusBadRequest, "body"},
		{"fraction", chatPath, limit("max_completion_tokens", "1.5"), nil, http.StatusBadRequest, "body"},
		{"choices", chatPath, limit("n", "1000000"), nil, http.StatusBadRequest, "body"},
		{"bad stream options", chatPath, limit("stream_options", `7`), nil, http.StatusBadRequest, "body"},
		{"bad timeout", chatPath, chatBody("x", false), []string{"Request-Timeout", "-1"}, http.StatusBadRequest, "body"},
		{"timeout is not a number", chatPath, chatBody("x", false), []string{"Request-Timeout", "NaN"}, http.StatusBadRequest, "body"},
		{"bad worth", chatPath, chatBody("x", false), []string{"Request-Worth", "much"}, http.StatusBadRequest, "body"},
		{"long idempotency key", bookingPath, `{}`, []string{keyHeader, strings.Repeat("k", 300)}, http.StatusBadRequest, "body"},
		{"no idempotency key", bookingPath, `{}`, nil, http.StatusBadRequest, "body"},
		{"too expensive", chatPath, chatBody(strings.Repeat("x", 2000), false), nil, http.StatusPaymentRequired, "budget"},
	} {
		t.Run(c.name, func(t *testing.T) {
			res := f.post(a, c.path, c.body, c.header...)
			kind, reason := res.errorTypeAndReason()
			if res.status != c.status || kind != "notrun" || reason != c.reason || res.header.Get("X-Request-Id") == "" {
				t.Errorf("status %d, type %q, reason %q, want %d, notrun, %q: %.200s", res.status, kind, reason, c.status, c.reason, res.body)
			}
		})
	}
	if n := len(f.engines[0].Runs()) + len(f.fakeBooking.Runs()); n != 0 {
		t.Errorf("%d runs", n)
	}
	good := testChats("good", 1, 20)
	tokens, _ := f.checkResponses(good, f.sendAll(a, good)())
	f.waitSettled(tokens)
}
