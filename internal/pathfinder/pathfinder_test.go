package pathfinder

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against an instance that stays cut off though a relay reaches the
// store, and against one that keeps to relays when the direct way is back.
func TestPick(t *testing.T) {
	tests := []struct {
		name  string
		play  func(*Paths)
		after time.Duration
		want  string
		limit time.Duration
	}{
		{"direct", func(*Paths) {}, 0, "store", quickLimit},
		{"direct failed", func(p *Paths) { p.Failed(start, "store") }, 0, "r1", quickLimit},
		{"first relay failed too", func(p *Paths) { p.Failed(start, "store"); p.Failed(start, "r1") }, 0, "r2", quickLimit},
		{"all failed", func(p *Paths) { p.Failed(start, "store"); p.Failed(start, "r1"); p.Failed(start, "r2") }, 0, "store", slowLimit},
		{"a relay is tried again", func(p *Paths) { p.Failed(start, "store"); p.Failed(start, "r1"); p.Failed(start, "r2") }, retryTime, "r1", quickLimit},
		{"direct is back", func(p *Paths) { p.Failed(start, "store"); p.Succeeded("store") }, 0, "store", quickLimit},
		{"the relay in use left the list", func(p *Paths) {
			p.Failed(start, "store")
			p.Pick(start)
			p.SetRelays([]string{"r2"})
		}, 0, "r2", quickLimit},
		{"no relays", func(p *Paths) { p.SetRelays(nil) }, 0, "store", slowLimit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New("store")
			p.SetRelays([]string{"r1", "r2"})
			tt.play(p)
			if addr, limit := p.Pick(start.Add(tt.after)); addr != tt.want || limit != tt.limit {
				t.Errorf("got %s within %v, want %s within %v", addr, limit, tt.want, tt.limit)
			}
		})
	}
}

// Guards against probes without need, which are priced, and against none at all.
func TestProbe(t *testing.T) {
	p := New("store")
	if _, due := p.Probe(start); due {
		t.Error("a working way is probed")
	}
	p.Failed(start, "store")
	if _, due := p.Probe(start); !due {
		t.Error("a failed way is not probed")
	}
	if _, due := p.Probe(start.Add(probeTime / 2)); due {
		t.Error("probes follow too soon")
	}
	if _, due := p.Probe(start.Add(probeTime)); !due {
		t.Error("a failed way is not probed again")
	}
}
