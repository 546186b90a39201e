// Package registrar decides at which software version of its targets a stream may begin
// and go on.
//
// What two versions write does not fit together, and targets do not check it. So a stream
// goes on only at the version that began it, at any instance and after all of them have
// started again. Two kinds of records in the store make that known. A [Versions] record
// of each service lists the versions at which streams may have begun lately: a stream
// begins only at a version that is listed, and a version is taken off the list only long
// after its last target has left. While it lists one version, that is the origin of each
// stream. While it lists several, each instance notes the origins of its streams in a
// [Notes] record of its own. A stream whose origin is not known is not gone on with.
//
// The package does not read the clock and does no I/O. It answers two loads: releases
// under traffic, and callers who take up their streams elsewhere after instances have
// died.
//
// A target that has started again unnoticed may serve a version that is not listed. A stream
// that is sent to one whose version is uncertain has an unknown origin, which is noted also
// while one version is listed. The instances that were not told of it do not trust the list
// until targets have registered again after an outage of the store.
//
// # Usage
//
//	r := registrar.New()
//	r.SetServing(now, "pool", []string{"v1", "v1.1"})
//	for _, w := range r.Due(now) {
//		// write it on condition of w.Version, then call r.Written, r.Failed or r.Gone
//	}
//	r.Begin(now, "9c41", registrar.Origin{Service: "pool", Version: "v1"})
//	if notes, ok := r.NotesDue(now, interval); ok {
//		// write them, then call r.NotesWritten
//	}
//	origin, ok := r.Lookup("9c41")
package registrar

import (
	"slices"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/recorder"
)

const (
	// StaleTime is how long after its last contact with the store an instance may begin
	// streams at the versions that it knows.
	StaleTime = 45 * time.Second
	// minLifetime is the least time that a stream is expected to last, over all attempts of
	// its caller.
	minLifetime = 15 * time.Second
	// maxSpread spreads the writes of instances that learn of a version at the same time.
	maxSpread = time.Second
	// maxVersions limits the versions of a service.
	maxVersions = 64
	// maxNotes limits the notes of an instance, maxFound those of all others.
	maxNotes = 2048
	maxFound = 1 << 16
	// maxIDBytes limits the IDs that are noted.
	maxIDBytes = 128
	// urgentInterval is the least time between two writes of notes.
	urgentInterval = 50 * time.Millisecond
)

// unknownVersion is the version in a note of a stream whose version is not known. Earlier
// releases take it for a version that no longer serves, and do not go on with the stream.
const unknownVersion = "?"

// Origin is where a stream began.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"` // of the software of its targets
}

// UnknownOrigin returns the origin of a stream that began at a target of a service whose
// version is not known.
func UnknownOrigin(service string) Origin { return Origin{service, unknownVersion} }

// IsKnown reports whether the version is known.
func (o Origin) IsKnown() bool { return o.Version != unknownVersion }

// Versions lists the versions at which streams of a service may have begun lately. It is
// immutable.
type Versions struct {
	Service  string   `json:"service"`
	Versions []string `json:"versions"` // sorted
	Era      int64    `json:"era"`      // of the store, in which the list is complete
}

// Check validates the record.
func (v Versions) Check() error {
	var f checker.Validator
	f.Require(v.Service != "", "service", "is empty")
	checker.Range(&f, "versions", len(v.Versions), 0, maxVersions)
	f.Require(slices.IsSorted(v.Versions) && len(slices.Compact(slices.Clone(v.Versions))) == len(v.Versions), "versions", "is not sorted, or has a version twice")
	checker.Range(&f, "era", v.Era, 0, 1<<62)
	return f.Err()
}

// Name returns the name of the record.
func (v Versions) Name() string { return v.Service }

// Has reports whether a version is listed.
func (v Versions) Has(version string) bool { return slices.Contains(v.Versions, version) }

// Note is the origin of one stream.
type Note struct {
	ID string `json:"id"` // of the caller's attempt that brought its first event
	Origin
}

// Notes holds the origins of the streams of one instance.
type Notes struct {
	Streams []Note `json:"streams"`
}

// Check validates the notes.
func (n Notes) Check() error {
	var f checker.Validator
	checker.Range(&f, "streams", len(n.Streams), 0, maxNotes)
	for _, s := range n.Streams {
		f.Require(s.ID != "" && len(s.ID) <= maxIDBytes, "streams.id", "has %d bytes, allowed are 1 to %d", len(s.ID), maxIDBytes)
	}
	return f.Err()
}

// Write is a change of a stored list of versions.
type Write = recorder.Write[Versions]

// Stored is a stored list of versions with its version in the store.
type Stored = recorder.Stored[Versions]
