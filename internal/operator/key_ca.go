package operator

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"daisylane/internal/credentialer"
)

const (
	caCertFile = "ca.crt"
	caKeyFile  = "ca.key"
	dirMode    = 0o700
)

type keyCA struct {
	env   *env
	Name  string        `long:"name" default:"daisylane" value-name:"NAME" description:"name of the authority"`
	Valid time.Duration `long:"valid" default:"87600h" value-name:"DURATION" description:"validity"`
	Out   string        `long:"out" required:"true" value-name:"DIR" description:"directory for ca.crt and ca.key"`
}

func newKeyCA(env *env) any { return &keyCA{env: env} }

// certReport describes a certificate and its files.
type certReport struct {
	Name    string    `json:"name"`
	Role    string    `json:"role,omitempty"`
	Cert    string    `json:"cert"`
	Key     string    `json:"key"`
	CA      string    `json:"ca,omitempty"`
	Expires time.Time `json:"expires"`
}

// Execute implements [flags.Commander].
func (c *keyCA) Execute([]string) error {
	_, pair, err := credentialer.NewAuthority(c.Name, c.Valid)
	if err != nil {
		return wrapValidityError(err)
	}
	if err := os.MkdirAll(c.Out, dirMode); err != nil {
		return fmt.Errorf("write CA: %w", err)
	}
	r := certReport{Name: c.Name, Cert: filepath.Join(c.Out, caCertFile), Key: filepath.Join(c.Out, caKeyFile), Expires: pair.Expires}
	if err := pair.Write(r.Cert, r.Key); err != nil {
		return fmt.Errorf("%w; name another directory with --out", err)
	}
	return c.env.print(r, func(w io.Writer) {
		printLine(w, "%s is valid until %s", r.Cert, r.Expires.Format(time.RFC3339))
		printLine(w, "Give it to all processes. Keep %s to yourself, it signs the certificates.", r.Key)
	})
}
