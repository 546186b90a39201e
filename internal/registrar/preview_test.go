package registrar

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a question that makes the versions of a service due, and so causes a write,
// or that adds a service.
func TestPreviewMakesNothingDue(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(now)
	r.SetServing(now, "pool", []string{"v1"})
	before := fmt.Sprint(*r.services["pool"], len(r.services))
	for name, want := range map[string]bool{"pool": true, "none": false} {
		if versions, unlisted := r.Preview(now, name); len(versions) > 0 || unlisted != want {
			t.Errorf("%s: versions %v, unlisted %t", name, versions, unlisted)
		}
	}
	if after := fmt.Sprint(*r.services["pool"], len(r.services)); after != before {
		t.Errorf("state was %s, is %s", before, after)
	}
	if !r.Hasten(now, "pool") || fmt.Sprint(*r.services["pool"], len(r.services)) == before {
		t.Error("the versions are not due even if a stream needs them")
	}
}
