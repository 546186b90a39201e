package launcher

import (
	"fmt"
	"testing"
	"time"

	"daisylane/internal/faker"
	"daisylane/internal/loader"
)

const idleTime = 60 * time.Second

// BenchmarkIdleCalls counts the platform calls of an idle entry and an idle side a
// minute after their start, with the default intervals.
func BenchmarkIdleCalls(b *testing.B) {
	for _, role := range []string{"entry", "side"} {
		b.Run(role, func(b *testing.B) {
			f := newFixture(b)
			f.flush = loader.Duration(5 * time.Second)
			f.push(testBundle())
			entries, sides := 1, 1
			if role == "entry" {
				entries = 3
			} else {
				sides = 3
			}
			for i := range entries {
				f.ready(f.entry(fmt.Sprintf("entry-%d", i)))
			}
			for i := range sides {
				f.engine(fmt.Sprintf("side-%d", i))
			}
			b.ResetTimer()
			for range b.N {
				time.Sleep(5 * time.Second)
				before := f.fake.Calls()
				time.Sleep(idleTime)
				report(b, before, f.fake.Calls())
			}
		})
	}
}

func report(b *testing.B, before, after faker.Calls) {
	seconds := idleTime.Seconds()
	b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
	b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
	b.ReportMetric(float64(after.Watches-before.Watches)/seconds, "watches/s")
}
