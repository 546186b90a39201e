package pathfinder

import (
	"testing"
	"time"
)

var startTime = time.Unix(1000, 0)

// Guards against an instance that cannot call the store although a relay can, and
// against one that keeps using relays after direct calls work again.
func TestSelectAddr(t *testing.T) {
	tests := []struct {
		name  string
		setup func(*Paths)
		after time.Duration
		want  string
		limit time.Duration
	}{
		{"direct", func(*Paths) {}, 0, "store", shortTimeout},
		{"direct failed", func(p *Paths) { p.RecordFailure(startTime, "store") }, 0, "r1", shortTimeout},
		{"first relay failed too", func(p *Paths) { p.RecordFailure(startTime, "store"); p.RecordFailure(startTime, "r1") }, 0, "r2", shortTimeout},
		{"all failed", func(p *Paths) {
			p.RecordFailure(startTime, "store")
			p.RecordFailure(startTime, "r1")
			p.RecordFailure(startTime, "r2")
		}, 0, "store", longTimeout},
		{"all failed, a relay responded last", func(p *Paths) {
			p.RecordFailure(startTime, "store")
			p.RecordSuccess("r2")
			p.RecordFailure(startTime, "r1")
			p.RecordFailure(startTime, "r2")
		}, 0, "r2", shortTimeout},
		{"all failed, none has responded, a relay failed first", func(p *Paths) {
			p.RecordFailure(startTime, "r2")
			p.RecordFailure(startTime.Add(time.Millisecond), "store")
			p.RecordFailure(startTime.Add(time.Millisecond), "r1")
		}, time.Second, "r2", shortTimeout},
		{"a relay is tried again", func(p *Paths) {
			p.RecordFailure(startTime, "store")
			p.RecordFailure(startTime, "r1")
			p.RecordFailure(startTime, "r2")
		}, relayRetryDelay, "r1", shortTimeout},
		{"direct calls work again", func(p *Paths) { p.RecordFailure(startTime, "store"); p.RecordSuccess("store") }, 0, "store", shortTimeout},
		{"the relay in use left the list", func(p *Paths) {
			p.RecordFailure(startTime, "store")
			p.SelectAddr(startTime)
			p.SetRelays([]string{"r2"})
		}, 0, "r2", shortTimeout},
		{"no relays", func(p *Paths) { p.SetRelays(nil) }, 0, "store", longTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New("store")
			p.SetRelays([]string{"r1", "r2"})
			tt.setup(p)
			if addr, limit := p.SelectAddr(startTime.Add(tt.after)); addr != tt.want || limit != tt.limit {
				t.Errorf("got %s within %v, want %s within %v", addr, limit, tt.want, tt.limit)
			}
		})
	}
}

// Guards against needless probes, since calls to the store are charged, and against
// never probing, which would keep the instance on relays.
func TestProbe(t *testing.T) {
	p := New("store")
	if _, due := p.StartProbe(startTime); due {
		t.Error("probe is due although direct calls work")
	}
	p.RecordFailure(startTime, "store")
	if _, due := p.StartProbe(startTime); !due {
		t.Error("no probe is due after a failed direct call")
	}
	if _, due := p.StartProbe(startTime.Add(probeInterval / 2)); due {
		t.Error("second probe is due before the probe interval has passed")
	}
	if _, due := p.StartProbe(startTime.Add(probeInterval)); !due {
		t.Error("no second probe is due after the probe interval")
	}
	if _, due := p.StartProbe(startTime.Add(2 * probeInterval)); due {
		t.Error("a third probe is due as early as the second one")
	}
	if _, due := p.StartProbe(startTime.Add(3 * probeInterval)); !due {
		t.Error("no third probe is due after twice the probe interval")
	}
}

// Guards against calls that are charged although nothing answers, against an instance that
// tries relays more slowly than each of them takes to fail, and against calls that wait
// although the store answers.
func TestAdmit(t *testing.T) {
	failDirect := func(p *Paths) { p.RecordFailure(startTime, "store") }
	failBoth := func(p *Paths) { failDirect(p); p.RecordFailure(startTime, "r1") }
	failAll := func(p *Paths) { failBoth(p); p.RecordFailure(startTime, "r2") }
	try := func(p *Paths) { p.Admit(startTime) }
	tests := []struct {
		name  string
		steps []func(*Paths)
		after time.Duration
		want  time.Duration
		tried bool
	}{
		{"no failure", nil, 0, 0, false},
		{"only the direct call failed", []func(*Paths){failDirect, try}, 0, 0, false},
		{"first call after a relay failed too", []func(*Paths){failBoth}, 0, 0, true},
		{"second call meanwhile", []func(*Paths){failBoth, try}, tryInterval / 4, tryInterval * 3 / 4, false},
		{"second call, the first takes long", []func(*Paths){failBoth, try}, tryInterval, 0, true},
		{"the first has failed, a relay is left", []func(*Paths){failBoth, try, (*Paths).Tried}, 0, 0, true},
		{"the first has failed, no relay is left", []func(*Paths){failAll, try, (*Paths).Tried}, 0, tryInterval, false},
		{"no relays", []func(*Paths){func(p *Paths) { p.SetRelays(nil) }, failDirect, try, (*Paths).Tried}, 0, tryInterval, false},
		{"a relay has answered", []func(*Paths){failAll, try, func(p *Paths) { p.RecordSuccess("r2") }}, 0, 0, false},
		{"a relay can be tried again", []func(*Paths){failAll, try, (*Paths).Tried}, relayRetryDelay, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New("store")
			p.SetRelays([]string{"r1", "r2"})
			for _, step := range tt.steps {
				step(p)
			}
			if wait, tried := p.Admit(startTime.Add(tt.after)); wait != tt.want || tried != tt.tried {
				t.Errorf("got %v, %v, want %v, %v", wait, tried, tt.want, tt.tried)
			}
		})
	}
}
