package restrictor

import (
	"strings"
	"testing"
	"time"
)

// Guards against an evacuation that ends because an older copy of the store lacks it, one that
// goes on after it was withdrawn or for good after a restore, and one that counts as known
// before the first list.
func TestEvacuations(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name   string
		change func(*Evacuations)
		want   string
	}{
		{"listed", func(*Evacuations) {}, "a"},
		{"begun", func(e *Evacuations) { e.Add(now, "b") }, "a b"},
		{"withdrawn", func(e *Evacuations) { e.Remove("a") }, ""},
		{"missing from the next list", func(e *Evacuations) { e.SetList(now, []string{"b"}) }, "b"},
		{"missing after a restore", func(e *Evacuations) { e.RecordRestore(now); e.SetList(now, nil) }, "a"},
		{"missing after a restore, listed again", func(e *Evacuations) {
			e.RecordRestore(now)
			e.SetList(now, nil)
			e.Add(now, "a")
			e.Expire(now.Add(restoreGrace))
		}, "a"},
		{"missing for long after a restore", func(e *Evacuations) {
			e.RecordRestore(now)
			e.SetList(now, nil)
			e.Expire(now.Add(restoreGrace))
		}, ""},
		{"withdrawn after a restore", func(e *Evacuations) { e.RecordRestore(now); e.SetList(now, []string{"a"}); e.Remove("a") }, ""},
		{"missing from a list long after a restore", func(e *Evacuations) {
			e.RecordRestore(now)
			e.SetList(now, []string{"a"})
			e.SetList(now.Add(restoreGrace), nil)
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := NewEvacuations()
			if e.Listed() {
				t.Error("known before the first list")
			}
			e.SetList(now.Add(-time.Minute), []string{"a"})
			tt.change(e)
			if got := strings.Join(e.Centres(), " "); got != tt.want || !e.Listed() {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
