package launcher

import (
	"fmt"
	"testing"
	"time"

	"daisylane/internal/faker"
	"daisylane/internal/loader"
)

const measurementTime = 60 * time.Second

// BenchmarkIdleCalls measures the rate of platform calls of idle entries and idle
// sides over one minute, with the default intervals.
func BenchmarkIdleCalls(b *testing.B) {
	for _, role := range []string{"entry", "side"} {
		b.Run(role, func(b *testing.B) {
			f := newFixture(b)
			f.journalFlush = loader.Duration(5 * time.Second)
			f.pushBundle(testBundle())
			entries, sides := 1, 1
			if role == "entry" {
				entries = 3
			} else {
				sides = 3
			}
			for i := range entries {
				f.waitReady(f.startEntry(fmt.Sprintf("entry-%d", i)))
			}
			for i := range sides {
				f.startModelTarget(fmt.Sprintf("side-%d", i))
			}
			b.ResetTimer()
			for range b.N {
				time.Sleep(5 * time.Second)
				before := f.fakePlatform.Calls()
				time.Sleep(measurementTime)
				reportCallRates(b, before, f.fakePlatform.Calls())
			}
		})
	}
}

func reportCallRates(b *testing.B, before, after faker.CallCounts) {
	seconds := measurementTime.Seconds()
	b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
	b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
	b.ReportMetric(float64(after.Watches-before.Watches)/seconds, "watches/s")
}
