package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Sizes of the requests, in tokens and events.
const (
	promptTokens = 50
	streamEvents = 10
	perEvent     = 4
	patience     = 3 * time.Second
)

// call is one request as its caller saw it.
type call struct {
	id, path, account string
	began             time.Time
	status            int
	body              string
	events            int
	err               error // the answer is not whole
}

// client sends requests over kept connections.
type client struct {
	w    *world
	rng  *rand.Rand
	http *http.Client
	name string
	n    int
	seen map[string]int // newest configuration that an incarnation of an instance served
}

func newClient(w *world, n int) *client {
	return &client{
		w: w, rng: rand.New(rand.NewPCG(w.seed, uint64(n)+100)), name: fmt.Sprint("c", n),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, seen: make(map[string]int),
	}
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		p := c.w.entries[c.rng.IntN(len(c.w.entries))]
		if c.rng.IntN(5) == 0 {
			c.probeConfig(p)
		} else {
			c.send(p, pick(c.rng, "/book/", "/look/", "/plan/", "/plan/", "/sum/"), pick(c.rng, "a1", "a2", "a3"))
		}
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
	c.http.CloseIdleConnections()
}

func pick[T any](rng *rand.Rand, list ...T) T { return list[rng.IntN(len(list))] }

// send makes one request and records what came of it.
func (c *client) send(p *process, path, account string) call {
	c.n++
	k := call{id: fmt.Sprintf("%s-%d", c.name, c.n), path: path, account: account, began: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), patience+time.Second)
	defer cancel()
	method := http.MethodPost
	if path == "/look/" || strings.HasPrefix(path, "/v") {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.callers()+path+k.id, nil)
	if err != nil {
		k.err = err
		return k
	}
	req.Host = "a.example"
	req.Header.Set("Daisylane-Attempt-Id", k.id)
	req.Header.Set("Daisylane-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	req.Header.Set("Api-Key", account)
	if streams(path) {
		req.Header.Set("Daisylane-Token-Usage", fmt.Sprintf("%d,%d", promptTokens, streamEvents*perEvent))
		req.Header.Set("Daisylane-Prompt-Prefix", fmt.Sprintf("%x:40,%x:10", c.rng.IntN(5), c.rng.Uint64()))
	}
	c.exchange(req, &k)
	c.w.record(k)
	return k
}

func streams(path string) bool { return path == "/plan/" || path == "/sum/" }

func (c *client) exchange(req *http.Request, k *call) {
	res, err := c.http.Do(req)
	if err != nil {
		k.err = err
		return
	}
	defer res.Body.Close()
	k.status = res.StatusCode
	var b strings.Builder
	r := bufio.NewReader(res.Body)
	for {
		text, err := r.ReadString('\n')
		b.WriteString(text)
		if strings.HasPrefix(text, "data:") {
			k.events++
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			k.err = err
			break
		}
	}
	k.body = b.String()
}

// probeConfig asks for a route that a version of the configuration added. An
// incarnation that served a version must not go back.
func (c *client) probeConfig(p *process) {
	version, before := c.w.version(), p.incarnation()
	if version == 0 {
		return
	}
	n := max(1, version-c.rng.IntN(3))
	k := c.send(p, fmt.Sprintf("/v%d/", n), "a1")
	if p.incarnation() != before {
		return // the answer may be of either
	}
	key := fmt.Sprint(p.name, ".", before)
	switch {
	case k.status == http.StatusOK:
		c.seen[key] = max(c.seen[key], n)
	case k.status == http.StatusNotFound && n <= c.seen[key]:
		c.w.fail("%s went back: version %d is not served after %d was (request %s)", p.name, n, c.seen[key], k.id)
	}
}
