package operator

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"daisylane/internal/allotter"
	"daisylane/internal/checker"
	"daisylane/internal/placer"
	"daisylane/internal/storer"
)

// readShard reads a shard object. If it does not exist, the shard is empty.
func readShard(ctx context.Context, p platformClient, number int) (allotter.Shard, uint64, error) {
	item, err := p.Get(ctx, shardKey(number))
	if errors.Is(err, storer.ErrAbsent) {
		return allotter.New(number), 0, nil
	}
	if err != nil {
		return allotter.Shard{}, 0, fmt.Errorf("read shard %d: %w", number, err)
	}
	shard, err := checker.Decode[allotter.Shard](item.Body)
	if err != nil {
		return allotter.Shard{}, 0, fmt.Errorf("read shard %d: %w", number, err)
	}
	return shard, item.Version, nil
}

func shardKey(number int) string { return "shard/" + strconv.Itoa(number) }

func shardOf(cfg Settings, budget string) int { return placer.Shard(budget, cfg.Shards) }
