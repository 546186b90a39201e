package operator

import (
	"encoding/json"
	"errors"
	"fmt"

	"daisylane/internal/executor"
	"daisylane/internal/launcher"
	"daisylane/internal/watcher"
)

// fleet is the decoded state of all processes.
type fleet struct {
	processes []process
	silent    []answer // without a valid report
}

// process is one process with the report of its role; the other is nil.
type process struct {
	answer
	entry *launcher.Status
	side  *executor.Status
}

var errReport = errors.New("report is not valid")

func newFleet(answers []answer) fleet {
	var f fleet
	for _, a := range answers {
		p, err := decodeProcess(a)
		if err != nil {
			a.Error = err.Error()
			f.silent = append(f.silent, a)
			continue
		}
		f.processes = append(f.processes, p)
	}
	return f
}

// decodeProcess accepts unknown fields, because processes of a newer release
// are asked too while the fleet is being replaced.
func decodeProcess(a answer) (process, error) {
	p := process{answer: a}
	if a.err != nil {
		return p, a.err
	}
	var v any
	switch a.Role {
	case watcher.Entry:
		p.entry = new(launcher.Status)
		v = p.entry
	case watcher.Side:
		p.side = new(executor.Status)
		v = p.side
	default:
		return p, fmt.Errorf("%w: role %q is unknown, use a newer daisylane", errReport, a.Role)
	}
	if len(a.Report) == 0 {
		return p, fmt.Errorf("%w: it is empty", errReport)
	}
	if err := json.Unmarshal(a.Report, v); err != nil {
		return p, fmt.Errorf("%w: %w", errReport, err)
	}
	return p, nil
}

// bundle returns the bundle version in force. A side without trusted keys keeps
// none.
func (p process) bundle() (uint64, bool) {
	if p.entry != nil {
		return p.entry.Bundle, true
	}
	return p.side.Bundle, p.side.Bundle > 0
}

// highest returns the highest bundle version of all processes.
func (f fleet) highest() uint64 {
	var highest uint64
	for _, p := range f.processes {
		version, _ := p.bundle()
		highest = max(highest, version)
	}
	return highest
}

func (p process) behind(highest uint64) bool {
	version, ok := p.bundle()
	return ok && version < highest
}

// state names the stage of a process between its start and its end.
func (p process) state() string {
	switch {
	case p.entry != nil && p.entry.Stopping:
		return "stopping"
	case p.entry != nil && p.entry.Holder.Stopped:
		return "sealed"
	case p.entry != nil && !p.entry.Holder.Up:
		return "no platform"
	case p.side != nil && p.side.Draining:
		return "draining"
	case p.side != nil && !p.side.Registered:
		return "unregistered"
	}
	return "serving"
}

// version returns the bundle version, marked if it is below the highest.
func (p process) version(highest uint64) string {
	version, ok := p.bundle()
	switch {
	case !ok:
		return "-"
	case p.behind(highest):
		return fmt.Sprintf("%d (behind)", version)
	}
	return fmt.Sprint(version)
}

func (p process) work() string {
	if e := p.entry; e != nil {
		return fmt.Sprintf("shards %d, in flight %d", len(e.Holder.Shards), e.Inflight)
	}
	s := p.side
	return fmt.Sprintf("running %d of %d, waiting %d, unbilled %d", s.Load.Running, s.Load.Slots, s.Load.Waiting, s.Unbilled)
}
