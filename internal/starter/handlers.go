package starter

import (
	"time"

	"daisylane/internal/follower"
	"daisylane/internal/quarantiner"
	"daisylane/internal/reporter"
	"daisylane/internal/resolver"
	"daisylane/internal/restrictor"
	"daisylane/internal/storer"
	"daisylane/platform"
)

// configHandler applies configurations. It ignores a version that is not newer than
// the current one.
type configHandler struct{ e *entry }

func (h *configHandler) Listed(items []storer.Item) {
	for _, item := range items {
		if item.Key == platform.ConfigName {
			h.adopt(item)
		}
	}
}

func (h *configHandler) Changed(changes []follower.Change) {
	for _, c := range changes {
		if !c.Deleted && c.Item.Key == platform.ConfigName {
			h.adopt(c.Item)
		}
	}
}

func (h *configHandler) adopt(item storer.Item) {
	cfg, err := platform.DecodeConfig(item.Body)
	if err != nil {
		h.e.log.Error().Err(err).Uint64("revision", item.Version).Msg("configuration refused, the former one stays in force")
		return
	}
	old := h.e.receiver.Table()
	if old != nil && cfg.Version <= old.Version() {
		return
	}
	table, err := resolver.New(cfg)
	if err != nil {
		h.e.log.Error().Err(err).Int64("version", cfg.Version).Msg("configuration refused, the former one stays in force")
		return
	}
	h.e.receiver.SetTable(table)
	h.e.applyClientLimits()
	h.e.setColdServices(cfg)
	budgets := make(map[string]int64, len(cfg.Accounts))
	for _, a := range cfg.Accounts {
		budgets[a.Name] = a.PrepaidTokens
	}
	h.e.accounting.SetPrepaid(cfg.Version, budgets)
	h.e.log.Info().Int64("version", cfg.Version).Uint64("revision", item.Version).Int("routes", len(cfg.Routes)).
		Int("accounts", len(cfg.Accounts)).Msg("configuration adopted")
}

func (h *configHandler) Disconnected(err error) {
	h.e.log.Warn().Err(err).Msg("configuration is not followed")
}

func (h *configHandler) Reconnected() { h.e.log.Info().Msg("configuration is followed again") }

// Restored does nothing else, because only a version above the one in force is adopted.
func (h *configHandler) Restored() {
	h.e.log.Warn().Int64("era", h.e.store.Era()).Msg("store was restored from an older copy; keeping the configuration in force")
}

func (h *configHandler) Synced(time.Time) {
	h.e.receiver.RecordContact(h.e.watches.Contact(platform.KindConfig))
}

// targetHandler keeps the roster of targets current. An object that cannot be
// decoded counts as removed.
type targetHandler struct{ e *entry }

func (h *targetHandler) Listed(items []storer.Item) {
	var list []follower.Target
	for _, item := range items {
		if t, ok := h.decode(item); ok {
			list = append(list, t)
		}
	}
	h.e.observeTargets(list, false)
	h.changeRoster(func(r *follower.Roster) { r.SetList(time.Now(), list) })
	h.e.targetsListed.Store(true)
	h.e.log.Info().Int("targets", len(list)).Msg("targets listed")
}

func (h *targetHandler) Changed(changes []follower.Change) {
	for _, c := range changes {
		t, ok := follower.Target{ID: c.Item.Key}, false
		if !c.Deleted {
			t, ok = h.decode(c.Item)
		}
		if ok {
			h.e.observeTargets([]follower.Target{t}, true)
		}
		h.changeRoster(func(r *follower.Roster) {
			if ok {
				r.Put(t)
			} else {
				r.Remove(time.Now(), t.ID)
			}
		})
		h.e.log.Info().Str("target", c.Item.Key).Str("service", t.Service).Str("addr", t.Addr).Str("version", t.Version).Bool("leaving", t.Leaving).
			Bool("listed", ok).Uint64("revision", c.Item.Version).Msg("target changed")
	}
}

// changeRoster changes the roster and records which targets have started again, as they may
// have ended under a request.
func (h *targetHandler) changeRoster(change func(*follower.Roster)) {
	var ended []follower.Target
	h.e.dispatcher.WithRoster(func(r *follower.Roster) {
		change(r)
		ended = r.TakeEnded()
	})
	for _, t := range ended {
		h.e.guard.RecordEnd(quarantiner.Target{ID: t.ID, Incarnation: t.Incarnation})
	}
}

func (h *targetHandler) decode(item storer.Item) (follower.Target, bool) {
	t, err := platform.DecodeRunner(item.Key, item.Body)
	if err != nil {
		h.e.log.Warn().Err(err).Uint64("revision", item.Version).Msg("target object is invalid; treating the target as removed")
		return t, false
	}
	return t, true
}

func (h *targetHandler) Disconnected(err error) {
	h.e.targetsLost.Store(true)
	h.e.streams.RecordOutage(false)
	h.e.log.Warn().Err(err).Msg("targets are not followed")
}

func (h *targetHandler) Reconnected() {
	h.e.dispatcher.WithRoster(func(r *follower.Roster) { r.RecordReconnect(time.Now()) })
	h.e.streams.RecordOutage(true)
	h.e.targetsLost.Store(false)
	h.e.log.Info().Msg("targets are followed again")
}

func (h *targetHandler) Restored() {
	h.e.dispatcher.WithRoster(func(r *follower.Roster) { r.RecordRestore(time.Now()) })
	h.e.log.Warn().Int64("era", h.e.store.Era()).Msg("store was restored from an older copy; targets that left before it stay out of use")
}

func (h *targetHandler) Synced(begun time.Time) {
	h.e.recordTargetContact(begun)
	at := h.e.watches.Contact(platform.KindRunners)
	h.e.permits.RecordInTouch(at)
	h.e.guard.RecordInTouch(at)
}

// evacuationHandler keeps the evacuations of data centres current. An object stands for its
// name, whatever its content is.
type evacuationHandler struct{ e *entry }

func (h *evacuationHandler) Listed(items []storer.Item) {
	centres := make([]string, len(items))
	for i, item := range items {
		centres[i] = item.Key
	}
	h.e.changeEvacuations(func(ev *restrictor.Evacuations) { ev.SetList(time.Now(), centres) })
	h.e.log.Info().Strs("centres", centres).Msg("evacuations listed")
}

func (h *evacuationHandler) Changed(changes []follower.Change) {
	h.e.changeEvacuations(func(ev *restrictor.Evacuations) {
		for _, c := range changes {
			if c.Deleted {
				ev.Remove(c.Item.Key)
			} else {
				ev.Add(time.Now(), c.Item.Key)
			}
		}
	})
}

func (h *evacuationHandler) Disconnected(err error) {
	h.e.log.Warn().Err(err).Msg("evacuations are not followed")
}

func (h *evacuationHandler) Reconnected() { h.e.log.Info().Msg("evacuations are followed again") }

func (h *evacuationHandler) Restored() {
	h.e.changeEvacuations(func(ev *restrictor.Evacuations) { ev.RecordRestore(time.Now()) })
	h.e.log.Warn().Int64("era", h.e.store.Era()).Msg("store was restored from an older copy; evacuations that it lacks stay in force for now")
}

func (h *evacuationHandler) Synced(time.Time) {}

// changeEvacuations changes the evacuations and reports what is different.
func (e *entry) changeEvacuations(change func(*restrictor.Evacuations)) {
	begun, ended := e.dispatcher.ChangeEvacuations(func(ev *restrictor.Evacuations) {
		change(ev)
		e.metrics.Scope().Gauge(reporter.EvacuatedCentres).Update(float64(len(ev.Centres())))
	})
	for _, centre := range begun {
		e.log.Warn().Str("centre", centre).Msg("data centre evacuated; no further requests to it")
	}
	for _, centre := range ended {
		e.log.Info().Str("centre", centre).Msg("data centre no longer evacuated")
	}
}
