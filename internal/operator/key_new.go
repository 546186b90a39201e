package operator

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"strings"

	"daisylane/internal/bundler"
)

const (
	keyPrefix = "dl-"
	keyBytes  = 32
)

type keyNew struct {
	env      *env
	Operator string `long:"operator" value-name:"NAME" description:"create a signing key for this operator"`
	Out      string `long:"out" value-name:"FILE" description:"file for the signing key"`
}

func newKeyNew(env *env) any { return &keyNew{env: env} }

// Execute implements [flags.Commander].
func (c *keyNew) Execute([]string) error {
	if c.Operator != "" {
		return c.signingKey()
	}
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw)
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
	result := struct {
		Key  string `json:"key"`
		Hash string `json:"hash"`
	}{key, bundler.HashKey(key)}
	return c.env.print(result, func(w io.Writer) {
		printLine(w, "key   %s", result.Key)
		printLine(w, "hash  %s", result.Hash)
		printLine(w, "Give the key to the caller, it is not stored. Put the hash into the account's keys.")
	})
}

func (c *keyNew) signingKey() error {
	if c.Out == "" {
		return fmt.Errorf("%w: name a file for the signing key with --out", errUsage)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("generate signing key: %w", err)
	}
	f, err := os.OpenFile(c.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("write signing key: %w", err)
	}
	_, err = fmt.Fprintln(f, base64.StdEncoding.EncodeToString(private.Seed()))
	if err = firstError(err, f.Close()); err != nil {
		return fmt.Errorf("write signing key %s: %w", c.Out, err)
	}
	result := struct {
		Operator string `json:"operator"`
		Public   string `json:"public"`
		File     string `json:"file"`
	}{c.Operator, base64.StdEncoding.EncodeToString(public), c.Out}
	return c.env.print(result, func(w io.Writer) {
		printLine(w, "[trust]\n%s = %q", result.Operator, result.Public)
	})
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func readSigningKey(file string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read signing key: %w", err)
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("%s is not a signing key, create one with 'daisylane key new --operator'", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
