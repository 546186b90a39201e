package faker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/invoker"
	"daisylane/internal/loader"
)

const (
	headerTimeout = 5 * time.Second
)

type listenOption struct {
	Listen string `long:"listen" required:"true" description:"address to serve on"`
}

type platformCommand struct{ listenOption }

type engineCommand struct {
	listenOption
	Models   []string      `long:"model" description:"served model, may be repeated (default: all)"`
	Slots    int           `long:"slots" default:"8" description:"number of concurrent requests"`
	Blocks   int           `long:"blocks" default:"4096" description:"size of the prefix cache, in blocks of 16 tokens"`
	Interval time.Duration `long:"interval" default:"5ms" description:"time between tokens"`
	Prefill  time.Duration `long:"prefill" default:"50us" description:"time per uncached prompt token"`
	Lag      time.Duration `long:"lag" default:"1s" description:"maximum age of the load report"`
	Fenced   bool          `long:"fenced" description:"reject orders with an outdated fencing number"`
}

type bookingCommand struct{ listenOption }

// Main runs a command line and returns the exit status.
func Main(args []string) int {
	return invoker.RunCommand("standin", []invoker.Command{
		{Name: "platform", Description: "Serve the object API and the instance list", Commander: &platformCommand{}},
		{Name: "engine", Description: "Serve a model engine", Commander: &engineCommand{}},
		{Name: "booking", Description: "Serve a booking service", Commander: &bookingCommand{}},
	}, args)
}

// Execute implements [flags.Commander].
func (c *platformCommand) Execute([]string) error { return c.serve(NewPlatform()) }

// Execute implements [flags.Commander].
func (c *engineCommand) Execute([]string) error {
	return c.serve(NewEngine(EngineConfig{
		Models: c.Models, Slots: c.Slots, CacheBlocks: c.Blocks, Fenced: c.Fenced,
		TokenInterval: loader.Duration(c.Interval), PrefillPerToken: loader.Duration(c.Prefill), LoadLag: loader.Duration(c.Lag),
	}))
}

// Execute implements [flags.Commander].
func (c *bookingCommand) Execute([]string) error { return c.serve(NewBooking()) }

// serve prints the listen address and serves until SIGINT or SIGTERM.
func (l listenOption) serve(h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ln, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", l.Listen, err)
	}
	fmt.Println("listening on", ln.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", ln.Addr(), err)
	}
	return nil
}
