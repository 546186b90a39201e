package previewer

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a socket that other users of the machine reach, and against a killed process
// whose socket keeps the next one from answering.
func TestListen(t *testing.T) {
	tests := []struct {
		name     string
		instance string
		prepare  func(dir string) error
		ok       bool
	}{
		{"new directory", "e-1", func(string) error { return nil }, true},
		{"own directory", "e-1", func(dir string) error { return os.Mkdir(dir, 0o700) }, true},
		{"socket of a killed process", "e-1", func(dir string) error {
			l, err := Listen(dir, "e-1")
			if err != nil {
				return err
			}
			return l.Close()
		}, true},
		{"directory open to a group", "e-1", func(dir string) error { return os.Mkdir(dir, 0o750) }, false},
		{"file with the name", "e-1", func(dir string) error {
			return errors.Join(os.Mkdir(dir, 0o700), os.WriteFile(SocketPath(dir, "e-1"), nil, 0o600))
		}, false},
		{"name that leads out of the directory", "../e-1", func(string) error { return nil }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "run")
			if err := tt.prepare(dir); err != nil {
				t.Fatal(err)
			}
			l, err := Listen(dir, tt.instance)
			if (err == nil) != tt.ok {
				t.Fatalf("listen: %v", err)
			}
			if err != nil {
				return
			}
			defer l.Close()
			go func() { _ = Serve(l, func(q Query) Report { return Report{Instance: q.Host} }) }() // ends with the listener
			r, err := Ask(t.Context(), SocketPath(dir, tt.instance), Query{Host: "h", Path: "/x"})
			if err != nil || r.Instance != "h" {
				t.Errorf("answer %+v, %v", r, err)
			}
			if _, err := Ask(t.Context(), SocketPath(dir, tt.instance), Query{Path: "x"}); !errors.Is(err, ErrInvalid) {
				t.Errorf("invalid query: %v", err)
			}
		})
	}
}
