package journaler

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"
)

// Load of one node at the planned size: 5,200 requests/s over 320 nodes, 1% of
// them claims.
const (
	plannedCharges = 5200.0 / 320
	plannedClaims  = plannedCharges / 100
)

// BenchmarkPlannedNode runs the journal of one node for an hour of virtual time at
// the planned load and counts its writes and bytes. A write takes 5 ms.
func BenchmarkPlannedNode(b *testing.B) {
	const step, hour = 10 * time.Millisecond, time.Hour
	charge := Entry{Kind: KindCharge, Shard: 512, Data: json.RawMessage(
		`{"budget":"budget-123456","holder":"entry-123.abcdefghij","number":1048576,"tokens":900}`)}
	claim := Entry{Kind: KindClaim, Shard: 1<<20 + 512, Data: json.RawMessage(
		`{"shard":512,"account":"account-12345","service":"booking","key":"00112233445566778899aabbccddeeff","digest":"AAECAwQFBgc=","state":"running","request":"oqabru52qfjthk3hggutkaymdo","holder":"entry-123.abcdefghij","revision":1,"time":"2026-01-02T03:04:05Z"}`)}
	for _, way := range []struct {
		name string
		lazy bool
	}{{"deferred", true}, {"immediate", false}} {
		b.Run(way.name, func(b *testing.B) {
			var writes, bytes int
			for b.Loop() {
				writes, bytes = 0, 0
				rnd := rand.New(rand.NewPCG(1, 2))
				now := time.Unix(1_700_000_000, 0)
				j := New(Config{Writer: "entry-123.abcdefghij"})
				var token Token
				var version uint64
				run := func(actions []Action) {
					for len(actions) > 0 {
						a := actions[0]
						actions = actions[1:]
						if w, ok := a.(Write); ok {
							writes++
							bytes += len(w.Body)
							version++
							actions = append(actions, j.Written(now, version)...)
						}
					}
				}
				for at := time.Duration(0); at < hour; at += step {
					now = now.Add(step)
					for _, e := range []struct {
						entry Entry
						rate  float64
						lazy  bool
					}{{charge, plannedCharges, way.lazy}, {claim, 2 * plannedClaims, false}} {
						if rnd.Float64() >= e.rate*step.Seconds() {
							continue
						}
						token++
						if e.lazy {
							run(j.Defer(token, e.entry))
						} else {
							run(j.Append(token, e.entry))
						}
					}
					run(j.Tick(now))
					j.Folded(512, j.Seq())
					j.Folded(1<<20+512, j.Seq())
				}
			}
			b.ReportMetric(float64(writes)/hour.Seconds(), "writes/s")
			b.ReportMetric(float64(writes)/hour.Seconds()*320, "fleet-writes/s")
			b.ReportMetric(float64(bytes)/hour.Seconds(), "journal-B/s")
		})
	}
}
