package verifier_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"daisylane/internal/verifier"
)

// Guards against a server with TLS that can't be called, or is called by another protocol than
// the one whose responses are checked.
func TestTLS(t *testing.T) {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/broken" {
			c, _, _ := http.NewResponseController(w).Hijack()
			_, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(w, r.Proto)
	}))
	srv.EnableHTTP2 = true
	srv.StartTLS()
	defer srv.Close()
	base := srv.Client().Transport.(*http.Transport).Clone()
	client := http.Client{Transport: verifier.NewTransport(base)}
	res, err := client.Get(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if body, err := io.ReadAll(res.Body); err != nil || string(body) != "HTTP/1.1" {
		t.Errorf("got %q, %v, want a request by HTTP/1.1", body, err)
	}
	if res, err := client.Get(srv.URL + "/broken"); err == nil {
		_ = res.Body.Close()
		t.Errorf("got %v, want an error", res)
	}
}
