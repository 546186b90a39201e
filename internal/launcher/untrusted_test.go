package launcher

import (
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"daisylane/internal/flooder"
)

func TestMain(m *testing.M) {
	flooder.RunAsEntry(func(args []string) int { return Main(args, os.Stdout, os.Stderr) })
	os.Exit(m.Run())
}

// settingsOfProcess are the settings of an entry with an own process.
const settingsOfProcess = `
name = "entry-1"
centre = "north-1"
region = "north"
regions = ["north"]
platform = %q
[listen]
http = %q
peer = %q
[limits]
memory = %d
files = %d
[budgets]
shards = %d
[trust]
operator = %q
[tls]
plain = true
`

// Guards against clients of the own interface that end the process, fill its memory or its
// descriptors, or keep ordinary callers away.
func TestAbusiveClientsOfOwnInterface(t *testing.T) {
	bounds := flooder.Bounds{MemoryMiB: 112, Descriptors: 600, LogLines: 150}
	request := flooder.Request{
		Path: chatPath, Header: []string{"Authorization: Bearer " + testKey, "Content-Type: application/json"}, MaxBodyBytes: 2 << 20,
	}
	for _, k := range flooder.Cases {
		t.Run(k.Name, func(t *testing.T) {
			f := newFixture(t)
			f.pushBundle(testBundle())
			f.topUp("t1", 100_000_000)
			f.startModelTarget("side-1")
			addr, peer := freeAddr(t), freeAddr(t)
			path := filepath.Join(t.TempDir(), "entry.toml")
			settings := fmt.Sprintf(settingsOfProcess, f.platformServer.URL, addr, peer, bounds.MemoryMiB, bounds.Descriptors, testShards, base64.StdEncoding.EncodeToString(f.publicKey))
			if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
				t.Fatal(err)
			}
			f.listInstance("entry-1", "entry", peer)
			p := flooder.Start(t, "--settings", path)
			f.waitReady(&testProcess{url: "http://" + addr})
			http.DefaultClient.CloseIdleConnections()
			flood := k.Start(t, addr, request)
			defer flood.Stop()
			p.Verify(t, bounds, flood, func() error { return ordinaryChat(addr) })
		})
	}
}

// ordinaryChat sends a chat completion within the limits.
func ordinaryChat(addr string) error {
	body := chatBody(strings.Repeat("x ", flooder.SmallBytes/2-100), false)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+chatPath, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %.200s, error %v", res.StatusCode, answer, err)
	}
	return nil
}
