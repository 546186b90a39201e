package router

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readBody returns the request body, up to maxBodyBytes.
func readBody(w http.ResponseWriter, hr *http.Request) ([]byte, *Error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, maxBodyBytes))
	if err == nil {
		return data, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRun(http.StatusRequestEntityTooLarge, "body", "the body is larger than %d bytes", maxBodyBytes)
	}
	return nil, notRun(http.StatusBadRequest, "body", "the body could not be read: %v", err)
}
