package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gatetack/internal/config"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/settings"
)

// settingsApplier puts settings in force: those of the store over those of the base configuration, whichever of the two
// has changed. The core's changes of rules must not overlap, so all of them go through one applier.
type settingsApplier struct {
	core   *node.Core
	limits limits.Limits
	stay   *atomic.Int64 // after SIGTERM: grows with the longest deadline, since the node may be killed that much later

	mu       sync.Mutex
	base     config.Config
	document *settings.Document // the store's settings in force
}

// rulesOf are the settings of a configuration, over which the store's are laid.
func rulesOf(cfg *config.Config) settings.Rules {
	return settings.Rules{Settings: cfg.Settings, Classes: cfg.Names.Classes, Tenants: cfg.Names.Tenants}
}

// overlay puts a document's settings in the place of a configuration's own.
func overlay(cfg *config.Config, document *settings.Document) error {
	merged, err := settings.Merge(rulesOf(cfg), document)
	if err != nil {
		return err
	}
	cfg.Settings = merged.Settings
	cfg.Names.Classes, cfg.Names.Tenants = merged.Classes, merged.Tenants
	cfg.Limits.SetLongestDeadline(longestDeadline(merged))
	return nil
}

// longestDeadline is that of any class.
func longestDeadline(rules settings.Rules) time.Duration {
	longest := 0.0
	for _, class := range rules.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return node.FromMs(longest)
}

// Validate reports why this process could not put a document in force now: the merged settings must be usable, and the
// classes whose rules they change must find places beside those that open jobs still use.
func (a *settingsApplier) Validate(document *settings.Document) error {
	base := a.baseConfig()
	if err := settings.Validate(rulesOf(base), document); err != nil {
		return err
	}
	if err := overlay(base, document); err != nil {
		return err
	}
	if _, _, err := a.core.Rules().Update(base.Settings, base.Names, time.Now(), a.limits.RetiredClassTTL); err != nil {
		return &settings.InvalidError{Item: "the merged settings", Got: err.Error(),
			Expected: "settings that can be put in force now"}
	}
	return nil
}

// Activate has the core act on the settings of the store from now on.
func (a *settingsApplier) Activate(ctx context.Context, document *settings.Document) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.apply(ctx, a.base, document); err != nil {
		return err
	}
	a.document = document
	return nil
}

// apply has the core act on a base configuration and a document over it.
func (a *settingsApplier) apply(ctx context.Context, cfg config.Config, document *settings.Document) error {
	if err := overlay(&cfg, document); err != nil {
		return err
	}
	if err := a.core.UpdateSettings(ctx, cfg.Settings, cfg.Names, a.limits.RetiredClassTTL); err != nil {
		return err
	}
	a.stay.Store(max(a.stay.Load(), int64(cfg.Limits.ShutdownGrace)))
	return nil
}

// replaceBase takes over a base configuration that was read again. It reports whether other settings are in force by
// that.
func (a *settingsApplier) replaceBase(ctx context.Context, next *config.Config) (changed bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed = a.base.RulesDiffer(next)
	if changed {
		if err := a.apply(ctx, *next, a.document); err != nil {
			return false, err
		}
	}
	a.base.Adopt(next)
	return changed, nil
}

// baseConfig is a copy of the base configuration.
func (a *settingsApplier) baseConfig() *config.Config {
	a.mu.Lock()
	defer a.mu.Unlock()
	base := a.base
	return &base
}
