package holder

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/checker"
	"daisylane/internal/placer"
	"daisylane/internal/wirepb"
)

// BenchmarkReserveSettle measures the CPU time of one reservation and one settlement
// between a router and the holder of the budget. It includes both processes, their
// sessions and the journal. The router does not wait until the charge is durable.
func BenchmarkReserveSettle(b *testing.B) {
	f := newFixture(b)
	f.topUp("acme", "t1", 1<<40)
	x, y := f.startNode("a.1", "north"), f.startNode("b.1", "north")
	f.eventually("entries know each other", func() bool {
		return len(x.members.Entries("north", "")) == 2 && len(y.members.Entries("north", "")) == 2
	})
	r, err := x.client.Reserve(b.Context(), "first", &wirepb.Reserve{Budget: "acme", Tokens: 1})
	if err != nil {
		b.Fatal(err)
	}
	router := x
	if r.GetHolder() == "a.1" {
		router = y
	}
	settled := make(chan error, b.N+1)
	began := cpuTime()
	n := 0
	for b.Loop() {
		id := fmt.Sprint("r", n)
		n++
		r, err := router.client.Reserve(b.Context(), id, &wirepb.Reserve{Budget: "acme", Tokens: 1000})
		if err != nil {
			b.Fatal(err)
		}
		go func() {
			settled <- router.client.Settle(b.Context(), &wirepb.Settle{Reservation: r, Tokens: 10})
		}()
	}
	for range n {
		if err := <-settled; err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((cpuTime()-began).Microseconds())/float64(n), "cpu-us/op")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHolderMemory measures a holder's heap size per budget in its shards.
func BenchmarkHolderMemory(b *testing.B) {
	const budgets = 2000
	for b.Loop() {
		f := newFixture(b)
		objects := make(map[int]allotter.Shard)
		var names []string
		for i := range budgets {
			name := fmt.Sprintf("budget-%06d", i)
			names = append(names, name)
			shard := placer.Shard(name, testShards)
			if _, ok := objects[shard]; !ok {
				objects[shard] = allotter.New(shard)
			}
			now := time.Now().Unix()
			object, err := objects[shard].WithTopUp(name, "t1", 1_000_000, now, now)
			if err != nil {
				b.Fatal(err)
			}
			objects[shard] = object
		}
		for shard, object := range objects {
			body, err := checker.Encode(object)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := f.store("test").Put(b.Context(), ShardObjectKey(shard), body, 0); err != nil {
				b.Fatal(err)
			}
		}
		n := f.startNode("a.1", "north")
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for _, name := range names[:testShards*8] {
			if _, err := n.client.Reserve(b.Context(), name, &wirepb.Reserve{Budget: name, Tokens: 100}); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/budgets, "B/budget")
		n.kill()
	}
}
