package main

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"gatetack/internal/config"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/settings"
)

// tuner puts settings in force: those of the store over those of the base configuration, whichever of the two has changed. The
// core's retunes must not overlap, so all of them go through one tuner.
type tuner struct {
	core *node.Core
	lim  limits.Limits
	stay *atomic.Int64 // after SIGTERM: grows with the longest deadline, since the node may be killed that much later

	mu       sync.Mutex
	base     config.Config
	document *settings.Document
}

// rulesOf are the settings of a configuration, as the store's are laid over them.
func rulesOf(c *config.Config) settings.Rules {
	return settings.Rules{Settings: c.Settings, Classes: c.Names.Classes, Tenants: c.Names.Tenants}
}

// layOver puts a document's settings in the place of a configuration's own.
func layOver(c *config.Config, d *settings.Document) error {
	merged, err := settings.Merge(rulesOf(c), d)
	if err != nil {
		return err
	}
	c.Settings = merged.Settings
	c.Names.Classes, c.Names.Tenants = merged.Classes, merged.Tenants
	c.Limits.Longest(longestDeadline(merged))
	return nil
}

// longestDeadline is that of any class.
func longestDeadline(r settings.Rules) time.Duration {
	longest := 0.0
	for _, class := range r.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return node.Span(longest)
}

// Validate says whether this process could put a document in force now: the merged settings must be usable, and the classes whose rules
// they change must find places beside those that open jobs still hold.
func (t *tuner) Validate(d *settings.Document) error {
	base := t.current()
	if err := settings.Validate(rulesOf(base), d); err != nil {
		return err
	}
	if err := layOver(base, d); err != nil {
		return err
	}
	if _, _, err := t.core.Rules().Retune(base.Settings, base.Names, time.Now(), t.lim.Retired); err != nil {
		return &settings.InvalidError{Item: "the merged settings", Got: err.Error(), Expected: "settings that can be put in force now"}
	}
	return nil
}

// Activate has the core act on the settings of the store from now on.
func (t *tuner) Activate(ctx context.Context, d *settings.Document) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.retune(ctx, t.base, d); err != nil {
		return err
	}
	t.document = d
	return nil
}

// retune has the core act on a base configuration and a document over it.
func (t *tuner) retune(ctx context.Context, c config.Config, d *settings.Document) error {
	if err := layOver(&c, d); err != nil {
		return err
	}
	if err := t.core.Retune(ctx, c.Settings, c.Names, t.lim.Retired); err != nil {
		return err
	}
	t.stay.Store(max(t.stay.Load(), int64(c.Limits.Stay)))
	return nil
}

// follow takes over a base configuration that was read again. It reports whether other settings are in force by that.
func (t *tuner) follow(ctx context.Context, next *config.Config) (retuned bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	retuned = t.base.Retuned(next)
	if retuned {
		if err := t.retune(ctx, *next, t.document); err != nil {
			return false, err
		}
	}
	t.base.Follow(next)
	return retuned, nil
}

// reload reads the platform's configuration each time its file was replaced: it puts its classes, tenants, attempts, prices
// and worths in force and moves to the discovery it names. It goes on while the node leaves; a file that can not be used
// changes nothing.
func reload(ctx context.Context, hup <-chan os.Signal, t *tuner, f *config.File, move func(string), log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		if f.Alone() {
			log.Warn("reload: a node that is alone reads its file at its start")
			continue
		}
		if err := t.reloadOnce(ctx, f, move, log); err != nil {
			log.Error("reload: the configuration can not be used, the old one stays", "err", err)
		}
	}
}

func (t *tuner) reloadOnce(ctx context.Context, f *config.File, move func(string), log *slog.Logger) error {
	was := t.current()
	next, err := was.Again(os.Getenv)
	if err != nil {
		return err
	}
	if err := next.Check(f); err != nil {
		return err
	}
	retuned, err := t.follow(ctx, next)
	if err != nil {
		return err
	}
	if stays := was.Stays(next); len(stays) > 0 {
		log.Warn("reload: holds from the next start on", "changed", stays)
	}
	log.Info("reload", "discovery", next.Discovery, "was", was.Discovery, "retuned", retuned, "classes", next.Names.Classes)
	move(next.Discovery)
	return nil
}

// current is the base configuration.
func (t *tuner) current() *config.Config {
	t.mu.Lock()
	defer t.mu.Unlock()
	base := t.base
	return &base
}
