// Package journaler decides how an instance writes its journal and how another
// instance seals and replays it.
//
// The journal is a ring of slot objects. Each record is written by conditional
// update of its slot's known version, with at most one write in flight; entries
// that arrive meanwhile share the next record. A slot is overwritten only after
// its former record is folded for every shard in it. A response that is lost is
// resolved by reading the slot back.
//
// # Usage
//
//	j := journaler.New(journaler.Config{Writer: "entry-1.a", Slots: 64})
//	actions := j.Append(now, token, entry)
//	// carry out each Write and Read, and report with Written, Conflict,
//	// Uncertain, Failed or ReadBack; tokens in Durable are safe; Stop ends the
//	// instance's tenure of all shards
//	actions := j.Defer(token, entry) // an entry that can wait for the next record
//	actions = j.Tick(now) // at least once a second
//
// A successor lists the slots and seals the journal:
//
//	log, err := journaler.Replay("entry-1.a", 64, slots)
//	if !log.Sealed {
//		write := log.Seal("entry-2.b") // on conflict list again
//	}
package journaler

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/checker"
)

// Kinds of entries. Other packages add their own; the journal only interprets
// KindSeal.
const (
	KindMark   = "mark"
	KindCharge = "charge"
	KindClaim  = "claim"
	KindSeal   = "seal"
)

// Defaults of [Config].
const (
	defaultSlots       = 64
	heartbeatInterval  = 5 * time.Second
	flushInterval      = 5 * time.Second
	maxRecordBytes     = 512 << 10
	foldThreshold      = 0.75
	entryOverheadBytes = 48
)

// Errors of replay.
var (
	ErrGap    = errors.New("records are missing in the listing, list the journal again")
	ErrWriter = errors.New("a slot holds the record of another journal")
)

// Token identifies an append in [Durable].
type Token uint64

// Entry is one item of a record. Shard is part of the entry so that the journal
// knows when a record is folded.
type Entry struct {
	Kind  string          `json:"kind"`
	Shard int             `json:"shard"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// Record is the content of a slot. Writer is the instance that wrote it: the
// owner, or the successor in a sealing record.
type Record struct {
	Writer  string  `json:"writer"`
	Seq     uint64  `json:"seq"`
	Entries []Entry `json:"entries,omitempty"`
}

// Check validates a record.
func (r Record) Check() error {
	var f checker.Faults
	f.Require(r.Writer != "", "writer", "must not be empty")
	f.Require(r.Seq > 0, "seq", "must be positive")
	for i, e := range r.Entries {
		f.Require(e.Kind != "", fmt.Sprintf("entries.%d.kind", i), "must not be empty")
		f.Require(e.Shard >= 0, fmt.Sprintf("entries.%d.shard", i), "must not be negative")
	}
	return f.Err()
}

// Seals reports whether the record ends the journal.
func (r Record) Seals() bool {
	return len(r.Entries) == 1 && r.Entries[0].Kind == KindSeal
}

// Slot is a slot object as read from the platform. Version 0 means absent.
type Slot struct {
	Key     string
	Version uint64
	Record  Record
}

// Config sets up a journal. Zero fields take defaults.
type Config struct {
	Writer    string
	Slots     int
	Heartbeat time.Duration
	Flush     time.Duration // longest time that deferred entries wait for a record
}

// Prefix returns the key prefix of an instance's slots.
func Prefix(instance string) string { return "journal/" + instance + "/" }

// Key returns the key of the slot of a sequence number.
func Key(instance string, seq uint64, slots int) string {
	return fmt.Sprintf("%s%d", Prefix(instance), (seq-1)%uint64(slots))
}

// Owner returns the instance of a slot key.
func Owner(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, "journal/")
	i := strings.LastIndexByte(rest, '/')
	if !ok || i < 0 {
		return "", false
	}
	return rest[:i], true
}

// Action is one of [Write], [Read], [Durable] and [Stop].
type Action interface{ action() }

// Write asks for a conditional update of a slot; version 0 creates it.
type Write struct {
	Key     string
	Version uint64
	Body    []byte
}

// Read asks for a slot, to be reported with ReadBack.
type Read struct{ Key string }

// Durable says that the appends are safe, in the record with the given number.
type Durable struct {
	Seq    uint64
	Tokens []Token
}

// Stop says that the journal is sealed or belongs to another process: the
// instance must stop holding. Sealer is empty if it is not known.
type Stop struct{ Sealer string }

func (Write) action()   {}
func (Read) action()    {}
func (Durable) action() {}
func (Stop) action()    {}

// Journal is the state of one instance's own journal.
type Journal struct {
	cfg      Config
	seq      uint64           // last durable record
	versions []uint64         // known version by slot
	unfolded []map[int]uint64 // by slot: shards of its record that are not folded
	folded   map[int]uint64   // by shard
	pending  []pendingEntry
	flight   *flight
	written  time.Time // last durable record
	wanted   bool      // a record is due, even an empty one
	urgent   bool      // an entry waits that is not deferred
	deferred int       // bytes of pending entries
	stopped  bool
}

type pendingEntry struct {
	token   Token
	entries []Entry
}

// flight is the record being written. Its bytes stay the same over repetitions.
type flight struct {
	write  Write
	tokens []Token
	shards map[int]uint64
	retry  Action // repeated at the next tick, nil while an answer is awaited
	seals  bool
}

// Log is a replayed journal.
type Log struct {
	Instance string
	Records  []Record // in order of seq, without the sealing record
	Sealed   bool
	Sealer   string
	Last     uint64 // number of the last record that is no seal
	slots    int
	version  uint64 // of the slot after the last record
}
