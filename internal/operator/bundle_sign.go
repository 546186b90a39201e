package operator

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/checker"
)

// signedBundle is the content of a file written by 'bundle sign'.
type signedBundle struct {
	Head   bundler.Head `json:"head"`
	Chunks [][]byte     `json:"chunks"`
}

// Check validates the head.
func (s signedBundle) Check() error { return s.Head.Check() }

type bundleSign struct {
	env     *env
	Version uint64 `long:"version" required:"true" value-name:"N" description:"version, one more than the version in force"`
	Note    string `long:"note" value-name:"TEXT" description:"reason for the change"`
	Out     string `long:"out" required:"true" value-name:"FILE" description:"file for the signed bundle"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

func newBundleSign(env *env) any { return &bundleSign{env: env} }

// Execute implements [flags.Commander].
func (c *bundleSign) Execute([]string) error {
	cfg, err := c.env.settings()
	if err != nil {
		return err
	}
	b, _, err := readBundle(c.Args.File)
	if err != nil {
		return err
	}
	head, chunks, err := signBundle(cfg, b, c.Version, c.Note)
	if err != nil {
		return err
	}
	s := signedBundle{Head: head}
	for _, chunk := range chunks {
		s.Chunks = append(s.Chunks, chunk.Body)
	}
	data, err := checker.Encode(s)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Out, data, 0o644); err != nil {
		return fmt.Errorf("write signed bundle: %w", err)
	}
	return c.env.print(head, func(w io.Writer) { printLine(w, "signed version %d as %s in %s", head.Version, head.Author, c.Out) })
}

func signBundle(cfg Settings, b bundler.Bundle, version uint64, note string) (bundler.Head, []bundler.Chunk, error) {
	if cfg.Author == "" || cfg.Key == "" {
		return bundler.Head{}, nil, fmt.Errorf("%w: set author and key in the settings to sign bundles", errUsage)
	}
	key, err := readSigningKey(cfg.Key)
	if err != nil {
		return bundler.Head{}, nil, err
	}
	list, chunks, err := bundler.Split(b)
	if err != nil {
		return bundler.Head{}, nil, err
	}
	head, err := bundler.Sign(bundler.Head{Version: version, Chunks: list, Author: cfg.Author, Note: note, Time: time.Now()}, key)
	if err != nil {
		return bundler.Head{}, nil, err
	}
	trust, err := bundler.ParseTrustedKeys(cfg.Trust)
	if err != nil {
		return bundler.Head{}, nil, err
	}
	if err := bundler.Verify(head, trust); err != nil {
		return bundler.Head{}, nil, errors.Join(err, errors.New("the fleet would reject this bundle, add your public key to [trust]"))
	}
	return head, chunks, nil
}
