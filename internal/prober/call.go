package prober

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/checker"
)

const (
	callTimeout  = 30 * time.Second
	callInterval = 100 * time.Millisecond
)

// errStatus is returned for a response with an error status.
var errStatus = errors.New("error status")

type callCommand struct {
	Method string        `short:"X" long:"method" default:"GET" description:"HTTP method"`
	Header []string      `short:"H" long:"header" value-name:"NAME: VALUE" description:"request header, may be repeated"`
	Data   string        `short:"d" long:"data" description:"request body"`
	Wait   time.Duration `long:"wait" description:"retry until the response has no error status, at most for this time"`
	Show   []string      `long:"show" value-name:"NAME" description:"print this response header before the body, may be repeated"`
	Args   struct {
		URL string `positional-arg-name:"URL" required:"true" description:"HTTP URL with a loopback address"`
	} `positional-args:"true"`
}

// Execute implements [flags.Commander]. It sends one request, with retries if a wait
// time is set, and prints the response as it arrives.
func (c *callCommand) Execute([]string) error {
	var f checker.Validator
	checkURL(&f, "URL", c.Args.URL)
	if err := f.Err(); err != nil {
		return err
	}
	deadline := time.Now().Add(c.Wait)
	for {
		err := c.callOnce(os.Stdout)
		if err == nil || !time.Now().Before(deadline) {
			return err
		}
		time.Sleep(callInterval)
	}
}

func (c *callCommand) callOnce(out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.Method, c.Args.URL, strings.NewReader(c.Data))
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	// With GetBody set, net/http retries a request that carries an Idempotency-Key by
	// itself after the connection failed.
	req.GetBody = nil
	for _, h := range c.Header {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Set(name, strings.TrimSpace(value))
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest && c.Wait > 0 {
		return fmt.Errorf("call %s: %w %d", c.Args.URL, errStatus, res.StatusCode)
	}
	for _, name := range c.Show {
		fmt.Fprintf(out, "%s: %s\n", name, res.Header.Get(name))
	}
	if _, err := io.Copy(out, res.Body); err != nil {
		return fmt.Errorf("read response of %s: %w", c.Args.URL, err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("call %s: %w %d", c.Args.URL, errStatus, res.StatusCode)
	}
	return nil
}
