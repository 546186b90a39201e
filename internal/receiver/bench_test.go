package receiver_test

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"daisylane/internal/logger"
	"daisylane/internal/receiver"
	"daisylane/platform/platformtest"
)

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Measures processor time and allocations of a request. Caller, entry and runner are
// in one process: the cost of the entry is the difference between a request through
// it and one sent directly to the runner.
func BenchmarkPath(b *testing.B) {
	log, err := logger.New(io.Discard, "info")
	if err != nil {
		b.Fatal(err)
	}
	tests := []struct {
		name   string
		events int
		entry  bool
		opts   []receiver.Option
	}{
		{"runner/plain", 0, false, nil},
		{"entry/plain", 0, true, nil},
		{"entry/plain/log", 0, true, []receiver.Option{receiver.WithLog(log)}},
		{"runner/events1", 1, false, nil},
		{"entry/events1", 1, true, nil},
		{"entry/events1/log", 1, true, []receiver.Option{receiver.WithLog(log)}},
		{"runner/events101", 101, false, nil},
		{"entry/events101", 101, true, nil},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			f := startWith(b, tt.opts, []platformtest.Response{{Body: "done", Events: tt.events}})
			url := f.URL
			if !tt.entry {
				url = "http://" + f.runners[0].Addr()
			}
			path := "/look/7"
			if tt.events > 0 {
				path = "/plan/7"
			}
			b.ReportAllocs()
			began := processorTime(b)
			n := 0
			for b.Loop() {
				n++
				req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+path, strings.NewReader("body"))
				if err != nil {
					b.Fatal(err)
				}
				req.Host = "a.example"
				for name, value := range map[string]string{
					"Daisylane-Attempt-Id": "id-1", "Api-Key": "key-1", "Daisylane-Deadline-Ms": "900",
					"Daisylane-Token-Usage": "80,20", "Daisylane-Prompt-Prefix": "a1:60,b2:20", "Daisylane-Model": "m",
				} {
					req.Header.Set(name, value)
				}
				res, err := http.DefaultTransport.RoundTrip(req)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
					b.Fatal(res.StatusCode, err)
				}
				_ = res.Body.Close()
			}
			b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(n), "cpu-us/op")
		})
	}
}
