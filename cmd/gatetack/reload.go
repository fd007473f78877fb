package main

import (
	"context"
	"log/slog"
	"os"

	"gatetack/internal/config"
)

// reloader reads the platform's configuration again on each signal, after its file was replaced. It activates the
// classes, tenants, attempts, fees and priority weights and switches to the configured discovery. It also runs while
// the node shuts down. An invalid file changes nothing.
type reloader struct {
	applier      *settingsApplier
	file         *config.File
	setDiscovery func(discovery string)
	log          *slog.Logger
}

// run reloads the configuration on each signal until the context ends.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		if r.file.Standalone() {
			r.log.Warn("reload: ignored, a standalone node reads its file only at its start")
			continue
		}
		if err := r.reload(ctx); err != nil {
			r.log.Error("reload: the configuration can not be used, the old one stays", "err", err)
		}
	}
}

// reload reads the configuration once.
func (r *reloader) reload(ctx context.Context) error {
	previous := r.applier.baseConfig()
	next, err := previous.Reload(os.Getenv)
	if err != nil {
		return err
	}
	if err := next.Check(r.file); err != nil {
		return err
	}
	changed, err := r.applier.replaceBase(ctx, next)
	if err != nil {
		return err
	}
	if needRestart := previous.NeedRestart(next); len(needRestart) > 0 {
		r.log.Warn("reload: holds from the next start on", "changed", needRestart)
	}
	r.log.Info("reload", "discovery", next.Discovery, "was", previous.Discovery, "retuned", changed,
		"classes", next.Names.Classes)
	r.setDiscovery(next.Discovery)
	return nil
}
