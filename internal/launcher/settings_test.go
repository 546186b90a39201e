package launcher

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"daisylane/internal/loader"
)

func loadSettings(t *testing.T, text string) (Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return loader.Load(file, Defaults())
}

// Guards against accepting invalid settings, and against reporting only the first
// of several errors.
func TestSettings(t *testing.T) {
	sample, err := os.ReadFile("../../examples/entry.toml")
	if err != nil {
		t.Fatal(err)
	}
	valid := strings.ReplaceAll(string(sample), "PUBLIC_KEY", strings.Repeat("A", 43)+"=")
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"sample", "", "", nil},
		{"shards", "shards  = 64", "shards  = 0", []string{"budgets.shards: is 0, allowed is 1 to 65536"}},
		{"ahead", "ahead   = 1.0", "ahead   = 1.5", []string{"budgets.ahead: is 1.5"}},
		{"release", `"operator"  # "gone"`, `"never"  # "gone"`, []string{`budgets.release: is "never"`}},
		{"flush", `flush   = "5s"`, `flush   = "1m"`, []string{"budgets.flush"}},
		{"address", `"127.0.0.1:17080"`, `"17080"`, []string{"listen.http"}},
		{"platform", `"http://127.0.0.1:17000"`, `"ftp://x"`, []string{"platform: is"}},
		{"TLS", "plain = true", "plain = false", []string{"tls.cert", "tls.key", "tls.ca"}},
		{"unknown key", "[limits]", "[limits]\nqueue = 3", []string{"limits.queue: unknown key"}},
		{"two faults", `region   = "north"`, "region = \"\"\nlevel2 = 1", []string{"region: is empty", "level2: unknown key"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !strings.Contains(valid, tt.old) {
				t.Fatalf("the sample lacks %q", tt.old)
			}
			_, err := loadSettings(t, strings.Replace(valid, tt.old, tt.new, 1))
			if len(tt.want) == 0 && err != nil {
				t.Fatal(err)
			}
			for _, want := range tt.want {
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("err = %v, want %q", err, want)
				}
			}
		})
	}
}

// Guards against Load returning settings that Check rejects.
func FuzzSettings(f *testing.F) {
	f.Add("name = \"entry-1\"\n[budgets]\nahead = 0.5\nfold = \"5m\"\n")
	f.Add("[listen]\nhttp = \"127.0.0.1:1\"\n[trust]\na = \"b\"\n[[peers]]\nname = \"p\"\n")
	f.Add("regions = [\"a\", 1]\n[tls]\nplain = true\n")
	f.Fuzz(func(t *testing.T, text string) {
		cfg, err := loadSettings(t, text)
		if err == nil && cfg.Check() != nil {
			t.Errorf("settings pass although they are invalid: %v", cfg.Check())
		}
	})
}
