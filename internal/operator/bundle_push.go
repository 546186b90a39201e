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
	Note   string  `long:"note" value-name:"TEXT" description:"reason for the change"`
	Base   *uint64 `long:"base" value-name:"N" description:"version that the file was edited from, default: first line of the file, else the active version"`
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
	trust, err := bundler.ParseTrustedKeys(cfg.Trust)
	if err != nil {
		return err
	}
	ctx, cancel := c.env.context()
	defer cancel()
	for range maxWriteAttempts {
		if err = c.push(ctx, p, cfg, trust); !errors.Is(err, errHeadRewritten) {
			return err
		}
	}
	return err
}

// push makes the file the active bundle, in place of the version that it reads
// first. Each chunk that this version does not have is rewritten after that read
// and before the head is advanced; [bundlePrune] relies on this order.
func (c *bundlePush) push(ctx context.Context, p platformClient, cfg Settings, trust bundler.TrustedKeys) error {
	current, err := readPublished(ctx, p, trust)
	if err != nil {
		return err
	}
	next, chunks, err := c.nextHead(cfg, trust, current.head)
	if err != nil {
		return err
	}
	after, err := bundler.Join(next, chunkBodies(chunks))
	if err != nil {
		return err
	}
	if err := putChunks(ctx, p, current.chunks, chunks); err != nil {
		return err
	}
	if err := archiveHead(ctx, p, current.head); err != nil {
		return fmt.Errorf("archive version %d: %w", current.head.Version, err)
	}
	if err := putHead(ctx, p, next, current); err != nil {
		return err
	}
	changes := bundler.Diff(current.bundle, after)
	return c.env.print(struct {
		Head    bundler.Head     `json:"head"`
		Changes []bundler.Change `json:"changes"`
	}{next, changes}, func(w io.Writer) {
		printLine(w, "version %d is accepted, with %d changes:", next.Version, len(changes))
		printChanges(w, changes)
	})
}

// nextHead returns the signed head and the chunks of the file.
func (c *bundlePush) nextHead(cfg Settings, trust bundler.TrustedKeys, current bundler.Head) (bundler.Head, []bundler.Chunk, error) {
	if c.Signed {
		return c.readSigned(trust, current)
	}
	b, data, err := readBundle(c.Args.File)
	if err != nil {
		return bundler.Head{}, nil, err
	}
	base, ok := parseBaseVersion(data)
	if c.Base != nil {
		base, ok = *c.Base, true
	}
	if ok && base != current.Version {
		return bundler.Head{}, nil, newConflict(current)
	}
	return signBundle(cfg, b, current.Version+1, c.Note)
}

func (c *bundlePush) readSigned(trust bundler.TrustedKeys, current bundler.Head) (bundler.Head, []bundler.Chunk, error) {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return bundler.Head{}, nil, fmt.Errorf("read signed bundle: %w", err)
	}
	s, err := checker.Decode[signedBundle](data)
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

func chunkBodies(chunks []bundler.Chunk) map[string][]byte {
	bodies := make(map[string][]byte, len(chunks))
	for _, c := range chunks {
		bodies[c.Hash] = c.Body
	}
	return bodies
}

// putChunks writes the chunks that the active version does not have.
func putChunks(ctx context.Context, p platformClient, known bundler.ChunkStore, chunks []bundler.Chunk) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	for _, c := range chunks {
		if _, ok := known[c.Hash]; ok {
			continue
		}
		group.Go(func() error {
			if err := rewriteObject(ctx, p, syncer.ChunkPrefix+c.Hash, c.Body); err != nil {
				return fmt.Errorf("write bundle chunk: %w", err)
			}
			return nil
		})
	}
	return group.Wait()
}

// errHeadRewritten means that a prune rewrote the head object with the same head, so
// that the push must be retried from the start.
var errHeadRewritten = fmt.Errorf("%w: the head was rewritten by 'bundle prune', push again", errConflict)

// putHead advances the head object. After a conflict or an uncertain outcome it
// reads the object back and compares the signature to tell whether this head won.
func putHead(ctx context.Context, p platformClient, head bundler.Head, current published) error {
	data, err := bundler.EncodeHead(head)
	if err != nil {
		return err
	}
	_, err = p.Put(ctx, syncer.HeadKey, data, current.objectVersion)
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
	case stored != current.objectVersion && string(winner.Signature) == string(current.head.Signature):
		return errHeadRewritten
	case stored != current.objectVersion:
		return newConflict(winner)
	}
	return fmt.Errorf("advance bundle head: %w; version %d is still in force, push again", err, winner.Version)
}
