package storer_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/faker"
	"daisylane/internal/loader"
	"daisylane/internal/storer"
)

func startPlatform(t *testing.T) (*faker.Platform, *storer.Client) {
	t.Helper()
	p := faker.NewPlatform()
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	return p, storer.New(srv.URL, storer.WithName("entry-1"), storer.WithTimeout(time.Second))
}

func mustPut(t *testing.T, c *storer.Client, key, body string, version uint64) uint64 {
	t.Helper()
	next, err := c.Put(t.Context(), key, []byte(body), version)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// Guards against a write over a newer version (lost update), and against a conflict
// error without the current version and body.
func TestConflict(t *testing.T) {
	_, c := startPlatform(t)
	first := mustPut(t, c, "shard/1 a%", "one", 0)
	second := mustPut(t, c, "shard/1 a%", "two", first)
	tests := []struct {
		name    string
		write   func() error
		version uint64
		body    string
	}{
		{"create", func() error { _, err := c.Put(t.Context(), "shard/1 a%", nil, 0); return err }, second, "two"},
		{"update", func() error { _, err := c.Put(t.Context(), "shard/1 a%", nil, first); return err }, second, "two"},
		{"delete", func() error { return c.Delete(t.Context(), "shard/1 a%", first) }, second, "two"},
		{"absent", func() error { _, err := c.Put(t.Context(), "shard/2", nil, first); return err }, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.write()
			var conflict *storer.ConflictError
			if !errors.As(err, &conflict) || !errors.Is(err, storer.ErrConflict) || !storer.HadNoEffect(err) {
				t.Fatalf("err = %v, want a conflict", err)
			}
			if conflict.Version != tt.version || string(conflict.Body) != tt.body {
				t.Errorf("conflict = %d %q, want %d %q", conflict.Version, conflict.Body, tt.version, tt.body)
			}
		})
	}
	if err := c.Delete(t.Context(), "shard/1 a%", second); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Get(t.Context(), "shard/1 a%"); !errors.Is(err, storer.ErrAbsent) {
		t.Errorf("err = %v, want ErrAbsent", err)
	}
}

// Guards against reporting a write as failed or successful when its response is lost,
// and against a client that retries such a write.
func TestLostResponse(t *testing.T) {
	p, c := startPlatform(t)
	first := mustPut(t, c, "journal/a/0", "one", 0)
	p.SetFaults(faker.PlatformFaults{LoseResponses: faker.Ptr(1)})
	_, err := c.Put(t.Context(), "journal/a/0", []byte("two"), first)
	if !errors.Is(err, storer.ErrUncertain) || errors.Is(err, storer.ErrUnavailable) || storer.HadNoEffect(err) {
		t.Fatalf("err = %v, want ErrUncertain", err)
	}
	item, err := c.Get(t.Context(), "journal/a/0")
	if err != nil || string(item.Body) != "two" || item.Version == first {
		t.Errorf("read back %+v, %v", item, err)
	}
	if n := p.Calls().Writes; n != 2 {
		t.Errorf("%d writes reached the platform, want 2: the client retried a write", n)
	}
}

// Guards against reporting that a write had no effect when it times out at the client
// and takes effect later.
func TestSlowWrite(t *testing.T) {
	p, _ := startPlatform(t)
	srv := httptest.NewServer(p)
	defer srv.Close()
	p.SetFaults(faker.PlatformFaults{Delay: faker.Ptr(loader.Duration(200 * time.Millisecond))})
	c := storer.New(srv.URL, storer.WithTimeout(50*time.Millisecond))
	if _, err := c.Put(t.Context(), "a", nil, 0); !errors.Is(err, storer.ErrUncertain) {
		t.Errorf("err = %v, want ErrUncertain", err)
	}
	p.SetFaults(faker.PlatformFaults{Delay: faker.Ptr(loader.Duration(0))})
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if _, err := c.Get(t.Context(), "a"); err == nil {
			return
		}
	}
	t.Error("write did not take effect")
}

// Guards against reporting a rejected or unsent write as uncertain, and an uncertain
// one as rejected or unsent.
func TestErrors(t *testing.T) {
	tests := []struct {
		name        string
		status      int
		read, write error
	}{
		{"outage", http.StatusServiceUnavailable, storer.ErrUnavailable, storer.ErrUnavailable},
		{"rate", http.StatusTooManyRequests, storer.ErrUnavailable, storer.ErrUnavailable},
		{"gateway", http.StatusBadGateway, storer.ErrUnavailable, storer.ErrUncertain},
		{"size", http.StatusRequestEntityTooLarge, storer.ErrTooLarge, storer.ErrTooLarge},
		{"malformed", http.StatusBadRequest, storer.ErrInvalid, storer.ErrInvalid},
		{"no ETag", http.StatusOK, storer.ErrInvalid, storer.ErrUncertain},
		{"connection closed", 0, storer.ErrUnavailable, storer.ErrUncertain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(tt.status)
			}))
			defer srv.Close()
			checkErrors(t, storer.New(srv.URL), tt.read, tt.write)
		})
	}
	t.Run("dial", func(t *testing.T) {
		srv := httptest.NewServer(http.NotFoundHandler())
		srv.Close()
		checkErrors(t, storer.New(srv.URL), storer.ErrUnavailable, storer.ErrUnavailable)
	})
	t.Run("cancelled", func(t *testing.T) {
		_, c := startPlatform(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := c.Put(ctx, "a", nil, 0); !errors.Is(err, storer.ErrUnavailable) || !errors.Is(err, context.Canceled) {
			t.Errorf("err = %v, want ErrUnavailable", err)
		}
	})
}

func checkErrors(t *testing.T, c *storer.Client, read, write error) {
	t.Helper()
	if _, err := c.Get(t.Context(), "a"); !errors.Is(err, read) {
		t.Errorf("get: %v, want %v", err, read)
	}
	if _, err := c.Put(t.Context(), "a", []byte("x"), 1); !errors.Is(err, write) || errors.Is(err, storer.ErrUnavailable) != (write == storer.ErrUnavailable) {
		t.Errorf("put: %v, want %v", err, write)
	}
}

// Guards against wrong errors for the faults that the fake platform injects: an outage,
// a partition by client name, a rate limit and an object over the size limit.
func TestFaults(t *testing.T) {
	p, c := startPlatform(t)
	p.SetFaults(faker.PlatformFaults{Outage: faker.Ptr(true)})
	checkErrors(t, c, storer.ErrUnavailable, storer.ErrUnavailable)
	p.SetFaults(faker.PlatformFaults{Outage: faker.Ptr(false), CutClients: faker.Ptr([]string{"entry-2*"})})
	checkErrors(t, c, storer.ErrAbsent, storer.ErrConflict)
	p.SetFaults(faker.PlatformFaults{CutClients: faker.Ptr([]string{"entry-1*"})})
	checkErrors(t, c, storer.ErrUnavailable, storer.ErrUncertain)
	p.SetFaults(faker.PlatformFaults{CutClients: faker.Ptr([]string{}), RateLimit: faker.Ptr(0.001)})
	checkErrors(t, c, storer.ErrAbsent, storer.ErrUnavailable)
	if _, err := c.Put(t.Context(), "a", make([]byte, storer.MaxBodyBytes+1), 0); !errors.Is(err, storer.ErrTooLarge) {
		t.Errorf("err = %v, want ErrTooLarge", err)
	}
}

// Guards against a watch that misses a change or a deletion, returns early, or keeps
// waiting through an outage.
func TestWatch(t *testing.T) {
	p, c := startPlatform(t)
	first := mustPut(t, c, "bundle/head", "one", 0)
	mustPut(t, c, "other", "", 0)
	items, revision, err := c.Watch(t.Context(), "bundle/", 0, time.Minute)
	if err != nil || len(items) != 1 || items[0].Version != first || string(items[0].Body) != "one" {
		t.Fatalf("watch from the start: %+v, %v", items, err)
	}
	if items, next, err := c.Watch(t.Context(), "bundle/", revision, 10*time.Millisecond); err != nil || len(items) != 0 || next < revision {
		t.Errorf("watch without a change: %+v, %d, %v", items, next, err)
	}
	time.AfterFunc(20*time.Millisecond, func() { _ = c.Delete(context.Background(), "bundle/head", first) })
	items, _, err = c.Watch(t.Context(), "bundle/", revision, time.Minute)
	if err != nil || len(items) != 1 || items[0].Key != "bundle/head" || items[0].Version != 0 {
		t.Errorf("watch of a deletion: %+v, %v", items, err)
	}
	time.AfterFunc(20*time.Millisecond, func() { p.SetFaults(faker.PlatformFaults{Outage: faker.Ptr(true)}) })
	if _, _, err := c.Watch(t.Context(), "none/", 0, time.Minute); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("watch in an outage: %v, want ErrUnavailable", err)
	}
}

// Guards against a list that is unordered or ignores the prefix, and against tests that
// run without the delay of the platform's instance list.
func TestList(t *testing.T) {
	p, c := startPlatform(t)
	for _, key := range []string{"member/b", "member/a", "membership"} {
		mustPut(t, c, key, key, 0)
	}
	items, err := c.List(t.Context(), "member/")
	if err != nil || len(items) != 2 || items[0].Key != "member/a" || string(items[1].Body) != "member/b" {
		t.Errorf("list: %+v, %v", items, err)
	}
	in := storer.Instance{Name: "side-1", Role: "side", Centre: "c1", Region: "r1", Addr: "127.0.0.1:1", State: storer.StateLive}
	p.SetFaults(faker.PlatformFaults{InstanceLag: faker.Ptr(loader.Duration(300 * time.Millisecond))})
	p.ApplyChange(faker.InstanceChange{Action: faker.ActionAdd, Instance: &in})
	if list, err := c.Instances(t.Context()); err != nil || len(list) != 0 {
		t.Errorf("instances: %+v, %v, want none yet", list, err)
	}
	awaitState(t, c, storer.StateLive)
	p.ApplyChange(faker.InstanceChange{Action: faker.ActionLeave, Name: "side-1"})
	if list, err := c.Instances(t.Context()); err != nil || list[0].State != storer.StateLive {
		t.Errorf("instances: %+v, %v, want a live one", list, err)
	}
	awaitState(t, c, storer.StateLeaving)
}

func awaitState(t *testing.T, c *storer.Client, want storer.State) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		list, err := c.Instances(t.Context())
		if err == nil && len(list) == 1 && list[0].State == want {
			return
		}
	}
	t.Fatalf("the instance list never showed the instance as %s", want)
}

// Guards against malformed responses that make the client panic or pass its checks.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":2,"items":[{"key":"a","version":1,"body":"YQ=="}]}`), `"1"`)
	f.Add([]byte(`{"revision":0,"items":[{"key":"","version":9}]}`), `W/"1"`)
	f.Add([]byte(`[{"name":"a","addr":"x"}]`), "")
	var body []byte
	var tag string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", tag)
		_, _ = w.Write(body)
	}))
	f.Cleanup(srv.Close)
	c := storer.New(srv.URL)
	f.Fuzz(func(t *testing.T, data []byte, etag string) {
		body, tag = data, etag
		if item, err := c.Get(t.Context(), "a"); err == nil && (item.Version == 0 || !bytes.Equal(item.Body, data)) {
			t.Errorf("get: %+v", item)
		}
		items, err := c.List(t.Context(), "")
		for _, i := range items {
			if err == nil && i.Check() != nil {
				t.Errorf("list: %v", i.Check())
			}
		}
		list, err := c.Instances(t.Context())
		for _, i := range list {
			if err == nil && i.Check() != nil {
				t.Errorf("instances: %v", i.Check())
			}
		}
	})
}
