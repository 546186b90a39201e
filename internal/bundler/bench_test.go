package bundler

import (
	"fmt"
	"testing"
)

const (
	plannedAccounts = 42_000
	plannedBudgets  = 230_000
)

func BenchmarkNewIndex(b *testing.B) {
	bundle := large(plannedAccounts, plannedBudgets)
	for b.Loop() {
		if _, err := NewIndex(bundle); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	x, err := NewIndex(large(plannedAccounts, plannedBudgets))
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
	bundle := large(plannedAccounts, plannedBudgets)
	for b.Loop() {
		split(b, bundle)
	}
}

func BenchmarkJoin(b *testing.B) {
	chunks := split(b, large(plannedAccounts, plannedBudgets))
	head, m := Head{Version: 1, Chunks: Hashes(chunks)}, bodies(chunks)
	for b.Loop() {
		if _, err := Join(head, m); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkChange reports what a process transfers for a change of one account:
// the head and the chunks that it does not have.
func BenchmarkChange(b *testing.B) {
	bundle := large(plannedAccounts, plannedBudgets)
	before := split(b, bundle)
	sum, largest := 0, 0
	rounds := 0
	for b.Loop() {
		i := rounds * 997 % plannedAccounts
		worth := bundle.Accounts[i].Worth
		bundle.Accounts[i].Worth = 7
		after := split(b, bundle)
		bundle.Accounts[i].Worth = worth
		head, err := Sign(Head{Version: 2, Chunks: Hashes(after), Author: "ann"}, testKey("ann"))
		if err != nil {
			b.Fatal(err)
		}
		data, err := EncodeHead(head)
		if err != nil {
			b.Fatal(err)
		}
		old, n := bodies(before), len(data)
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
