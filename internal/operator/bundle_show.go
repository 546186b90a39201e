package operator

import (
	"fmt"
	"io"
	"time"

	"github.com/BurntSushi/toml"

	"daisylane/internal/bundler"
)

type bundleShow struct{ env *env }

func newBundleShow(env *env) any { return &bundleShow{env: env} }

// Execute implements [flags.Commander].
func (c *bundleShow) Execute([]string) error {
	current, err := c.env.published()
	if err != nil {
		return err
	}
	h := current.head
	if c.env.globals.JSON {
		return c.env.print(struct {
			Head   bundler.Head   `json:"head"`
			Bundle bundler.Bundle `json:"bundle"`
		}{h, current.bundle}, nil)
	}
	printLine(c.env.stdout, "# version %d of %s at %s: %s", h.Version, h.Author, h.Time.Format(time.RFC3339), h.Note)
	if err := toml.NewEncoder(c.env.stdout).Encode(current.bundle); err != nil {
		return fmt.Errorf("print bundle: %w", err)
	}
	return nil
}

// published returns the active bundle, or an error if there is none.
func (e *env) published() (published, error) {
	p, cfg, err := e.platform()
	if err != nil {
		return published{}, err
	}
	trust, err := bundler.ParseTrustedKeys(cfg.Trust)
	if err != nil {
		return published{}, err
	}
	ctx, cancel := e.context()
	defer cancel()
	current, err := readPublished(ctx, p, trust)
	if err == nil && current.head.Version == 0 {
		err = fmt.Errorf("bundle: %w, push one with 'daisylane bundle push'", errAbsent)
	}
	return current, err
}

func printChanges(w io.Writer, changes []bundler.Change) {
	for _, change := range changes {
		printLine(w, "%s", change)
	}
}
