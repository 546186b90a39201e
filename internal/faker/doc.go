// Package faker has stand-ins for the outside systems: the platform, a model
// engine and a plain booking service. They serve tests and experiments only.
//
// Each stand-in is an [http.Handler] and takes fault switches at POST /faults.
// Fields left out of the body keep their value.
//
// # Usage
//
//	p := faker.NewPlatform()
//	srv := httptest.NewServer(p)
//	p.Set(faker.PlatformFaults{Outage: faker.Ptr(true)})
//
// Over HTTP:
//
//	POST /faults     {"outage": true, "delay": "200ms", "lose": 1, "cut": ["entry-1*"], "rate": 500, "lag": "30s"}
//	POST /instances  {"action": "add", "instance": {"name": "entry-1", ...}}
//	POST /instances  {"action": "leave", "name": "entry-1"}
package faker

import (
	"encoding/json"
	"io"
	"net/http"

	"daisylane/internal/checker"
)

const maxBodyBytes = 8 << 20

// Ptr returns a pointer to v, for fields of fault switches.
func Ptr[T any](v T) *T { return &v }

func assign[T any](dst, src *T) {
	if src != nil {
		*dst = *src
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func fail(w http.ResponseWriter, status int, text string) {
	reply(w, status, map[string]any{"error": map[string]string{"message": text}})
}

// accept handles a body in a format of the stand-ins: it decodes, checks and passes it on.
func accept[T checker.Checker](f func(http.ResponseWriter, T)) http.HandlerFunc {
	return handle(checker.Decode[T], f)
}

// acceptOpen is accept for an outside format, of which unknown fields are ignored.
func acceptOpen[T checker.Checker](f func(http.ResponseWriter, T)) http.HandlerFunc {
	return handle(func(data []byte) (T, error) {
		var v T
		if err := json.Unmarshal(data, &v); err != nil {
			return v, err
		}
		return v, v.Check()
	}, f)
}

func handle[T any](decode func([]byte) (T, error), f func(http.ResponseWriter, T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			fail(w, http.StatusBadRequest, err.Error())
			return
		}
		v, err := decode(data)
		if err != nil {
			fail(w, http.StatusBadRequest, err.Error())
			return
		}
		f(w, v)
	}
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }
