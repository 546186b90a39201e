// Package placer maps names to shards, and items such as shards to the instances that
// are responsible for them.
//
// Instances are chosen by rendezvous hashing: each instance has a weight for each
// item, and the instance with the highest weight is responsible. When an instance
// leaves, only the items that it was responsible for move.
//
// # Usage
//
//	shard := placer.Shard("budget-17", 64)
//	ranked := placer.Rank(placer.ShardKey(shard), instances)
//	responsible := ranked[0]
package placer

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Shard returns the shard of a name, from 0 to shards-1.
func Shard(name string, shards int) int {
	return int(xxhash.Sum64String(name) % uint64(shards))
}

// ShardKey returns the item name of a shard for [Rank] and [Owner].
func ShardKey(shard int) string { return fmt.Sprintf("shard/%d", shard) }

// Rank returns the instances in descending order of their weight for an item. The
// result does not depend on the order of instances.
func Rank(item string, instances []string) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	all := make([]weighted, len(instances))
	for i, name := range instances {
		all[i] = weighted{name, weight(item, name)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	ranked := make([]string, len(all))
	for i, w := range all {
		ranked[i] = w.name
	}
	return ranked
}

// Owner returns the instance responsible for an item, which is the first in the order
// of [Rank], or "" if there are no instances.
func Owner(item string, instances []string) string {
	best, bestWeight := "", uint64(0)
	for _, name := range instances {
		w := weight(item, name)
		if best == "" || w > bestWeight || w == bestWeight && name < best {
			best, bestWeight = name, w
		}
	}
	return best
}

func weight(item, instance string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(item)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(instance)
	return d.Sum64()
}
