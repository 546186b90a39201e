package bundler

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ErrChunk means that a chunk is missing, altered or malformed.
var ErrChunk = errors.New("invalid chunk")

const (
	// maxChunkBytes keeps a chunk below the platform's limit of 1 MB per value.
	maxChunkBytes = 900_000
	// Mean items per chunk. Smaller chunks make the head longer, larger chunks
	// make each change transfer more.
	accountsPerChunk = 192
	budgetsPerChunk  = 1024
)

// Hashes returns the hashes of the chunks in order.
func Hashes(chunks []Chunk) []string {
	hashes := make([]string, len(chunks))
	for i, c := range chunks {
		hashes[i] = c.Hash
	}
	return hashes
}

// Split checks the bundle and encodes it canonically: bundles that differ only
// in the order of unordered lists give the same chunks. Chunk boundaries depend
// on names, so that a change of one item leaves most chunks as they are.
func Split(b Bundle) ([]Chunk, error) {
	if err := b.Check(); err != nil {
		return nil, fmt.Errorf("split bundle: %w", err)
	}
	b = canonical(b)
	common, err := json.Marshal(Bundle{Regions: b.Regions, Targets: b.Targets})
	if err != nil {
		return nil, fmt.Errorf("split bundle: %w", err)
	}
	if len(common) > maxChunkBytes {
		return nil, fmt.Errorf("split bundle: regions and targets need %d bytes, allowed are %d", len(common), maxChunkBytes)
	}
	chunks := []Chunk{{Hash: hash(common), Body: common}}
	accounts, err := splitList("accounts", b.Accounts, accountsPerChunk, func(a Account) string { return a.Name })
	if err != nil {
		return nil, err
	}
	budgets, err := splitList("budgets", b.Budgets, budgetsPerChunk, func(b Budget) string { return b.Name })
	if err != nil {
		return nil, err
	}
	return slices.Concat(chunks, accounts, budgets), nil
}

func splitList[T any](key string, list []T, mean uint64, name func(T) string) ([]Chunk, error) {
	var chunks []Chunk
	var body []byte
	flush := func() {
		if len(body) > 0 {
			body = append(body, "]}"...)
			chunks = append(chunks, Chunk{Hash: hash(body), Body: body})
			body = nil
		}
	}
	for _, v := range list {
		item, err := json.Marshal(v)
		if err != nil {
			return nil, fmt.Errorf("split %s: %w", key, err)
		}
		if len(item) > maxChunkBytes/2 {
			return nil, fmt.Errorf("split %s: %s needs %d bytes, allowed are %d", key, name(v), len(item), maxChunkBytes/2)
		}
		if xxhash.Sum64String(name(v))%mean == 0 || len(body)+len(item) > maxChunkBytes-8 {
			flush()
		}
		if len(body) == 0 {
			body = fmt.Appendf(nil, "{%q:[", key)
		} else {
			body = append(body, ',')
		}
		body = append(body, item...)
	}
	flush()
	return chunks, nil
}

// canonical returns a copy in which every list without a meaning of its order
// is sorted. The order of an account's payments has a meaning and stays.
func canonical(b Bundle) Bundle {
	b.Regions = sorted(b.Regions)
	b.Accounts = slices.Clone(b.Accounts)
	for i, a := range b.Accounts {
		a.Keys, a.Targets = sorted(a.Keys), sorted(a.Targets)
		a.Budgets = slices.Clone(a.Budgets)
		for j, p := range a.Budgets {
			a.Budgets[j].Targets = sorted(p.Targets)
		}
		b.Accounts[i] = a
	}
	b.Targets = slices.Clone(b.Targets)
	for i, t := range b.Targets {
		t.Adapters, t.Repeat = sorted(t.Adapters), sorted(t.Repeat)
		b.Targets[i] = t
	}
	b.Budgets = slices.Clone(b.Budgets)
	slices.SortFunc(b.Accounts, func(x, y Account) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Budgets, func(x, y Budget) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Targets, func(x, y Target) int { return cmp.Compare(x.Name, y.Name) })
	return b
}

func sorted(list []string) []string {
	list = slices.Clone(list)
	slices.Sort(list)
	return list
}

// DecodeChunk verifies the hash of a chunk and decodes it to a part of a bundle.
// References between parts are checked by [Merge].
func DecodeChunk(want string, body []byte) (Bundle, error) {
	var part Bundle
	if len(body) > maxChunkBytes {
		return part, fmt.Errorf("chunk %.12s has %d bytes, allowed are %d: %w", want, len(body), maxChunkBytes, ErrChunk)
	}
	if got := hash(body); got != want {
		return part, fmt.Errorf("chunk %.12s has hash %.12s: %w", want, got, ErrChunk)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&part); err != nil {
		return part, fmt.Errorf("decode chunk %.12s: %w: %w", want, ErrChunk, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return part, fmt.Errorf("decode chunk %.12s: data after the value: %w", want, ErrChunk)
	}
	return part, nil
}

// Merge puts the decoded chunks of a head together and checks the result.
func Merge(head Head, parts map[string]Bundle) (Bundle, error) {
	var b Bundle
	for _, h := range head.Chunks {
		part, ok := parts[h]
		if !ok {
			return Bundle{}, fmt.Errorf("merge version %d: chunk %.12s is missing: %w", head.Version, h, ErrChunk)
		}
		b.Regions = append(b.Regions, part.Regions...)
		b.Accounts = append(b.Accounts, part.Accounts...)
		b.Budgets = append(b.Budgets, part.Budgets...)
		b.Targets = append(b.Targets, part.Targets...)
	}
	if err := b.Check(); err != nil {
		return Bundle{}, fmt.Errorf("merge version %d: %w", head.Version, err)
	}
	return b, nil
}

// Join decodes all chunks of a head, by hash, and merges them.
func Join(head Head, bodies map[string][]byte) (Bundle, error) {
	parts := make(map[string]Bundle, len(head.Chunks))
	for _, h := range head.Chunks {
		body, ok := bodies[h]
		if !ok {
			return Bundle{}, fmt.Errorf("join version %d: chunk %.12s is missing: %w", head.Version, h, ErrChunk)
		}
		part, err := DecodeChunk(h, body)
		if err != nil {
			return Bundle{}, fmt.Errorf("join version %d: %w", head.Version, err)
		}
		parts[h] = part
	}
	return Merge(head, parts)
}
