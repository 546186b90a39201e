package flooder

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// roleVariable is set in the environment of a test binary that runs as an entry.
const roleVariable = "FLOODER_ENTRY"

// RunAsEntry runs main in place of the tests if [Start] has started this process. It is
// called by TestMain.
func RunAsEntry(main func(args []string) int) {
	if os.Getenv(roleVariable) != "" {
		os.Exit(main(os.Args[1:]))
	}
}

// linesPerRequest is what a whole request may add to the log: one line, and one of an attempt
// that failed.
const linesPerRequest = 2

// Process is an entry that runs as a process of its own.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	log    string
}

// Start starts this test binary as an entry, until the test ends.
func Start(t *testing.T, args ...string) *Process {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{cmd: exec.Command(self, args...), exited: make(chan struct{}), log: filepath.Join(t.TempDir(), "log")}
	p.cmd.Env = append(os.Environ(), roleVariable+"=1")
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		_ = log.Close()
	})
	return p
}

// Bounds is what a process may hold.
type Bounds struct {
	MemoryMiB   int // at its peak
	Descriptors int
	LogLines    int // beside those of whole requests
}

// Verify fails the test if the process has ended, was out of its bounds, or does not answer
// an ordinary request. Call it while the load stands.
func (p *Process) Verify(t *testing.T, b Bounds, f *Flood, ordinaryRequest func() error) {
	t.Helper()
	descriptors := 0
	for range 20 { // connections are accepted after they were opened
		descriptors = max(descriptors, p.descriptors())
		time.Sleep(25 * time.Millisecond)
	}
	var err error
	for range 40 { // attempts; an ordinary client comes back after a refusal
		if err = ordinaryRequest(); err == nil {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	if err != nil {
		t.Errorf("ordinary request: %v", err)
	}
	select {
	case <-p.exited:
		t.Fatalf("the process has ended: %v\n%s", p.cmd.ProcessState, p.tail())
	default:
	}
	peak := p.peakMiB(t)
	t.Logf("peak memory %d MiB, %d descriptors", peak, descriptors)
	if peak >= b.MemoryMiB {
		t.Errorf("peak memory is %d MiB, must stay under %d MiB", peak, b.MemoryMiB)
	}
	if descriptors >= b.Descriptors {
		t.Errorf("%d descriptors are open, must stay under %d", descriptors, b.Descriptors)
	}
	if n := p.logLines(); n > b.LogLines+f.requests*linesPerRequest {
		t.Errorf("the log has %d lines, may have %d; it ends with\n%s", n, b.LogLines+f.requests*linesPerRequest, p.tail())
	}
}

// peakMiB returns the most memory that was resident.
func (p *Process) peakMiB(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kib, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			return kib >> 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// descriptors returns the number of open descriptors, 0 if the process has ended.
func (p *Process) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

func (p *Process) logLines() int {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return 0
	}
	return bytes.Count(data, []byte("\n"))
}

// tail returns the end of the log.
func (p *Process) tail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-2000):])
}
