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
	frontendPort = 18080
	readyPort    = 18081
	peerPort     = 18090
	gracePeriod  = 4 * time.Second
)

// process is one instance across its restarts.
type process struct {
	name         string
	binary       string
	ip           string
	settingsPath string
	log          *os.File

	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{}
	expectRunning   bool // an exit is unexpected while set
	starts          int
	unexpectedExits []string
}

// newProcess writes the settings of an instance and starts it.
func newProcess(t *testing.T, dir, binary, name, ip, store string) *process {
	t.Helper()
	data, err := json.Marshal(map[string]any{
		"node_name": name, "ip": ip, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen": map[string]string{
			"frontend": fmt.Sprintf("%s:%d", ip, frontendPort), "ready": fmt.Sprintf("%s:%d", ip, readyPort),
		},
		"port_range": []int{peerPort, peerPort + 5}, "limits": map[string]any{"memory_mb": 134},
		"platform": map[string]any{"address": store, "writes_per_s": 400, "reads_per_s": 2000},
		"bounds":   map[string]any{"grace_s": gracePeriod.Seconds(), "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 54},
	})
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, binary: binary, ip: ip, settingsPath: filepath.Join(dir, name+".json")}
	if err := os.WriteFile(p.settingsPath, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if p.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		t.Fatal(err)
	}
	p.start(t)
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		p.waitExit(2 * time.Second) // the next seed uses the same ports
		_ = p.log.Close()
	})
	return p
}

func (p *process) start(t *testing.T) {
	cmd := exec.Command(p.binary, "--platform", "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	exited := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		t.Errorf("start %s: %v", p.name, err)
		return
	}
	p.cmd, p.exited, p.expectRunning = cmd, exited, true
	p.starts++
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if p.expectRunning && p.cmd == cmd {
			p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
		}
		p.mu.Unlock()
		close(exited)
	}()
}

// signal sends a signal to the process. All signals but SIGSTOP, SIGCONT and SIGHUP
// are expected to terminate it.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != syscall.SIGSTOP && s != syscall.SIGCONT && s != syscall.SIGHUP {
		p.expectRunning = false
	}
	_ = p.cmd.Process.Signal(s) // the process may have exited
}

// waitExit waits for the process to exit and reports whether it did so within the limit.
func (p *process) waitExit(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// incarnation returns the number of starts so far, which identifies the running incarnation.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

func (p *process) frontendAddr() string { return net.JoinHostPort(p.ip, fmt.Sprint(frontendPort)) }

func (p *process) ready() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get(fmt.Sprintf("http://%s:%d%s", p.ip, readyPort, platform.ReadyPath))
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}
