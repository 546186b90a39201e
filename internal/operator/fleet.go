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
	processes    []process
	unresponsive []processReply // processes without a valid report
}

// process is a process with its status report. Of entry and side, only the field
// of its role is set.
type process struct {
	processReply
	entry *launcher.Status
	side  *executor.Status
}

var errInvalidReport = errors.New("report is not valid")

func newFleet(replies []processReply) fleet {
	var f fleet
	for _, reply := range replies {
		p, err := decodeProcess(reply)
		if err != nil {
			reply.Error = err.Error()
			f.unresponsive = append(f.unresponsive, reply)
			continue
		}
		f.processes = append(f.processes, p)
	}
	return f
}

// decodeProcess decodes a status report. Unknown fields are accepted, because some
// processes run a newer release during a rolling upgrade.
func decodeProcess(reply processReply) (process, error) {
	p := process{processReply: reply}
	if reply.err != nil {
		return p, reply.err
	}
	var v any
	switch reply.Role {
	case watcher.Entry:
		p.entry = new(launcher.Status)
		v = p.entry
	case watcher.Side:
		p.side = new(executor.Status)
		v = p.side
	default:
		return p, fmt.Errorf("%w: role %q is unknown, use a newer daisylane", errInvalidReport, reply.Role)
	}
	if len(reply.Report) == 0 {
		return p, fmt.Errorf("%w: it is empty", errInvalidReport)
	}
	if err := json.Unmarshal(reply.Report, v); err != nil {
		return p, fmt.Errorf("%w: %w", errInvalidReport, err)
	}
	return p, nil
}

// bundleVersion returns the version of the active bundle. It reports false for a side
// without trusted keys, which has no bundle.
func (p process) bundleVersion() (uint64, bool) {
	if p.entry != nil {
		return p.entry.Bundle, true
	}
	return p.side.Bundle, p.side.Bundle > 0
}

// highestVersion returns the highest active bundle version of all processes.
func (f fleet) highestVersion() uint64 {
	var highest uint64
	for _, p := range f.processes {
		version, _ := p.bundleVersion()
		highest = max(highest, version)
	}
	return highest
}

func (p process) isBehind(highest uint64) bool {
	version, ok := p.bundleVersion()
	return ok && version < highest
}

// state returns the lifecycle state of a process.
func (p process) state() string {
	switch {
	case p.entry != nil && p.entry.Stopping:
		return "stopping"
	case p.entry != nil && p.entry.Holder.Stopped:
		return "sealed"
	case p.entry != nil && !p.entry.Holder.PlatformUp:
		return "no platform"
	case p.side != nil && p.side.Draining:
		return "draining"
	case p.side != nil && !p.side.Registered:
		return "unregistered"
	}
	return "serving"
}

// versionText formats the bundle version, with a mark if it is below the highest.
func (p process) versionText(highest uint64) string {
	version, ok := p.bundleVersion()
	switch {
	case !ok:
		return "-"
	case p.isBehind(highest):
		return fmt.Sprintf("%d (behind)", version)
	}
	return fmt.Sprint(version)
}

func (p process) workload() string {
	if e := p.entry; e != nil {
		return fmt.Sprintf("shards %d, in flight %d", len(e.Holder.Shards), e.Inflight)
	}
	s := p.side
	return fmt.Sprintf("running %d of %d, waiting %d, unbilled %d", s.Load.Running, s.Load.Slots, s.Load.Waiting, s.Unbilled)
}
