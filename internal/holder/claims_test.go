package holder

import (
	"testing"
	"time"

	"daisylane/internal/wirepb"
)

func testClaim(digest string) *wirepb.Claim {
	return &wirepb.Claim{Account: "carer", Service: "booking", Key: "k1", Digest: []byte(digest)}
}

func testOutcome(state string) *wirepb.Conclude {
	return &wirepb.Conclude{Account: "carer", Service: "booking", Key: "k1", State: state, Status: 201, Payload: []byte("ok")}
}

// Guards against a second claim of the same key after its holder crashed, shut down
// gracefully, or was paused and resumed: the successor must know the earlier claim.
func TestClaimSurvivesHolder(t *testing.T) {
	tests := []struct {
		name     string
		conclude string // outcome recorded before the holder ends; empty if the call still runs
		graceful bool
		want     string
	}{
		{"running, crash", "", false, "unknown"},
		{"done, crash", "done", false, "done"},
		{"done, graceful shutdown", "done", true, "done"},
		{"not run, crash", "notrun", false, "new"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			a := f.startNode("a.1", "north")
			got, err := a.client.Claim(t.Context(), "r1", testClaim("d"), "north")
			if err != nil || got.GetState() != "new" {
				t.Fatalf("first claim: %v, %v", got, err)
			}
			got, err = a.client.Claim(t.Context(), "r2", testClaim("d"), "north")
			if err != nil || got.GetState() != "running" {
				t.Fatalf("second claim: %v, %v", got, err)
			}
			if tt.conclude != "" {
				if err := a.client.Conclude(t.Context(), "r1", testOutcome(tt.conclude), "north"); err != nil {
					t.Fatal(err)
				}
			}
			if tt.graceful {
				if err := a.holder.Stop(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			_ = a.server.Close()
			a.cancel()

			b := f.startNode("b.1", "north")
			f.eventually("successor answers", func() bool {
				got, err = b.client.Claim(t.Context(), "r3", testClaim("d"), "north")
				return err == nil
			})
			if got.GetState() != tt.want {
				t.Errorf("state = %s, want %s", got.GetState(), tt.want)
			}
			if tt.want == "done" && string(got.GetPayload()) != "ok" {
				t.Errorf("payload = %q, want the recorded outcome", got.GetPayload())
			}
			if _, err := a.holder.Claim(t.Context(), "r4", testClaim("d")); err == nil && !tt.graceful {
				select {
				case <-a.sealed:
				case <-time.After(10 * time.Second):
					t.Error("the former holder did not notice the seal")
				}
			}
		})
	}
}

// Guards against two claims for one key when routers in two regions, or with
// different home regions for the account, claim it.
func TestClaimFromTwoRegions(t *testing.T) {
	f := newFixture(t)
	a, b := f.startNode("a.1", "north"), f.startNode("b.1", "south")
	f.eventually("entries know each other", func() bool {
		return len(a.members.Entries("south", "")) == 1 && len(b.members.Entries("north", "")) == 1
	})
	got, err := b.client.Claim(t.Context(), "r1", testClaim("d"), "")
	if err != nil || got.GetState() != "new" {
		t.Fatalf("claim in the south: %v, %v", got, err)
	}
	for _, home := range []string{"", "north", "south"} {
		got, err = a.client.Claim(t.Context(), "r2", testClaim("d"), home)
		if err != nil || got.GetState() != "running" {
			t.Errorf("claim in the north with home %q: %v, %v, want running", home, got, err)
		}
	}
	got, err = a.client.Claim(t.Context(), "r3", testClaim("other"), "")
	if err != nil || got.GetState() != "mismatch" {
		t.Errorf("other call with the key: %v, %v, want mismatch", got, err)
	}
}
