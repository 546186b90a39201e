package adopter

import "testing"

// BenchmarkSpread reports the messages of one change in a data centre of the
// planned size, 286 processes. The rounds and watches of the 8 s that it is given
// count, too.
func BenchmarkSpread(b *testing.B) {
	const processes = 286
	w := newWorld(b, 1, processes)
	for _, n := range w.nodes {
		n.self.Centre = "c0"
	}
	w.publish(1)
	for _, name := range w.names {
		w.start(name)
	}
	w.runUntil(w.now.Add(2 * inForce))
	w.asks, w.served = make(map[string]int), make(map[string]int)
	w.reads = 0
	version := uint64(1)
	for b.Loop() {
		version++
		w.publish(version)
		w.runUntil(w.now.Add(inForce))
		if late := w.laggards(version, 0); len(late) > 0 {
			b.Fatal(late)
		}
	}
	changes := float64(version - 1)
	b.ReportMetric(float64(sum(w.asks))/processes/changes, "questions/process/change")
	b.ReportMetric(float64(highest(w.served))/changes, "chunks-served-by-busiest/change")
	b.ReportMetric(float64(sum(w.served))/processes/changes, "chunks-served/process/change")
	b.ReportMetric(float64(w.reads)/changes, "platform-calls/change")
}

func sum(m map[string]int) int {
	total := 0
	for _, n := range m {
		total += n
	}
	return total
}

func highest(m map[string]int) int {
	most := 0
	for _, n := range m {
		most = max(most, n)
	}
	return most
}
