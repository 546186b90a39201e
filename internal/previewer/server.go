package previewer

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	queryPath = "/preview"
	// maxQuery covers a body of the largest size that is usual.
	maxQuery = 16 << 20
	// serveTimeout bounds a query and its answer.
	serveTimeout = 10 * time.Second
	suffix       = ".sock"
)

// SocketPath returns the path of the socket of an instance.
func SocketPath(dir, instance string) string { return filepath.Join(dir, instance+suffix) }

// Listen opens the socket of an instance. The directory is created if there is none. It must
// not be open to other users: connecting to a socket is not restricted on all systems by the
// mode of the socket itself. A socket that a former process left is replaced.
func Listen(dir, instance string) (net.Listener, error) {
	if strings.ContainsRune(instance, filepath.Separator) {
		return nil, fmt.Errorf("open socket: instance name %q has a separator", instance)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("create directory of the socket: %w", err)
	}
	info, err := os.Stat(dir)
	if err != nil {
		return nil, fmt.Errorf("stat directory of the socket: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("directory %s of the socket has mode %04o, must be 0700", dir, info.Mode().Perm())
	}
	path := SocketPath(dir, instance)
	if old, err := os.Lstat(path); err == nil && old.Mode()&fs.ModeSocket != 0 {
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("remove former socket: %w", err)
		}
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("listen on socket: %w", err)
	}
	// A process that stops late would remove the socket of the one that replaced it.
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	return l, nil
}

// Serve answers queries until the listener is closed. It computes one answer at a time.
func Serve(l net.Listener, preview func(Query) Report) error {
	mux := http.NewServeMux()
	var mu sync.Mutex
	mux.HandleFunc("POST "+queryPath, func(w http.ResponseWriter, r *http.Request) {
		var q Query
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuery))
		dec.DisallowUnknownFields()
		err := dec.Decode(&q)
		if err == nil {
			err = q.Check()
		}
		if err != nil {
			http.Error(w, "invalid query: "+err.Error(), http.StatusBadRequest)
			return
		}
		mu.Lock()
		report := preview(q)
		mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report) // the operator may be gone
	})
	srv := &http.Server{Handler: mux, ReadTimeout: serveTimeout, WriteTimeout: serveTimeout, IdleTimeout: serveTimeout}
	if err := srv.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve previews: %w", err)
	}
	return nil
}
