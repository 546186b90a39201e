package messenger_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"daisylane/internal/messenger"
	"daisylane/platform/platformtest"
)

type note struct {
	Text string `json:"text"`
}

// Check accepts any note.
func (note) Check() error { return nil }

// Guards against an answer of a peer that is taken for a complete one although it is broken,
// and against sound answers that are not taken.
func TestAnswers(t *testing.T) {
	const body = `{"text":"a"}`
	client := messenger.NewClient(func(t http.RoundTripper) http.RoundTripper { return t })
	platformtest.CheckAnswers(t, "", body, func(t *testing.T, addr string, _ platformtest.Answer) (string, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		got, err := messenger.Post[note](ctx, client, addr+"/note", 100, note{"b"})
		return `{"text":"` + got.Text + `"}`, err
	})
}
