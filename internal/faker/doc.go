// Package faker provides stand-ins for the external systems: the platform, a model
// engine and a booking service. They are for tests and experiments only.
//
// Each stand-in is an [http.Handler] and accepts fault switches at POST /faults.
// Fields that the body omits keep their values.
//
// # Usage
//
//	p := faker.NewPlatform()
//	srv := httptest.NewServer(p)
//	p.SetFaults(faker.PlatformFaults{Outage: faker.Ptr(true)})
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

// Ptr returns a pointer to v, for the fields of fault switches.
func Ptr[T any](v T) *T { return &v }

func setIfPresent[T any](dst, src *T) {
	if src != nil {
		*dst = *src
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"message": text}})
}

// handleStrict decodes and validates a body in a format of the stand-ins and passes it
// to f.
func handleStrict[T checker.Checker](f func(http.ResponseWriter, T)) http.HandlerFunc {
	return handleBody(checker.Decode[T], f)
}

// handleLenient is like handleStrict, but ignores unknown fields. It is for external
// formats.
func handleLenient[T checker.Checker](f func(http.ResponseWriter, T)) http.HandlerFunc {
	return handleBody(func(data []byte) (T, error) {
		var v T
		if err := json.Unmarshal(data, &v); err != nil {
			return v, err
		}
		return v, v.Check()
	}, f)
}

func handleBody[T any](decode func([]byte) (T, error), f func(http.ResponseWriter, T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		v, err := decode(data)
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		f(w, v)
	}
}

// abortConnection closes the connection without completing the response.
func abortConnection() { panic(http.ErrAbortHandler) }
