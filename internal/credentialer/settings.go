package credentialer

import "daisylane/internal/checker"

// Settings are the TLS settings of a process. Plain must be set to run without
// TLS, so that no missing file turns it off.
type Settings struct {
	Cert  string `toml:"cert"`
	Key   string `toml:"key"`
	CA    string `toml:"ca"`
	Plain bool   `toml:"plain"`
}

// Check requires all files, or Plain and none.
func (s Settings) Check() error {
	if !s.Plain {
		return s.files().Check()
	}
	var f checker.Faults
	f.Require(s.files() == (Files{}), "plain", "is set together with files, remove one of them")
	return f.Err()
}

func (s Settings) files() Files { return Files{Cert: s.Cert, Key: s.Key, CA: s.CA} }

// Load loads the files. The result is nil with Plain.
func (s Settings) Load(opts ...Option) (*Credentials, error) {
	if s.Plain {
		return nil, nil
	}
	return New(s.files(), opts...)
}
