package placer

import (
	"fmt"
	"slices"
	"testing"
)

func instances(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("entry-%d", i)
	}
	return list
}

// Guards against items that move between remaining instances when another instance
// leaves, and against an Owner that differs from the first instance of Rank.
func TestRankMovesOnlyItemsOfLostInstance(t *testing.T) {
	all := instances(10)
	rest := slices.Delete(slices.Clone(all), 3, 4)
	for shard := range 1024 {
		before := Owner(ShardKey(shard), all)
		after := Owner(ShardKey(shard), rest)
		if before != "entry-3" && before != after {
			t.Fatalf("shard %d moved from %s to %s", shard, before, after)
		}
		if ranked := Rank(ShardKey(shard), all); ranked[0] != before {
			t.Fatalf("Rank = %s, First = %s", ranked[0], before)
		}
	}
}

// Guards against an uneven distribution, in which one instance is responsible for
// more than twice its share of the shards.
func TestEvenDistribution(t *testing.T) {
	counts := make(map[string]int)
	for shard := range 1024 {
		counts[Owner(ShardKey(shard), instances(10))]++
	}
	for name, n := range counts {
		if n > 2*1024/10 {
			t.Errorf("%s has %d of 1024 shards", name, n)
		}
	}
}
