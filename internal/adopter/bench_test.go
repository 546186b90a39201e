package adopter

import "testing"

// BenchmarkSpread reports the messages that one bundle change causes in a data
// centre of the planned size, 286 processes. The figures include the periodic rounds
// and watches during the 8 s that each change is allowed.
func BenchmarkSpread(b *testing.B) {
	const processes = 286
	s := newSimulation(b, 1, processes)
	for _, n := range s.nodes {
		n.self.Centre = "c0"
	}
	s.publish(1)
	for _, name := range s.names {
		s.start(name)
	}
	s.runUntil(s.now.Add(2 * spreadLimit))
	s.noticesSent, s.chunksServed = make(map[string]int), make(map[string]int)
	s.platformCalls = 0
	version := uint64(1)
	for b.Loop() {
		version++
		s.publish(version)
		s.runUntil(s.now.Add(spreadLimit))
		if late := s.lateProcesses(version, 0); len(late) > 0 {
			b.Fatal(late)
		}
	}
	changes := float64(version - 1)
	b.ReportMetric(float64(sum(s.noticesSent))/processes/changes, "questions/process/change")
	b.ReportMetric(float64(largest(s.chunksServed))/changes, "chunks-served-by-busiest/change")
	b.ReportMetric(float64(sum(s.chunksServed))/processes/changes, "chunks-served/process/change")
	b.ReportMetric(float64(s.platformCalls)/changes, "platform-calls/change")
}

func sum(m map[string]int) int {
	total := 0
	for _, n := range m {
		total += n
	}
	return total
}

func largest(m map[string]int) int {
	most := 0
	for _, n := range m {
		most = max(most, n)
	}
	return most
}
