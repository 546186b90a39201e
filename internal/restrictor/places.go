// Package restrictor says in which regions and data centres a request may be served.
//
// # Usage
//
//	places := restrictor.Places{}.WithRegions(route.AllowedRegions).WithRegions(account.AllowedRegions)
//	if places.Allows(regions[target.Centre]) {
//		...
//	}
//
// It is designed for some ten regions and data centres, and for a new value with each
// request.
package restrictor

import (
	"slices"
	"strings"
)

// Places is an immutable set of regions in which a request may be served. The zero value
// is any region.
type Places struct {
	restricted bool
	regions    []string // sorted; meaningful if restricted
}

// WithRegions returns the places that are also in one of the given regions. An empty list
// imposes no restriction.
func (p Places) WithRegions(regions []string) Places {
	if len(regions) == 0 {
		return p
	}
	allowed := make([]string, 0, len(regions))
	for _, r := range regions {
		// A data centre that the settings don't know is in the region "".
		if r != "" && (!p.restricted || slices.Contains(p.regions, r)) {
			allowed = append(allowed, r)
		}
	}
	slices.Sort(allowed)
	return Places{restricted: true, regions: slices.Compact(allowed)}
}

// Allows reports whether a region belongs to the places.
func (p Places) Allows(region string) bool {
	return !p.restricted || slices.Contains(p.regions, region)
}

// Restricted reports whether the places are not just any region.
func (p Places) Restricted() bool { return p.restricted }

// Regions returns the regions of restricted places, sorted. The caller must not modify the
// slice.
func (p Places) Regions() []string { return p.regions }

// Key returns a string that is equal for equal places, "" for any region.
func (p Places) Key() string {
	if !p.restricted {
		return ""
	}
	return "\x00" + strings.Join(p.regions, "\x00")
}
