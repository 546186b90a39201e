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

const (
	promptTokens    = 50
	streamEvents    = 10
	tokensPerEvent  = 4
	requestDeadline = 3 * time.Second
)

// callResult is the outcome of one request as observed by the client.
type callResult struct {
	id, path, account string
	started           time.Time
	status            int
	body              string
	events            int
	err               error // set if no complete response was read
}

// client sends requests over persistent connections.
type client struct {
	env          *environment
	rng          *rand.Rand
	http         *http.Client
	name         string
	n            int
	newestServed map[string]int // newest configuration version served, by instance and incarnation
}

func newClient(env *environment, n int) *client {
	return &client{
		env: env, rng: rand.New(rand.NewPCG(env.seed, uint64(n)+100)), name: fmt.Sprint("c", n),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, newestServed: make(map[string]int),
	}
}

// run sends random requests until ctx is done.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		p := c.env.entries[c.rng.IntN(len(c.env.entries))]
		if c.rng.IntN(5) == 0 {
			c.checkConfigVersion(p)
		} else {
			c.send(p, pick(c.rng, "/book/", "/look/", "/plan/", "/plan/", "/sum/"), pick(c.rng, "a1", "a2", "a3"))
		}
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
	c.http.CloseIdleConnections()
}

func pick[T any](rng *rand.Rand, list ...T) T { return list[rng.IntN(len(list))] }

// send sends one request and records its result.
func (c *client) send(p *process, path, account string) callResult {
	c.n++
	result := callResult{id: fmt.Sprintf("%s-%d", c.name, c.n), path: path, account: account, started: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline+time.Second)
	defer cancel()
	method := http.MethodPost
	if path == "/look/" || strings.HasPrefix(path, "/v") {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.frontendAddr()+path+result.id, nil)
	if err != nil {
		result.err = err
		return result
	}
	req.Host = "a.example"
	req.Header.Set("Daisylane-Attempt-Id", result.id)
	req.Header.Set("Daisylane-Deadline-Ms", fmt.Sprint(requestDeadline.Milliseconds()))
	req.Header.Set("Api-Key", account)
	if isStreaming(path) {
		req.Header.Set("Daisylane-Token-Usage", fmt.Sprintf("%d,%d", promptTokens, streamEvents*tokensPerEvent))
		req.Header.Set("Daisylane-Prompt-Prefix", fmt.Sprintf("%x:40,%x:10", c.rng.IntN(5), c.rng.Uint64()))
	}
	c.exchange(req, &result)
	c.env.recordResult(result)
	return result
}

func isStreaming(path string) bool { return path == "/plan/" || path == "/sum/" }

func (c *client) exchange(req *http.Request, result *callResult) {
	res, err := c.http.Do(req)
	if err != nil {
		result.err = err
		return
	}
	defer res.Body.Close()
	result.status = res.StatusCode
	var b strings.Builder
	r := bufio.NewReader(res.Body)
	for {
		text, err := r.ReadString('\n')
		b.WriteString(text)
		if strings.HasPrefix(text, "data:") {
			result.events++
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			result.err = err
			break
		}
	}
	result.body = b.String()
}

// checkConfigVersion requests a route that a configuration version added. An
// incarnation that served a version must not revert to an older one.
func (c *client) checkConfigVersion(p *process) {
	version, before := c.env.configVersion(), p.incarnation()
	if version == 0 {
		return
	}
	n := max(1, version-c.rng.IntN(3))
	result := c.send(p, fmt.Sprintf("/v%d/", n), "a1")
	if p.incarnation() != before {
		return // the response may come from either incarnation
	}
	key := fmt.Sprint(p.name, ".", before)
	switch {
	case result.status == http.StatusOK:
		c.newestServed[key] = max(c.newestServed[key], n)
	case result.status == http.StatusNotFound && n <= c.newestServed[key]:
		c.env.fail("%s reverted its configuration: version %d is not served although %d was (request %s)", p.name, n, c.newestServed[key], result.id)
	}
}
