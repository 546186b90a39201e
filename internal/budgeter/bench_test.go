package budgeter

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"daisylane/internal/allotter"
)

// BenchmarkReserveSettle measures one reservation with its charge in a shard with the
// planned 225 budgets, 5 requests/s and up to 5 minutes of unfolded charges, and the
// size of the charge in the journal.
func BenchmarkReserveSettle(b *testing.B) {
	for _, budgets := range []int{1, plannedBudgets} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			d := plannedHarness(budgets)
			addCharges(d, budgets)
			d.bytes, d.records = 0, 0
			n := 0
			for b.Loop() {
				if n++; n%unfoldedCharges == 0 {
					b.StopTimer()
					d.perform(0, d.holders[0].Fold(0))
					addCharges(d, budgets)
					b.StartTimer()
				}
				d.reserveAndSettle(plannedBudget(n%budgets), 0, 500, 300)
			}
			b.ReportMetric(float64(d.bytes)/float64(d.records), "B/charge")
		})
	}
}

// BenchmarkMemory measures the memory of a holder per budget, without charges.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	var harnesses []*harness
	for b.Loop() {
		harnesses = nil
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range 20 {
			harnesses = append(harnesses, plannedHarness(plannedBudgets))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(harnesses)*plannedBudgets), "B/budget")
}

const (
	plannedBudgets  = 225
	unfoldedCharges = 5 * 300
)

func plannedBudget(i int) string { return fmt.Sprintf("budget-%06d", i) }

// plannedHarness returns a harness with one holder and the given number of budgets.
func plannedHarness(budgets int) *harness {
	d := newHarness(1, nil, nil, 1)
	for i := range budgets {
		d.object, _ = d.object.WithTopUp(plannedBudget(i), fmt.Sprintf("topup-%08d", i), 1<<50, 1e6, 1e6)
	}
	d.addHolder("entry-1.0123456789abcdef", "eu", 1, 1)
	return d
}

func addCharges(d *harness, budgets int) {
	for i := range unfoldedCharges {
		d.reserveAndSettle(plannedBudget(i%budgets), 0, 500, 300)
	}
}

// BenchmarkObject measures the encoded size of a shard object with the planned 225 budgets.
func BenchmarkObject(b *testing.B) {
	// 0%, 1% and 100% of 5,200 requests/s carry a key, over 2 h and 1,024 shards.
	for _, keys := range []int{0, 366, 36_600} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			s := allotter.New(0)
			for _, region := range []string{"eu", "us"} {
				s = s.WithHolder(region, "entry-1."+region+"0123456789abcdef")
			}
			for i := range plannedBudgets {
				name := fmt.Sprintf("budget-%06d", i)
				s, _ = s.WithTopUp(name, fmt.Sprintf("topup-%08d", i), 1e7, 1e9, 1e9)
				for _, region := range []string{"eu", "us"} {
					s, _ = s.WithGrant(name, "entry-1."+region+"0123456789abcdef", region, 4e6)
					s = s.WithDemand(name, region, 100_000)
				}
			}
			s.Keys = make(allotter.KeyWindow)
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
			b.ReportMetric(float64(n)/plannedBudgets, "B/budget")
		})
	}
}
