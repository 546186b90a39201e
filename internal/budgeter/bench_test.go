package budgeter

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/journaler"
)

// desk drives holders against shard objects without faults, except an outage.
type desk struct {
	object  allotter.Shard
	down    map[int]bool // holders that reach neither the platform nor the others
	now     time.Time
	holders []*Holder
	seqs    []uint64
	bytes   int // of journal entries
	records int
	granted map[Token]Reservation
	refused map[Token]bool
	token   Token
}

func newDesk(topped int64, instances []string, regions []string, ahead float64) *desk {
	d := &desk{down: make(map[int]bool), now: time.Unix(1e6, 0), granted: make(map[Token]Reservation), refused: make(map[Token]bool)}
	d.object, _ = allotter.New(0).WithTopUp("b", "t", topped, 1e6, 1e6)
	for i, name := range instances {
		h := New(Config{Instance: name, Region: regions[i], Regions: len(instances), Ahead: ahead})
		d.holders, d.seqs = append(d.holders, h), append(d.seqs, 0)
		d.run(i, h.Hold(0))
	}
	return d
}

func (d *desk) run(i int, actions []Action) {
	h := d.holders[i]
	for _, a := range actions {
		switch a := a.(type) {
		case Granted:
			d.granted[a.Token] = a.Reservation
		case Refused:
			d.refused[a.Token] = true
		case Append:
			if d.down[i] {
				continue
			}
			d.seqs[i]++
			body, _ := json.Marshal(journaler.Record{Writer: "entry-1.0123456789abcdef", Seq: d.seqs[i], Entries: a.Entries})
			d.bytes, d.records = d.bytes+len(body), d.records+1
			d.run(i, h.Durable(d.now, d.seqs[i], []journaler.Token{a.Token}))
		case Update:
			if d.down[i] {
				d.run(i, h.Failed(d.now, a.Shard))
				continue
			}
			d.object, _ = h.Propose(d.now, a.Shard, d.object)
			d.run(i, h.Stored(d.now, a.Shard))
		case Ask:
			for j := range d.holders {
				if j != i && !d.down[i] && !d.down[j] {
					d.token++
					d.run(j, d.holders[j].Return(d.now, d.token, a.Shard, a.Budget, a.Tokens))
				}
			}
			d.run(i, h.Asked(a.Shard, a.Budget))
		}
	}
}

func (d *desk) cutOff(i int) {
	d.down[i] = true
	d.run(i, d.holders[i].Platform(d.now, false))
}

// request reserves and settles, and reports whether it was served.
func (d *desk) request(i int, tokens, actual int64) bool {
	d.token++
	t := d.token
	d.run(i, d.holders[i].Reserve(d.now, t, Request{Budget: "b", Tokens: tokens}))
	r, ok := d.granted[t]
	if !ok {
		return false
	}
	delete(d.granted, t)
	d.run(i, d.holders[i].Settle(d.now, t, Charge{Reservation: r, Tokens: actual}))
	return true
}

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
				bud := s.Budgets[name]
				bud.Keys = make(map[string]int64)
				for k := range keys / 225 {
					bud.Keys[fmt.Sprintf("%016x", k)] = 1e9
				}
				s.Budgets[name] = bud
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

// BenchmarkPolicies compares false refusals while 80% of an hour's demand moves
// between two regions, until a budget of 1,000 requests is spent.
func BenchmarkPolicies(b *testing.B) {
	const budget, size, routers = 100_000, 100, 20
	pick := func(i int) int { // 80/20, turned around after 750 requests
		hot := 0
		if i > 750 {
			hot = 1
		}
		if i%5 == 4 {
			return 1 - hot
		}
		return hot
	}
	report := func(b *testing.B, serve func(i int) bool) {
		served, refused := 0, 0
		for i := range 1100 {
			switch {
			case serve(i):
				served++
			case served < budget/size:
				refused++
			}
		}
		b.ReportMetric(float64(refused), "false-refusals")
		b.ReportMetric(float64(served), "served")
	}
	b.Run("holder", func(b *testing.B) {
		for range b.N {
			d := newDesk(budget, []string{"a", "b"}, []string{"eu", "us"}, 1)
			report(b, func(i int) bool { return d.request(pick(i), size, size) })
		}
	})
	b.Run("holder, region cut off", func(b *testing.B) {
		for range b.N {
			d := newDesk(budget, []string{"a", "b"}, []string{"eu", "us"}, 1)
			report(b, func(i int) bool {
				if i == 200 {
					d.cutOff(1)
				}
				return d.request(pick(i), size, size)
			})
		}
	})
	static := func(parts int) func(b *testing.B) {
		return func(b *testing.B) {
			for range b.N {
				left := make([]int, parts)
				for i := range left {
					left[i] = budget / parts
				}
				report(b, func(i int) bool {
					p := pick(i) * parts / 2
					p += (i * 7 % 13) % (parts / 2)
					if left[p] < size {
						return false
					}
					left[p] -= size
					return true
				})
			}
		}
	}
	b.Run("router", static(routers))
	b.Run("even", static(2))
}

// BenchmarkAhead gives the curve of the setting ahead: tokens withheld by a crash
// against false refusals in a 10 minute outage that uses half of a full budget.
func BenchmarkAhead(b *testing.B) {
	for _, ahead := range []float64{0.1, 0.25, 0.5, 0.75, 1} {
		b.Run(fmt.Sprintf("ahead=%.2f", ahead), func(b *testing.B) {
			for range b.N {
				d := newDesk(1_000_000, []string{"a", "b"}, []string{"eu", "us"}, ahead)
				m := d.holders[0].Amounts(0, "b")
				d.cutOff(0)
				d.cutOff(1)
				refused := 0
				for i := range 1000 {
					d.now = d.now.Add(600 * time.Millisecond)
					if !d.request(i%2, 500, 500) {
						refused++
					}
				}
				b.ReportMetric(float64(m.Marked-m.Charged), "withheld")
				b.ReportMetric(float64(refused), "false-refusals/1000")
			}
		})
	}
}
