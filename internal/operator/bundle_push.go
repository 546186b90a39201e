package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"golang.org/x/sync/errgroup"

	"daisylane/internal/bundler"
	"daisylane/internal/checker"
	"daisylane/internal/storer"
	"daisylane/internal/syncer"
)

type bundlePush struct {
	env    *env
	Note   string  `long:"note" value-name:"TEXT" description:"why the bundle changes"`
	Base   *uint64 `long:"base" value-name:"N" description:"version that the file was edited from, default: first line of the file, else the version in force"`
	Signed bool    `long:"signed" description:"the file comes from 'bundle sign'"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

func newBundlePush(env *env) any { return &bundlePush{env: env} }

// Execute implements [flags.Commander].
func (c *bundlePush) Execute([]string) error {
	p, cfg, err := c.env.platform()
	if err != nil {
		return err
	}
	trust, err := bundler.ParseTrust(cfg.Trust)
	if err != nil {
		return err
	}
	ctx, cancel := c.env.context()
	defer cancel()
	for range maxUpdates {
		if err = c.push(ctx, p, cfg, trust); !errors.Is(err, errRewritten) {
			return err
		}
	}
	return err
}

// push puts the file in force over the version that it reads first. Each chunk
// that this version does not have is refreshed after that read and before the
// head moves, see [bundlePrune].
func (c *bundlePush) push(ctx context.Context, p platform, cfg Settings, trust bundler.Trust) error {
	current, err := readPublished(ctx, p, trust)
	if err != nil {
		return err
	}
	next, chunks, err := c.next(cfg, trust, current.head)
	if err != nil {
		return err
	}
	after, err := bundler.Join(next, bodiesOf(chunks))
	if err != nil {
		return err
	}
	if err := putChunks(ctx, p, current.parts, chunks); err != nil {
		return err
	}
	if err := archive(ctx, p, current.head); err != nil {
		return fmt.Errorf("keep version %d: %w", current.head.Version, err)
	}
	if err := putHead(ctx, p, next, current); err != nil {
		return err
	}
	changes := bundler.Diff(current.bundle, after)
	return c.env.print(struct {
		Head    bundler.Head     `json:"head"`
		Changes []bundler.Change `json:"changes"`
	}{next, changes}, func(w io.Writer) {
		line(w, "version %d is accepted, with %d changes:", next.Version, len(changes))
		printChanges(w, changes)
	})
}

// next returns the signed head and chunks of the file.
func (c *bundlePush) next(cfg Settings, trust bundler.Trust, current bundler.Head) (bundler.Head, []bundler.Chunk, error) {
	if c.Signed {
		return c.readSigned(trust, current)
	}
	b, data, err := readBundle(c.Args.File)
	if err != nil {
		return bundler.Head{}, nil, err
	}
	base, ok := baseOf(data)
	if c.Base != nil {
		base, ok = *c.Base, true
	}
	if ok && base != current.Version {
		return bundler.Head{}, nil, newConflict(current)
	}
	return signBundle(cfg, b, current.Version+1, c.Note)
}

func (c *bundlePush) readSigned(trust bundler.Trust, current bundler.Head) (bundler.Head, []bundler.Chunk, error) {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return bundler.Head{}, nil, fmt.Errorf("read signed bundle: %w", err)
	}
	s, err := checker.Decode[signed](data)
	if err != nil {
		return bundler.Head{}, nil, fmt.Errorf("%s: %w", c.Args.File, err)
	}
	if err := bundler.Verify(s.Head, trust); err != nil {
		return bundler.Head{}, nil, fmt.Errorf("%s: %w", c.Args.File, err)
	}
	if s.Head.Version <= current.Version {
		return bundler.Head{}, nil, newConflict(current)
	}
	var chunks []bundler.Chunk
	for _, body := range s.Chunks {
		chunks = append(chunks, bundler.Chunk{Hash: bundler.HashKey(string(body)), Body: body})
	}
	return s.Head, chunks, nil
}

func bodiesOf(chunks []bundler.Chunk) map[string][]byte {
	bodies := make(map[string][]byte, len(chunks))
	for _, c := range chunks {
		bodies[c.Hash] = c.Body
	}
	return bodies
}

// putChunks refreshes the chunks that the version in force does not have.
func putChunks(ctx context.Context, p platform, known bundler.Parts, chunks []bundler.Chunk) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxCalls)
	for _, c := range chunks {
		if _, ok := known[c.Hash]; ok {
			continue
		}
		group.Go(func() error {
			if err := refresh(ctx, p, syncer.ChunkPrefix+c.Hash, c.Body); err != nil {
				return fmt.Errorf("write bundle chunk: %w", err)
			}
			return nil
		})
	}
	return group.Wait()
}

// errRewritten means that the head object has a new version with the same head,
// so that the push has to start again.
var errRewritten = fmt.Errorf("%w: the head was rewritten by 'bundle prune', push again", errConflict)

// putHead advances the head object. If the outcome is uncertain, it reads the
// object back: the signature tells whether it is this head.
func putHead(ctx context.Context, p platform, head bundler.Head, current published) error {
	data, err := bundler.EncodeHead(head)
	if err != nil {
		return err
	}
	_, err = p.Put(ctx, syncer.HeadKey, data, current.stored)
	if err == nil {
		return nil
	}
	if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUncertain) {
		return fmt.Errorf("advance bundle head: %w", err)
	}
	winner, stored, readErr := readHead(ctx, p)
	switch {
	case readErr != nil:
		return fmt.Errorf("advance bundle head: %w; read it back: %w", err, readErr)
	case string(winner.Signature) == string(head.Signature):
		return nil
	case stored != current.stored && string(winner.Signature) == string(current.head.Signature):
		return errRewritten
	case stored != current.stored:
		return newConflict(winner)
	}
	return fmt.Errorf("advance bundle head: %w; version %d is still in force, push again", err, winner.Version)
}
