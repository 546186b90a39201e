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

// settingsTime is how often the settings file is looked at: it may change without
// a signal, and what can change has seconds to take effect.
const settingsTime = time.Second

// stamp tells versions of a file apart.
type stamp struct {
	size     int64
	modified time.Time
}

func stampOf(path string) (stamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}, fmt.Errorf("look at settings: %w", err)
	}
	return stamp{info.Size(), info.ModTime()}, nil
}

// followSettings reads the settings again at each signal and when the file changes,
// until the context ends.
func (e *entry) followSettings(ctx context.Context, reload <-chan os.Signal) {
	last, lost := stampOf(e.path)
	t := time.NewTicker(settingsTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			last, lost = stampOf(e.path)
			e.reload("signal")
		case <-t.C:
			now, err := stampOf(e.path)
			switch {
			case err != nil && lost == nil:
				e.log.Warn().Err(err).Msg("settings file lost, the former settings stay in force")
			case err == nil && now != last:
				e.reload("change")
			}
			last, lost = now, err
		}
	}
}

// reload puts settings in force that can change while the process runs. Invalid
// ones change nothing.
func (e *entry) reload(reason string) {
	cfg, err := platform.LoadSettings(e.path)
	if err == nil {
		err = cfg.CheckEntry()
	}
	if err != nil {
		e.log.Error().Str("reason", reason).Err(err).Msg("settings refused, the former ones stay in force")
		return
	}
	former := e.settings.Swap(&cfg)
	e.apply(cfg)
	line := e.log.Info()
	if fixed := fixedChanges(*former, cfg); fixed != "" {
		line = e.log.Warn().Str("restart_needed_for", fixed)
	}
	line.Str("reason", reason).Float64("grace", cfg.Bounds.Grace).Float64("retry_share", cfg.Bounds.RetryShare).
		Float64("retry_reserve", cfg.Bounds.RetryReserve).Int("memory", cfg.Limits.Memory).Msg("settings reloaded")
}

// apply puts limits in force. The other settings are read where they are needed.
func (e *entry) apply(cfg platform.Settings) {
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Limits.Memory) * (1 << 20)))
	e.dispatch.SetRetryShare(cfg.Bounds.RetryShare * retryPart)
}

// fixedChanges names settings that differ and need a restart.
func fixedChanges(old, cfg platform.Settings) string {
	var f checker.Faults
	same := func(field, a, b string) { f.Require(a == b, field, "is %q, was %q", b, a) }
	same("node_name", old.Name, cfg.Name)
	same("ip", old.Addr, cfg.Addr)
	same("zone", old.Centre, cfg.Centre)
	same("region", old.Region, cfg.Region)
	same("zones", fmt.Sprint(old.Regions), fmt.Sprint(cfg.Regions))
	same("listen.frontend", old.Listen.Callers, cfg.Listen.Callers)
	same("listen.ready", old.Listen.Ready, cfg.Listen.Ready)
	same("platform.address", old.Store.Addr, cfg.Store.Addr)
	same("port_range", fmt.Sprint(old.Ports), fmt.Sprint(cfg.Ports))
	err := f.Err()
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(err.Error(), "\n", "; ")
}
