package launcher

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daisylane/internal/executor"
	"daisylane/internal/faker"
)

const benchTokens = 64

// cpuTime returns the CPU time of this process, which runs the whole fleet.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOverhead compares a streamed request of 64 tokens sent directly to an
// engine with the same request through an entry and a side. The engine, the fake
// platform and the fleet share one process, so only the differences are meaningful.
func BenchmarkOverhead(b *testing.B) {
	f := newFixture(b)
	engine := faker.NewEngine(faker.EngineConfig{Models: []string{"plan-1"}, Slots: 64, CacheBlocks: 1024})
	direct := httptest.NewServer(engine)
	defer direct.Close()
	f.pushBundle(testBundle())
	f.topUp("t1", 1<<40)
	f.startSide("side-1", engine, executor.Target{Name: "planner", Kind: executor.KindModel, Model: "plan-1"})
	entry := f.startEntry("entry-1")
	f.waitReady(entry)
	f.eventually("first response", func() bool {
		return f.post(entry, "/v1/chat/completions", chatBody("ready?", false)).status == http.StatusOK
	})
	body := fmt.Sprintf(`{"model":"plan-1","stream":true,"messages":[{"role":"user","content":"benchmark"}],"max_tokens":%d}`, benchTokens)
	for _, route := range []struct{ name, url string }{{"direct", direct.URL}, {"entry", entry.url}} {
		b.Run(route.name, func(b *testing.B) {
			hist := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			cpu := cpuTime()
			for b.Loop() {
				start := time.Now()
				if err := benchRequest(route.url, body); err != nil {
					b.Fatal(err)
				}
				_ = hist.RecordValue(time.Since(start).Microseconds())
			}
			cpu = cpuTime() - cpu
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/op")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N)/benchTokens, "allocs/token")
			b.ReportMetric(float64(hist.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(hist.ValueAtQuantile(99)), "p99-us")
		})
	}
}

func benchRequest(url, body string) error {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK || !strings.HasSuffix(string(data), "[DONE]\n\n") {
		return fmt.Errorf("status %d: %s", res.StatusCode, data)
	}
	return nil
}
