package quarantiner

import (
	"maps"
	"time"
)

// Preview returns what [Monitor.Judge] would, and restores what it changes.
func (m *Monitor) Preview(now time.Time, s Subject) Verdict {
	defer m.save(s.Fingerprints())()
	return m.Judge(now, s)
}

// save returns a function that restores what a check of some fingerprints changes: the
// positions of parts, and what is in quarantine.
func (c *Crashes) save(ids []Fingerprint) func() {
	quarantined, judgedAt, depths := maps.Clone(c.quarantined), c.judgedAt, make(map[*suspicion]int)
	for _, id := range ids {
		if s, ok := c.suspicions[id]; ok {
			depths[s] = s.depth
		}
	}
	return func() {
		c.quarantined, c.judgedAt = quarantined, judgedAt
		for s, depth := range depths {
			s.depth = depth
		}
	}
}
