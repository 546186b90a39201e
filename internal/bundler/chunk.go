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
	// maxChunkBytes keeps a chunk below the platform's limit of 1 MB per object.
	maxChunkBytes = 900_000
	// Mean items per chunk. A process that receives a change of one item downloads
	// the head, one list of chunks and one chunk, so the size of each must not
	// grow in proportion to the bundle.
	accountsPerChunk = 24
	budgetsPerChunk  = 512
	chunksPerList    = 32
)

// chunkContent is a decoded chunk: items of the bundle, or a list of chunks.
type chunkContent struct {
	Bundle
	Chunks []string `json:"chunks,omitempty"`
}

// Split validates the bundle and encodes it canonically: bundles that differ only
// in the order of unordered lists produce the same chunks. Chunk boundaries are
// derived from hashes of the item names, so changing one item leaves most chunks
// unchanged. The first result holds the hashes to put in the head. They refer to
// list chunks, which in turn list the remaining chunks.
func Split(b Bundle) ([]string, []Chunk, error) {
	if err := b.Check(); err != nil {
		return nil, nil, fmt.Errorf("split bundle: %w", err)
	}
	b = canonical(b)
	common, err := json.Marshal(Bundle{Regions: b.Regions, Targets: b.Targets})
	if err != nil {
		return nil, nil, fmt.Errorf("split bundle: %w", err)
	}
	if len(common) > maxChunkBytes {
		return nil, nil, fmt.Errorf("split bundle: regions and targets need %d bytes, the limit is %d", len(common), maxChunkBytes)
	}
	accounts, err := splitList("accounts", b.Accounts, accountsPerChunk, func(a Account) string { return a.Name })
	if err != nil {
		return nil, nil, err
	}
	budgets, err := splitList("budgets", b.Budgets, budgetsPerChunk, func(b Budget) string { return b.Name })
	if err != nil {
		return nil, nil, err
	}
	chunks := slices.Concat([]Chunk{{Hash: hash(common), Body: common}}, accounts, budgets)
	lists, err := splitList("chunks", hashes(chunks), chunksPerList, func(h string) string { return h })
	if err != nil {
		return nil, nil, err
	}
	return hashes(lists), slices.Concat(lists, chunks), nil
}

func hashes(chunks []Chunk) []string {
	list := make([]string, len(chunks))
	for i, c := range chunks {
		list[i] = c.Hash
	}
	return list
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
			return nil, fmt.Errorf("split %s: %s needs %d bytes, the limit is %d", key, name(v), len(item), maxChunkBytes/2)
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

// canonical returns a copy in which every unordered list is sorted. An account's
// payments keep their order, because the first match pays.
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
		t.Adapters, t.RetryMethods = sorted(t.Adapters), sorted(t.RetryMethods)
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

// ChunkStore holds the decoded chunks of one or more versions by hash.
type ChunkStore map[string]chunkContent

// Add verifies the hash of a chunk, decodes it and stores the result.
func (s ChunkStore) Add(want string, body []byte) error {
	v, err := decodeChunk(want, body)
	if err != nil {
		return err
	}
	s[want] = v
	return nil
}

// Missing returns the hashes of the head's chunks that have not been added. Call it
// again after adding them, because a chunk can list further chunks.
func (s ChunkStore) Missing(h Head) []string {
	var missing []string
	seen := make(map[string]struct{})
	walkChunks(h.Chunks, 0, func(hash string, _ int) []string {
		if _, ok := seen[hash]; ok {
			return nil
		}
		seen[hash] = struct{}{}
		v, ok := s[hash]
		if !ok {
			missing = append(missing, hash)
		}
		return v.Chunks
	})
	return missing
}

// Only returns the chunks that belong to the head's version.
func (s ChunkStore) Only(h Head) ChunkStore {
	kept := make(ChunkStore)
	walkChunks(h.Chunks, 0, func(hash string, _ int) []string {
		v, ok := s[hash]
		if ok {
			kept[hash] = v
		}
		return v.Chunks
	})
	return kept
}

// Merge assembles the bundle of a head. It does not validate the bundle.
func (s ChunkStore) Merge(h Head) (Bundle, error) {
	var b Bundle
	var mergeErr error
	walkChunks(h.Chunks, 0, func(hash string, depth int) []string {
		v, ok := s[hash]
		if !ok {
			mergeErr = fmt.Errorf("merge version %d: chunk %.12s is missing: %w", h.Version, hash, ErrChunk)
		}
		if depth > 0 && len(v.Chunks) > 0 {
			mergeErr = fmt.Errorf("merge version %d: chunk %.12s lists chunks below the second level: %w", h.Version, hash, ErrChunk)
		}
		b.Regions = append(b.Regions, v.Regions...)
		b.Accounts = append(b.Accounts, v.Accounts...)
		b.Budgets = append(b.Budgets, v.Budgets...)
		b.Targets = append(b.Targets, v.Targets...)
		return v.Chunks
	})
	return b, mergeErr
}

// walkChunks visits the listed chunks, and the chunks that these list, in order. It
// stops at the second level, because deeper nesting is invalid.
func walkChunks(list []string, depth int, visit func(hash string, depth int) []string) {
	for _, h := range list {
		if next := visit(h, depth); depth == 0 {
			walkChunks(next, 1, visit)
		}
	}
}

// Join decodes all chunks of a head, merges them and validates the bundle.
func Join(h Head, bodies map[string][]byte) (Bundle, error) {
	store := make(ChunkStore)
	for {
		missing := store.Missing(h)
		if len(missing) == 0 {
			break
		}
		for _, hash := range missing {
			body, ok := bodies[hash]
			if !ok {
				return Bundle{}, fmt.Errorf("join version %d: chunk %.12s is missing: %w", h.Version, hash, ErrChunk)
			}
			if err := store.Add(hash, body); err != nil {
				return Bundle{}, fmt.Errorf("join version %d: %w", h.Version, err)
			}
		}
	}
	b, err := store.Merge(h)
	if err != nil {
		return Bundle{}, err
	}
	if err := b.Check(); err != nil {
		return Bundle{}, fmt.Errorf("join version %d: %w", h.Version, err)
	}
	return b, nil
}

func decodeChunk(want string, body []byte) (chunkContent, error) {
	var v chunkContent
	if len(body) > maxChunkBytes {
		return v, fmt.Errorf("chunk %.12s has %d bytes, the limit is %d: %w", want, len(body), maxChunkBytes, ErrChunk)
	}
	if got := hash(body); got != want {
		return v, fmt.Errorf("chunk %.12s has hash %.12s: %w", want, got, ErrChunk)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, fmt.Errorf("decode chunk %.12s: %w: %w", want, ErrChunk, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return v, fmt.Errorf("decode chunk %.12s: data after the value: %w", want, ErrChunk)
	}
	for _, h := range v.Chunks {
		if !isHash(h) {
			return v, fmt.Errorf("decode chunk %.12s: %.12q is not a hash: %w", want, h, ErrChunk)
		}
	}
	return v, nil
}
