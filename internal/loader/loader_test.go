package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"daisylane/internal/checker"
)

type testSettings struct {
	Port int      `toml:"port"`
	Wait Duration `toml:"wait"`
}

func (s testSettings) Check() error {
	var f checker.Validator
	checker.Range(&f, "port", s.Port, 1, 65535)
	return f.Err()
}

// Guards against invalid settings that are accepted, and against errors that do not
// name the key and the cause.
func TestLoad(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"defaults", "", ""},
		{"value", "port = 80\nwait = \"2s\"", ""},
		{"range", "port = 0", "port: is 0, allowed is 1 to 65535"},
		{"unknown", "prot = 1", "prot: unknown key"},
		{"syntax", "port = ", "read settings"},
		{"unit", "wait = \"2\"", "want a number with a unit"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "s.toml")
			if err := os.WriteFile(file, []byte(tt.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(file, testSettings{Port: 8080})
			switch {
			case tt.want == "" && err != nil:
				t.Errorf("err = %v", err)
			case tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)):
				t.Errorf("err = %v, want %q", err, tt.want)
			}
		})
	}
}
