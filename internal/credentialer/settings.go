package credentialer

import "daisylane/internal/checker"

// Settings are the TLS settings of a process. Running without TLS requires Plain, so
// that TLS is never turned off by leaving out a file name.
type Settings struct {
	Cert       string `toml:"cert"`
	Key        string `toml:"key"`
	CA         string `toml:"ca"`
	DisableTLS bool   `toml:"plain"`
}

// Check requires either all files, or Plain and no files.
func (s Settings) Check() error {
	if !s.DisableTLS {
		return s.files().Check()
	}
	var f checker.Validator
	f.Require(s.files() == (Files{}), "plain", "cannot be combined with certificate files, remove one of them")
	return f.Err()
}

func (s Settings) files() Files { return Files{Cert: s.Cert, Key: s.Key, CA: s.CA} }

// Load loads the files. It returns nil if Plain is set.
func (s Settings) Load(opts ...Option) (*Credentials, error) {
	if s.DisableTLS {
		return nil, nil
	}
	return New(s.files(), opts...)
}
