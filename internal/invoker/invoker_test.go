package invoker

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"daisylane/internal/checker"
)

type settings struct {
	Port int `toml:"port"`
}

func (s settings) Check() error {
	var f checker.Validator
	checker.Range(&f, "port", s.Port, 1, 9)
	return f.Err()
}

var errKnown = errors.New("known")

// Guards against wrong exit codes for settings, options and errors of a program;
// supervisors and scripts depend on them.
func TestRunProcess(t *testing.T) {
	tests := []struct {
		name, file string
		args       []string
		err        error
		want       int
		output     string
	}{
		{"runs", "port = 2", nil, nil, ExitOK, ""},
		{"fails", "port = 2", nil, io.EOF, ExitFailure, "demo: EOF"},
		{"known error", "port = 2", nil, errors.WithMessage(errKnown, "run"), 7, "demo: run: known"},
		{"check", "port = 2", []string{"--check"}, io.EOF, ExitOK, "valid"},
		{"wrong settings", "port = 0", nil, nil, ExitUsage, "port: is 0"},
		{"wrong option", "", []string{"--bogus"}, nil, ExitUsage, "unknown flag"},
		{"help", "", []string{"--help"}, nil, ExitOK, "--settings"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "demo.toml")
			if err := os.WriteFile(file, []byte(tt.file), 0o600); err != nil {
				t.Fatal(err)
			}
			p := Program[settings]{
				Name: "demo", Defaults: settings{Port: 1}, ExitCodes: map[error]int{errKnown: 7},
				Run: func(context.Context, settings, io.Writer) error { return tt.err },
			}
			var out bytes.Buffer
			if got := RunProcess(p, append([]string{"-s", file}, tt.args...), &out, &out); got != tt.want {
				t.Errorf("code = %d, want %d", got, tt.want)
			}
			if !strings.Contains(out.String(), tt.output) {
				t.Errorf("output = %q, want %q", out.String(), tt.output)
			}
		})
	}
}
