package operator

import (
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"daisylane/internal/faker"
	"daisylane/internal/fencer"
	"daisylane/internal/storer"
)

// Guards against concurrent operators that are given the same fencing number.
func TestAllocateNumberRace(t *testing.T) {
	srv := httptest.NewServer(faker.NewPlatform())
	defer srv.Close()
	const operators = 6
	numbers := make([]uint64, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			n, err := allocateNumber(t.Context(), storer.New(srv.URL), "runner-1", fencer.Order{Kind: fencer.KindLoad, Model: "m"}, "op")
			if err != nil {
				t.Error(err)
			}
			numbers[i] = n
		})
	}
	group.Wait()
	slices.Sort(numbers)
	if !slices.Equal(numbers, []uint64{1, 2, 3, 4, 5, 6}) {
		t.Errorf("numbers = %v, want 1 to 6 once each", numbers)
	}
}
