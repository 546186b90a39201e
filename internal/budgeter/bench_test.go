package budgeter

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"daisylane/internal/allotter"
)

func BenchmarkReserveSettle(b *testing.B) {
	d := newDesk(1<<50, []string{"a"}, []string{"eu"}, 1)
	for i := range b.N {
		d.request(0, 500, 300)
		if i%500 == 499 {
			d.run(0, d.holders[0].Fold(0))
		}
	}
	b.ReportMetric(float64(d.bytes)/float64(d.records), "B/record")
}

// BenchmarkObject reports the size of an object with the planned 225 budgets.
func BenchmarkObject(b *testing.B) {
	for _, keys := range []int{0, 366, 36_600} { // 0%, 1% and all of 5,200 requests/s over 2 h and 1,024 shards
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			s := allotter.New(0)
			for _, region := range []string{"eu", "us"} {
				s, _ = s.WithHold(region, "entry-1."+region+"0123456789abcdef")
			}
			for i := range 225 {
				name := fmt.Sprintf("budget-%06d", i)
				s, _ = s.WithTopUp(name, fmt.Sprintf("topup-%08d", i), 1e7, 1e9, 1e9)
				for _, region := range []string{"eu", "us"} {
					s, _ = s.WithGrant(name, "entry-1."+region+"0123456789abcdef", region, 4e6)
					s = s.WithDemand(name, region, 100_000)
				}
			}
			s.Keys = make(allotter.Window)
			rnd := rand.New(rand.NewPCG(1, 1))
			for range keys {
				minute := int64(1e9)/60 + rnd.Int64N(120)
				s.Keys[minute] = append(s.Keys[minute], rnd.Uint64())
			}
			n := 0
			for range b.N {
				body, err := json.Marshal(s)
				if err != nil {
					b.Fatal(err)
				}
				n = len(body)
			}
			b.ReportMetric(float64(n), "B/object")
		})
	}
}
