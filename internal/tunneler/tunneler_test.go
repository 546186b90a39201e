package tunneler

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/verifier"
	"daisylane/platform/platformtest"
)

// Guards against a relay that changes bytes, keeps the client connection open after the
// server has closed its own, or does not stop when its context ends.
func TestRelay(t *testing.T) {
	store := platformtest.Listen(t, func(c net.Conn) {
		line, err := bufio.NewReader(c).ReadString('\n')
		if err == nil {
			fmt.Fprintf(c, "echo %s", line)
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- New(store, zerolog.Nop()).Serve(ctx, l) }()

	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintln(c, "hello")
	br := bufio.NewReader(c)
	if line, err := br.ReadString('\n'); err != nil || line != "echo hello\n" {
		t.Errorf("got %q, %v", line, err)
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := br.ReadByte(); err == nil {
		t.Error("the connection stays open after the store has closed its end")
	}
	stop()
	select {
	case err := <-served:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(2 * time.Second):
		t.Error("the relay did not stop within 2 s")
	}
}

// Guards against a client connection that stays open when the relay cannot connect to
// the store: the caller would wait until its own timeout.
func TestUnreachable(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = New(closed.Addr().String(), zerolog.Nop()).Serve(t.Context(), l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("received bytes though the store is unreachable")
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Error("the connection stays open")
	}
}

// Guards against a response that looks complete to the client of a relay although its
// connection to the server was reset.
func TestReset(t *testing.T) {
	for _, a := range append(platformtest.SoundAnswers("", "ok"), platformtest.ResetAnswers("", "ok")...) {
		if a.Early && a.Whole {
			continue // the relay closes the connection while the request arrives
		}
		t.Run(a.Name, func(t *testing.T) {
			t.Parallel()
			addr, _ := platformtest.ServeAnswer(t, a)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = New(addr, zerolog.Nop()).Serve(t.Context(), l) }()
			client := http.Client{Transport: verifier.NewTransport(&http.Transport{})}
			res, err := client.Post("http://"+l.Addr().String(), "", strings.NewReader(strings.Repeat("x", 4<<20)))
			body := []byte(nil)
			if err == nil {
				body, err = io.ReadAll(res.Body)
				_ = res.Body.Close()
			}
			if (err == nil) != a.Whole || a.Whole && string(body) != a.Body {
				t.Errorf("got %q, %v, want a whole response: %v", body, err, a.Whole)
			}
		})
	}
}
