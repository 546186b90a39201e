package bundler

import (
	"fmt"
	"runtime"
	"testing"
)

const (
	plannedAccounts = 42_000
	plannedBudgets  = 230_000
)

func BenchmarkNewIndex(b *testing.B) {
	bundle := largeBundle(plannedAccounts, plannedBudgets)
	for b.Loop() {
		if _, err := NewIndex(bundle); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	x, err := NewIndex(largeBundle(plannedAccounts, plannedBudgets))
	if err != nil {
		b.Fatal(err)
	}
	keys := make([]string, 4096)
	for i := range keys {
		keys[i] = HashKey(fmt.Sprint("key", i*10))
	}
	i := 0
	for b.Loop() {
		a, ok := x.AccountByKey(keys[i%len(keys)])
		if _, found := x.BudgetFor(a, "model-3"); !ok || !found {
			b.Fatal("not found")
		}
		i++
	}
}

func BenchmarkSplit(b *testing.B) {
	bundle := largeBundle(plannedAccounts, plannedBudgets)
	for b.Loop() {
		split(b, bundle)
	}
}

func BenchmarkJoin(b *testing.B) {
	list, chunks := split(b, largeBundle(plannedAccounts, plannedBudgets))
	head, m := Head{Version: 1, Chunks: list}, bodiesByHash(chunks)
	for b.Loop() {
		if _, err := Join(head, m); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkUpdate measures the work of a process to merge and index a new version
// once its chunks are decoded. It reports the heap held by the decoded chunks, the
// bodies and the index.
func BenchmarkUpdate(b *testing.B) {
	list, chunks := split(b, largeBundle(plannedAccounts, plannedBudgets))
	head, m := Head{Version: 1, Chunks: list}, bodiesByHash(chunks)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	store := make(ChunkStore)
	for missing := store.Missing(head); len(missing) > 0; missing = store.Missing(head) {
		for _, h := range missing {
			if err := store.Add(h, m[h]); err != nil {
				b.Fatal(err)
			}
		}
	}
	var x *Index
	for b.Loop() {
		merged, err := store.Merge(head)
		if err != nil {
			b.Fatal(err)
		}
		if x, err = NewIndex(merged); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "live-bytes")
	runtime.KeepAlive(x)
	runtime.KeepAlive(m)
}

// BenchmarkChange reports the bytes that a process downloads when one account
// changes: the head and the chunks that it does not have yet.
func BenchmarkChange(b *testing.B) {
	bundle := largeBundle(plannedAccounts, plannedBudgets)
	_, before := split(b, bundle)
	sum, largest := 0, 0
	rounds := 0
	for b.Loop() {
		i := rounds * 997 % plannedAccounts
		worth := bundle.Accounts[i].Worth
		bundle.Accounts[i].Worth = 7
		list, after := split(b, bundle)
		bundle.Accounts[i].Worth = worth
		head, err := Sign(Head{Version: 2, Chunks: list, Author: "ann"}, authorKey("ann"))
		if err != nil {
			b.Fatal(err)
		}
		data, err := EncodeHead(head)
		if err != nil {
			b.Fatal(err)
		}
		old, n := bodiesByHash(before), len(data)
		for _, c := range after {
			if _, ok := old[c.Hash]; !ok {
				n += len(c.Body)
			}
		}
		sum, largest, rounds = sum+n, max(largest, n), rounds+1
	}
	total := 0
	for _, c := range before {
		total += len(c.Body)
	}
	b.ReportMetric(float64(sum)/float64(rounds), "bytes/change")
	b.ReportMetric(float64(largest), "largest-bytes")
	b.ReportMetric(float64(len(before)), "chunks")
	b.ReportMetric(float64(total), "bundle-bytes")
}
