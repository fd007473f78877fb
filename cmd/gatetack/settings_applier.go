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

// settingsApplier activates settings: those of the base configuration with those of the store merged in, after a change
// of either. Updates of the core's rules must not overlap, so all of them go through one applier.
type settingsApplier struct {
	core          *node.Core
	limits        limits.Limits
	shutdownGrace *atomic.Int64 // time served after SIGTERM; grows with the longest deadline, which delays the kill

	mu       sync.Mutex
	base     config.Config
	document *settings.Document // active settings of the store
}

// rulesOf returns the settings of a configuration into which those of the store are merged.
func rulesOf(cfg *config.Config) settings.Rules {
	return settings.Rules{Settings: cfg.Settings, Classes: cfg.Names.Classes, Tenants: cfg.Names.Tenants}
}

// overlay merges the settings of a document into a configuration.
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

// longestDeadline returns the longest deadline of all classes.
func longestDeadline(rules settings.Rules) time.Duration {
	longest := 0.0
	for _, class := range rules.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return node.FromMs(longest)
}

// Validate returns an error if this process cannot activate a document now: the merged settings must be valid, and the
// table of rules must have space for the changed classes in addition to the rules that open jobs still use.
func (a *settingsApplier) Validate(document *settings.Document) error {
	base := a.baseConfig()
	if err := settings.Validate(rulesOf(base), document); err != nil {
		return err
	}
	if err := overlay(base, document); err != nil {
		return err
	}
	late := a.limits.RetiredClassTTL
	if _, _, err := a.core.Rules().Update(base.Settings, base.Names, time.Now(), late, node.NoneInUse); err != nil {
		return &settings.InvalidError{Item: "the merged settings", Got: err.Error(),
			Expected: "settings that can be put in force now"}
	}
	return nil
}

// Activate activates the settings of the store in the core.
func (a *settingsApplier) Activate(ctx context.Context, document *settings.Document) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.apply(ctx, a.base, document); err != nil {
		return err
	}
	a.document = document
	return nil
}

// apply activates a base configuration with a document merged in.
func (a *settingsApplier) apply(ctx context.Context, cfg config.Config, document *settings.Document) error {
	if err := overlay(&cfg, document); err != nil {
		return err
	}
	if err := a.core.UpdateSettings(ctx, cfg.Settings, cfg.Names, a.limits.RetiredClassTTL); err != nil {
		return err
	}
	a.shutdownGrace.Store(max(a.shutdownGrace.Load(), int64(cfg.Limits.ShutdownGrace)))
	return nil
}

// replaceBase activates a reloaded base configuration. It reports whether the settings have changed.
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

// baseConfig returns a copy of the base configuration.
func (a *settingsApplier) baseConfig() *config.Config {
	a.mu.Lock()
	defer a.mu.Unlock()
	base := a.base
	return &base
}
