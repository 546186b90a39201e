package storer_test

import (
	"testing"

	"github.com/pkg/errors"

	"daisylane/internal/storer"
	"daisylane/platform/platformtest"
)

// Guards against a broken answer of the platform that is taken for a complete one, and
// against a write that counts as done, or as having had no effect, after one.
func TestAnswers(t *testing.T) {
	platformtest.CheckAnswers(t, "ETag: \"7\"\r\n", "one", func(t *testing.T, addr string, a platformtest.Answer) (string, error) {
		item, err := storer.New("http://"+addr).Get(t.Context(), "a")
		_, writeErr := storer.New("http://"+addr).Put(t.Context(), "a", nil, 6)
		if (writeErr == nil) != a.Whole || !a.Whole && !errors.Is(writeErr, storer.ErrUncertain) {
			t.Errorf("write: got %v", writeErr)
		}
		return string(item.Body), err
	})
}
