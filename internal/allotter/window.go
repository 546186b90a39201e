package allotter

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	keyWindowMinutes = keyWindowSeconds / 60
	hashBytes        = 8
)

// ErrCorruptKeyWindow means that the key window of a shard object is corrupt.
var ErrCorruptKeyWindow = errors.New("key window is corrupt")

// KeyWindow contains the keys that were charged recently, by minute of the charge. A key is
// stored as a 64-bit hash of budget and key. With 36,450 keys, the probability of a
// collision within the window is below 1 in 10^10; a collision leaves one request
// uncharged.
type KeyWindow map[int64]KeyHashes

// KeyHashes is a list of key hashes in ascending order. It is encoded as base64 of 8 bytes each.
type KeyHashes []uint64

// MarshalJSON implements [json.Marshaler].
func (h KeyHashes) MarshalJSON() ([]byte, error) {
	raw := make([]byte, 0, len(h)*hashBytes)
	for _, v := range h {
		raw = binary.BigEndian.AppendUint64(raw, v)
	}
	out := make([]byte, 0, base64.RawStdEncoding.EncodedLen(len(raw))+2)
	out = append(out, '"')
	out = base64.RawStdEncoding.AppendEncode(out, raw)
	return append(out, '"'), nil
}

// UnmarshalJSON implements [json.Unmarshaler].
func (h *KeyHashes) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("decode key hashes: %w", err)
	}
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("decode key hashes: %w", err)
	}
	list := make(KeyHashes, 0, len(raw)/hashBytes)
	for ; len(raw) >= hashBytes; raw = raw[hashBytes:] {
		list = append(list, binary.BigEndian.Uint64(raw))
	}
	if len(raw) > 0 || !slices.IsSorted(list) {
		return ErrCorruptKeyWindow
	}
	*h = list
	return nil
}

// Charged reports whether a key of a budget was charged within the window. A key stays in
// the window until the end of its minute has left it.
func (w KeyWindow) Charged(budget, key string, now int64) bool {
	if key == "" {
		return false
	}
	hash := hashKey(budget, key)
	for minute, list := range w {
		if _, ok := slices.BinarySearch(list, hash); ok && minute >= now/60-keyWindowMinutes {
			return true
		}
	}
	return false
}

// withKey adds a key and drops the minutes that have left the window.
func (w KeyWindow) withKey(budget, key string, now int64) KeyWindow {
	next := maps.Clone(w)
	maps.DeleteFunc(next, func(minute int64, _ KeyHashes) bool { return minute < now/60-keyWindowMinutes })
	if next == nil {
		next = make(KeyWindow)
	}
	hash := hashKey(budget, key)
	list := next[now/60]
	i, _ := slices.BinarySearch(list, hash)
	next[now/60] = slices.Insert(slices.Clone(list), i, hash)
	return next
}

func hashKey(budget, key string) uint64 { return xxhash.Sum64String(budget + "\x00" + key) }
