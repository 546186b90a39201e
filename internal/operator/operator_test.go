package operator

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/internal/faker"
)

type operatorDir struct{ dir, url string }

func (o operatorDir) run(args ...string) (int, string) {
	var out bytes.Buffer
	args = append([]string{"--platform", o.url, "-s", filepath.Join(o.dir, "operator.toml")}, args...)
	code := Main(args, &out, &out)
	return code, out.String()
}

func newOperatorDir(t *testing.T, url string) operatorDir {
	t.Helper()
	o := operatorDir{t.TempDir(), url}
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(o.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("operator.toml", "")
	code, text := o.run("key", "new", "--operator", "ann", "--out", filepath.Join(o.dir, "ann.key"))
	if code != exitOK {
		t.Fatal(text)
	}
	write("operator.toml", fmt.Sprintf("author = \"ann\"\nkey = %q\nplain = true\n%s", filepath.Join(o.dir, "ann.key"), text))
	write("bundle.toml", "regions = [\"north\"]\n")
	return o
}

// Guards against concurrent pushes of the same version that both report success,
// and against a conflict error that does not name the author of the winning push.
func TestPushRace(t *testing.T) {
	srv := httptest.NewServer(faker.NewPlatform())
	defer srv.Close()
	o := newOperatorDir(t, srv.URL)
	const pushes = 8
	var wg sync.WaitGroup
	var mu sync.Mutex
	codes := make(map[int]int)
	for i := range pushes {
		wg.Go(func() {
			code, text := o.run("bundle", "push", "--base", "0", "--note", fmt.Sprint("racer ", i), filepath.Join(o.dir, "bundle.toml"))
			mu.Lock()
			defer mu.Unlock()
			codes[code]++
			if code == exitConflict && !strings.Contains(text, "ann put version 1 in force at "+time.Now().UTC().Format("2006")) {
				t.Errorf("conflict does not name the winner: %s", text)
			}
		})
	}
	wg.Wait()
	if codes[exitOK] != 1 || codes[exitConflict] != pushes-1 {
		t.Errorf("exit codes = %v, want one 0 and %d conflicts", codes, pushes-1)
	}
}

// Guards against top-ups that are lost or counted twice when operators update the
// same shard object concurrently and responses are lost.
func TestTopUpRace(t *testing.T) {
	stub := faker.NewPlatform()
	srv := httptest.NewServer(stub)
	defer srv.Close()
	o := newOperatorDir(t, srv.URL)
	stub.SetFaults(faker.PlatformFaults{LoseResponses: faker.Ptr(2)})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			if code, text := o.run("budget", "topup", "care", "100"); code != exitOK {
				t.Error(text)
			}
		})
	}
	wg.Wait()
	if _, text := o.run("budget", "show", "care"); !strings.Contains(text, "topped 400, settled 0, free 400") {
		t.Error(text)
	}
}
