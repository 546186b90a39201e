// Package journaler is the state machine of an instance's write-ahead journal in the
// platform, and of its sealing and replay by another instance.
//
// The journal is a ring buffer of slot objects. A record is written by a conditional
// write on the last known version of its slot, with at most one write in flight;
// entries that arrive during a write share the next record (group commit). A slot is
// overwritten only after its previous record has been folded into the objects of all its
// shards. If the response to a write is lost, the slot is read back.
//
// # Usage
//
//	j := journaler.New(journaler.Config{Writer: "entry-1.a", Slots: 64})
//	actions := j.Append(token, entry)
//	// perform each WriteSlot and ReadSlot, and report its result with WriteSucceeded,
//	// WriteConflicted, WriteUncertain, ActionFailed or SlotRead; the entries of the
//	// tokens in Durable are durable; after Ended the instance must give up all shards
//	actions = j.AppendDeferred(token, entry) // an entry that can wait for the next record
//	actions = j.Tick(now) // at least once a second
//
// A successor lists the slots and seals the journal:
//
//	log, err := journaler.Replay("entry-1.a", 64, slots)
//	if !log.Sealed {
//		write := log.SealWrite("entry-2.b") // after a conflict, list the journal again
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

// Kinds of entries. Other packages can add more; the journal only interprets KindSeal.
const (
	KindMark   = "mark"
	KindCharge = "charge"
	KindClaim  = "claim"
	KindSeal   = "seal"
)

// Defaults of [Config], and limits.
const (
	defaultSlots      = 64
	heartbeatInterval = 5 * time.Second
	flushInterval     = 5 * time.Second
	maxRecordBytes    = 512 << 10
	// foldThreshold is the fraction of unfolded slots at which a fold is due.
	foldThreshold = 0.75
	// entryOverheadBytes is the estimated size of an encoded entry without its data.
	entryOverheadBytes = 48
)

// Errors of replay.
var (
	ErrGap    = errors.New("records are missing in the listing, list the journal again")
	ErrWriter = errors.New("a slot holds the record of another journal")
)

// Token identifies an append in [Durable].
type Token uint64

// Entry is one item of a record. The journal uses Shard to determine when a record is
// folded.
type Entry struct {
	Kind  string          `json:"kind"`
	Shard int             `json:"shard"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// Record is the content of a slot. Writer is the instance that wrote it: the owner of
// the journal or, for a sealing record, possibly a successor.
type Record struct {
	Writer  string  `json:"writer"`
	Seq     uint64  `json:"seq"`
	Entries []Entry `json:"entries,omitempty"`
}

// Check validates a record.
func (r Record) Check() error {
	var f checker.Validator
	f.Require(r.Writer != "", "writer", "must not be empty")
	f.Require(r.Seq > 0, "seq", "must be positive")
	for i, e := range r.Entries {
		f.Require(e.Kind != "", fmt.Sprintf("entries.%d.kind", i), "must not be empty")
		f.Require(e.Shard >= 0, fmt.Sprintf("entries.%d.shard", i), "must not be negative")
	}
	return f.Err()
}

// IsSeal reports whether the record is a sealing record, which ends the journal.
func (r Record) IsSeal() bool {
	return len(r.Entries) == 1 && r.Entries[0].Kind == KindSeal
}

// Slot is a slot object as read from the platform. Version 0 means that it is absent.
type Slot struct {
	Key     string
	Version uint64
	Record  Record
}

// Config configures a journal. Zero fields take defaults.
type Config struct {
	Writer            string
	Slots             int
	HeartbeatInterval time.Duration
	FlushInterval     time.Duration // longest time until deferred entries are written
}

// SlotPrefix returns the key prefix of an instance's slots.
func SlotPrefix(instance string) string { return "journal/" + instance + "/" }

// SlotKey returns the key of the slot for the record with a sequence number.
func SlotKey(instance string, seq uint64, slots int) string {
	return fmt.Sprintf("%s%d", SlotPrefix(instance), (seq-1)%uint64(slots))
}

// SlotOwner returns the instance whose journal a slot key belongs to.
func SlotOwner(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, "journal/")
	i := strings.LastIndexByte(rest, '/')
	if !ok || i < 0 {
		return "", false
	}
	return rest[:i], true
}

// Action is one of [WriteSlot], [ReadSlot], [Durable] and [Ended].
type Action interface{ action() }

// WriteSlot requests a conditional write of a slot. Version 0 creates it.
type WriteSlot struct {
	Key     string
	Version uint64
	Body    []byte
}

// ReadSlot requests the content of a slot. The caller reports it with SlotRead.
type ReadSlot struct{ Key string }

// Durable reports that the appends with these tokens are durable in record Seq.
type Durable struct {
	Seq    uint64
	Tokens []Token
}

// Ended reports that the journal is sealed or belongs to another process, so that the
// instance must give up its shards. Sealer is empty if it is not known.
type Ended struct{ Sealer string }

func (WriteSlot) action() {}
func (ReadSlot) action()  {}
func (Durable) action()   {}
func (Ended) action()     {}

// Journal is the state of an instance's own journal.
type Journal struct {
	cfg            Config
	seq            uint64           // last durable record
	versions       []uint64         // known version by slot
	unfoldedBySlot []map[int]uint64 // by slot: unfolded shards of its record, with the record's number
	foldedSeq      map[int]uint64   // by shard: number of the last folded record
	pending        []pendingEntry
	inFlight       *inFlightRecord
	lastWritten    time.Time // time of the last durable record
	recordDue      bool      // flush or heartbeat is due: write a record, even if empty
	writeNow       bool      // write the pending entries without waiting for the flush interval
	pendingBytes   int       // estimated size of the pending entries
	stopped        bool
}

type pendingEntry struct {
	token   Token
	entries []Entry
}

// inFlightRecord is the record being written. A retried write has the same bytes.
type inFlightRecord struct {
	write       WriteSlot
	tokens      []Token
	shards      map[int]uint64
	retryAction Action // retried at the next tick, nil while a response is awaited
	isSeal      bool
}

// Log is a replayed journal.
type Log struct {
	Instance    string
	Records     []Record // in order of seq, without the sealing record
	Sealed      bool
	Sealer      string
	LastSeq     uint64 // number of the last record before the seal
	ringSize    int
	sealVersion uint64 // version of the slot after the last record, where the seal is written
}
