package soaker

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"daisylane/platform"
)

const (
	callersPort = 18080
	readyPort   = 18081
	peerPort    = 18090
	graceTime   = 4 * time.Second
)

// process is one instance, over its restarts.
type process struct {
	name   string
	binary string
	ip     string
	path   string // of the settings
	log    *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	wanted  bool // that it runs
	starts  int
	strange []string // ends that nobody asked for
}

// newProcess writes the settings of an instance and starts it.
func newProcess(t *testing.T, dir, binary, name, ip, store string) *process {
	t.Helper()
	data, err := json.Marshal(map[string]any{
		"node_name": name, "ip": ip, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen": map[string]string{
			"frontend": fmt.Sprintf("%s:%d", ip, callersPort), "ready": fmt.Sprintf("%s:%d", ip, readyPort),
		},
		"port_range": []int{peerPort, peerPort + 5}, "limits": map[string]any{"memory_mb": 134},
		"platform": map[string]any{"address": store, "writes_per_s": 400, "reads_per_s": 2000},
		"bounds":   map[string]any{"grace_s": graceTime.Seconds(), "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 54},
	})
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, binary: binary, ip: ip, path: filepath.Join(dir, name+".json")}
	if err := os.WriteFile(p.path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if p.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		t.Fatal(err)
	}
	p.start(t)
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		p.wait(2 * time.Second) // its ports are used by the next seed
		_ = p.log.Close()
	})
	return p
}

func (p *process) start(t *testing.T) {
	cmd := exec.Command(p.binary, "--platform", "--settings", p.path)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	ended := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		t.Errorf("start %s: %v", p.name, err)
		return
	}
	p.cmd, p.ended, p.wanted = cmd, ended, true
	p.starts++
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if p.wanted && p.cmd == cmd {
			p.strange = append(p.strange, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		p.mu.Unlock()
		close(ended)
	}()
}

// signal sends a signal to the process. All but SIGSTOP and SIGCONT end it.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != syscall.SIGSTOP && s != syscall.SIGCONT && s != syscall.SIGHUP {
		p.wanted = false
	}
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// wait waits for the end of the process and reports whether it came in time.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// incarnation returns a number that changes with each start.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

func (p *process) callers() string { return net.JoinHostPort(p.ip, fmt.Sprint(callersPort)) }

func (p *process) ready() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get(fmt.Sprintf("http://%s:%d%s", p.ip, readyPort, platform.ReadyPath))
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}
