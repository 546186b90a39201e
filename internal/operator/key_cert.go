package operator

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"daisylane/internal/credentialer"
)

type keyCert struct {
	env   *env
	CA    string        `long:"ca" required:"true" value-name:"DIR" description:"directory of ca.crt and ca.key"`
	Role  string        `long:"role" required:"true" choice:"entry" choice:"side" choice:"operator" description:"role of the process"`
	Valid time.Duration `long:"valid" default:"8760h" value-name:"DURATION" description:"validity"`
	Out   string        `long:"out" value-name:"DIR" description:"directory for NAME.crt and NAME.key, default: that of the CA"`
	Renew bool          `long:"renew" description:"replace existing files; running processes reload them automatically"`
	Args  struct {
		Name string `positional-arg-name:"NAME" required:"true" description:"name of the process"`
	} `positional-args:"true"`
}

func newKeyCert(env *env) any { return &keyCert{env: env} }

// fileName matches names that are safe as part of a file name.
var fileName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Execute implements [flags.Commander].
func (c *keyCert) Execute([]string) error {
	name := c.Args.Name
	if !fileName.MatchString(name) || name == "ca" {
		return fmt.Errorf("%w: name %q, allowed are letters, digits, '.', '_' and '-', and not \"ca\"", errUsage, name)
	}
	ca, err := readAuthority(c.CA)
	if err != nil {
		return err
	}
	pair, err := ca.Issue(name, c.Role, c.Valid)
	if err != nil {
		return wrapValidityError(err)
	}
	if c.Out == "" {
		c.Out = c.CA
	}
	r := certReport{
		Name: name, Role: c.Role, Cert: filepath.Join(c.Out, name+".crt"), Key: filepath.Join(c.Out, name+".key"),
		CA: filepath.Join(c.CA, caCertFile), Expires: pair.Expires,
	}
	if err := c.write(pair, r); err != nil {
		return err
	}
	return c.env.print(r, func(w io.Writer) {
		printLine(w, "# %s of %s, valid until %s", r.Role, r.Name, r.Expires.Format(time.RFC3339))
		printLine(w, "[tls]\ncert = %q\nkey = %q\nca = %q", r.Cert, r.Key, r.CA)
	})
}

func (c *keyCert) write(pair credentialer.Pair, r certReport) error {
	if err := os.MkdirAll(c.Out, dirMode); err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}
	if c.Renew {
		return pair.Replace(r.Cert, r.Key)
	}
	if err := pair.Write(r.Cert, r.Key); err != nil {
		return fmt.Errorf("%w; replace the files with --renew", err)
	}
	return nil
}

func readAuthority(dir string) (*credentialer.Authority, error) {
	cert, err := os.ReadFile(filepath.Join(dir, caCertFile))
	if err != nil {
		return nil, fmt.Errorf("read CA: %w, make one with 'daisylane key ca'", err)
	}
	key, err := os.ReadFile(filepath.Join(dir, caKeyFile))
	if err != nil {
		return nil, fmt.Errorf("read CA: %w", err)
	}
	return credentialer.ParseAuthority(cert, key)
}

func wrapValidityError(err error) error {
	if errors.Is(err, credentialer.ErrValidity) {
		return fmt.Errorf("%w: --valid: %w", errUsage, err)
	}
	return err
}
