package starter

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"daisylane/internal/checker"
	"daisylane/platform"
)

// settingsPollInterval is how often the settings file is checked for changes. The
// file may change without a signal, and a change must take effect within seconds.
const settingsPollInterval = time.Second

// fileStamp identifies a version of a file.
type fileStamp struct {
	size     int64
	modified time.Time
}

func statSettings(path string) (fileStamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}, fmt.Errorf("stat settings: %w", err)
	}
	return fileStamp{info.Size(), info.ModTime()}, nil
}

// watchSettings reloads the settings on each signal and when the file changes, until
// the context ends.
func (e *entry) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	last, lastErr := statSettings(e.path)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			last, lastErr = statSettings(e.path)
			e.reload("signal")
		case <-t.C:
			current, err := statSettings(e.path)
			switch {
			case err != nil && lastErr == nil:
				e.log.Warn().Err(err).Msg("settings file unavailable; keeping the current settings")
			case err == nil && current != last:
				e.reload("change")
			}
			last, lastErr = current, err
		}
	}
}

// reload applies the settings that can change while the process runs. An invalid
// file changes nothing.
func (e *entry) reload(reason string) {
	cfg, err := platform.LoadSettings(e.path)
	if err == nil {
		err = cfg.CheckEntry()
	}
	if err != nil {
		e.log.Error().Str("reason", reason).Err(err).Msg("settings refused; keeping the current settings")
		return
	}
	previous := e.settings.Swap(&cfg)
	e.applyLimits(cfg)
	e.applyClientLimits()
	event := e.log.Info()
	if changes := changesNeedingRestart(*previous, cfg); changes != "" {
		event = e.log.Warn().Str("restart_needed_for", changes)
	}
	event.Str("reason", reason).Float64("grace", cfg.Bounds.Grace).Float64("retry_share", cfg.Bounds.RetryShare).
		Float64("retry_reserve", cfg.Bounds.RetryReserve).Int("memory", cfg.Limits.Memory).Msg("settings reloaded")
}

// applyLimits sets the memory limit and the retry share. The other settings are
// read where they are used.
func (e *entry) applyLimits(cfg platform.Settings) {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(cfg.Limits.Memory) * (1 << 20)))
	e.setColdBounds(cfg)
	e.dispatcher.SetRetryShare(cfg.Bounds.RetryShare * usableRetryRatio)
}

func presence(given bool) string {
	if given {
		return "present"
	}
	return "absent"
}

// changesNeedingRestart lists the changed settings that take effect only after a
// restart, or returns "".
func changesNeedingRestart(old, cfg platform.Settings) string {
	var f checker.Validator
	compare := func(field, a, b string) { f.Require(a == b, field, "is %q, was %q", b, a) }
	compare("node_name", old.Name, cfg.Name)
	compare("ip", old.Addr, cfg.Addr)
	compare("zone", old.Centre, cfg.Centre)
	compare("region", old.Region, cfg.Region)
	compare("zones", fmt.Sprint(old.Regions), fmt.Sprint(cfg.Regions))
	_, evacuated := old.EvacuateDelay()
	_, evacuates := cfg.EvacuateDelay()
	compare("bounds.evacuate_ms", presence(evacuated), presence(evacuates))
	compare("listen.frontend", old.Listen.Callers, cfg.Listen.Callers)
	compare("listen.ready", old.Listen.Ready, cfg.Listen.Ready)
	compare("listen.operator", old.Listen.Operator, cfg.Listen.Operator)
	compare("platform.address", old.Store.Addr, cfg.Store.Addr)
	compare("port_range", fmt.Sprint(old.Ports), fmt.Sprint(cfg.Ports))
	err := f.Err()
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(err.Error(), "\n", "; ")
}
