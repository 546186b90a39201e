package holder

import (
	"context"
	"errors"
	"testing"
)

// Guards against a call that took effect and is reported as refused, because the holder had
// stopped by the time its caller read the result.
func TestResultBeforeStop(t *testing.T) {
	stopped := make(chan struct{})
	close(stopped)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		reply := make(replyChan[int], 1)
		reply.send(7, nil)
		if n, err := reply.await(ended, stopped); n != 7 || err != nil {
			t.Fatalf("got %d, %v", n, err)
		}
	}
	if _, err := make(replyChan[int], 1).await(t.Context(), stopped); !errors.Is(err, ErrStopped) {
		t.Errorf("got %v without a result", err)
	}
}
