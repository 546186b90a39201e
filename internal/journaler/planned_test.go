package journaler

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"
)

// Load of one node at the planned fleet size: 5,200 requests/s over 320 nodes, 1% of
// them with claims.
const (
	plannedNodes   = 320
	chargesPerNode = 5200.0 / plannedNodes
	claimsPerNode  = chargesPerNode / 100

	// maxFleetWrites is the limit of the fleet's platform writes per second.
	// otherFleetWrites is the part of it that is used by folds of 1,024 shards in two
	// regions and of their claims every 5 minutes, hand-overs and bundles.
	maxFleetWrites   = 150.0
	otherFleetWrites = 1024*3/300.0 + 0.7
)

// simulatePlannedNode runs the journal of one node at the planned load in virtual time.
// It returns the writes and the written bytes per second.
func simulatePlannedNode(length time.Duration, deferred bool) (writes, bytes float64) {
	const step = 10 * time.Millisecond
	charge := Entry{Kind: KindCharge, Shard: 512, Data: json.RawMessage(
		`{"budget":"budget-123456","holder":"entry-123.abcdefghij","number":1048576,"tokens":900}`)}
	claim := Entry{Kind: KindClaim, Shard: 1<<20 + 512, Data: json.RawMessage(
		`{"shard":512,"account":"account-12345","service":"booking","key":"00112233445566778899aabbccddeeff","digest":"AAECAwQFBgc=","state":"running","request":"oqabru52qfjthk3hggutkaymdo","holder":"entry-123.abcdefghij","revision":1,"time":"2026-01-02T03:04:05Z"}`)}
	rnd := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_700_000_000, 0)
	j := New(Config{Writer: "entry-123.abcdefghij"})
	var token Token
	var version uint64
	run := func(actions []Action) {
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			if w, ok := a.(WriteSlot); ok {
				writes++
				bytes += float64(len(w.Body))
				version++
				actions = append(actions, j.WriteSucceeded(now, version)...)
			}
		}
	}
	for at := time.Duration(0); at < length; at += step {
		now = now.Add(step)
		if rnd.Float64() < chargesPerNode*step.Seconds() {
			token++
			if deferred {
				run(j.AppendDeferred(token, charge))
			} else {
				run(j.Append(token, charge))
			}
		}
		// A claim has two entries: one when it is made and one for its outcome.
		if rnd.Float64() < 2*claimsPerNode*step.Seconds() {
			token++
			run(j.Append(token, claim))
		}
		run(j.Tick(now))
		j.Folded(charge.Shard, j.Seq())
		j.Folded(claim.Shard, j.Seq())
	}
	return writes / length.Seconds(), bytes / length.Seconds()
}

// Guards against exceeding the fleet's limit of platform writes at the planned size,
// as happens if the writes grow with the requests instead of the instances.
func TestPlannedWrites(t *testing.T) {
	writes, _ := simulatePlannedNode(time.Hour, true)
	if fleet := writes*plannedNodes + otherFleetWrites; fleet > maxFleetWrites {
		t.Errorf("%.1f writes/s at the planned size, want at most %.0f", fleet, maxFleetWrites)
	}
}

// BenchmarkPlannedNode reports the writes and bytes of a node, with deferred charges
// and with a write for each charge.
func BenchmarkPlannedNode(b *testing.B) {
	for _, mode := range []struct {
		name     string
		deferred bool
	}{{"deferred", true}, {"immediate", false}} {
		b.Run(mode.name, func(b *testing.B) {
			for b.Loop() {
				writes, bytes := simulatePlannedNode(time.Hour, mode.deferred)
				b.ReportMetric(writes, "writes/s")
				b.ReportMetric(writes*plannedNodes, "fleet-writes/s")
				b.ReportMetric(bytes, "journal-B/s")
			}
		})
	}
}
