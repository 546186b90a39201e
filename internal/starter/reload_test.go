package starter

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"daisylane/internal/logger"
	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// startWatchingSettings returns an entry that watches a settings file, its log, and
// the channel that stands in for SIGHUP.
func startWatchingSettings(t *testing.T, path string) (*entry, *syncBuffer, chan os.Signal) {
	t.Helper()
	cfg, err := platform.LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	var out syncBuffer
	log, err := logger.New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	e := newEntry(cfg, path, log, nil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	reload := make(chan os.Signal, 1)
	go e.watchSettings(ctx, reload)
	return e, &out, reload
}

func editSettings(t *testing.T, path string, edit func(map[string]any)) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var m map[string]any
	if err := json.Unmarshal(data, &m); err != nil {
		t.Fatal(err)
	}
	edit(m)
	if data, err = json.Marshal(m); err != nil {
		t.Fatal(err)
	}
	next := filepath.Join(t.TempDir(), "next.json")
	if err := os.WriteFile(next, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, path); err != nil {
		t.Fatal(err)
	}
}

// Guards against reload faults: a changeable setting that takes effect only after a
// restart, invalid settings that replace valid ones, and a changed file that goes
// unnoticed because the platform sent no signal.
func TestReload(t *testing.T) {
	tests := []struct {
		name   string
		signal bool
		edit   func(map[string]any)
		grace  float64 // grace period after the change
		log    string
	}{
		{"signal", true, func(m map[string]any) { m["bounds"].(map[string]any)["grace_s"] = 3 }, 3, `"reason":"signal"`},
		{"no signal", false, func(m map[string]any) { m["bounds"].(map[string]any)["grace_s"] = 3 }, 3, `"reason":"change"`},
		{"invalid", false, func(m map[string]any) { m["bounds"].(map[string]any)["grace_s"] = 0 }, 8, `settings refused`},
		{"no object", false, func(m map[string]any) { m["bounds"] = "none" }, 8, `settings refused`},
		{"regions", false, func(m map[string]any) { m["zones"] = map[string]any{"a": "r2"} }, 8, `restart_needed_for`},
		{"fixed", false, func(m map[string]any) { m["ip"] = "127.0.0.9" }, 8, `restart_needed_for`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := writeSettings(t, "127.0.0.1:1", platformtest.FreePort(t), platformtest.FreePort(t), platformtest.FreePort(t))
			e, out, reload := startWatchingSettings(t, path)
			time.Sleep(20 * time.Millisecond) // lets watchSettings take the first stamp of the file
			editSettings(t, path, tt.edit)
			if tt.signal {
				reload <- syscall.SIGHUP
			}
			platformtest.Eventually(t, tt.log, func() bool { return strings.Contains(out.String(), tt.log) })
			if got := e.settings.Load().Bounds.Grace; got != tt.grace {
				t.Errorf("grace %v is in force, want %v", got, tt.grace)
			}
		})
	}
}
