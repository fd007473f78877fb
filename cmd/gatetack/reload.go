package main

import (
	"context"
	"log/slog"
	"os"

	"gatetack/internal/config"
)

// reloader reads the platform's configuration again each time its file was replaced. It puts its classes, tenants,
// attempts, prices and priority weights in force and moves to the discovery that it names. It goes on while the node
// leaves. A file that can not be used changes nothing.
type reloader struct {
	applier *settingsApplier
	file    *config.File
	move    func(discovery string)
	log     *slog.Logger
}

// run reloads on each signal until the context ends.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		if r.file.Standalone() {
			r.log.Warn("reload: a node that is alone reads its file at its start")
			continue
		}
		if err := r.reload(ctx); err != nil {
			r.log.Error("reload: the configuration can not be used, the old one stays", "err", err)
		}
	}
}

// reload reads the configuration once.
func (r *reloader) reload(ctx context.Context) error {
	former := r.applier.baseConfig()
	next, err := former.Reload(os.Getenv)
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
	if needRestart := former.NeedRestart(next); len(needRestart) > 0 {
		r.log.Warn("reload: holds from the next start on", "changed", needRestart)
	}
	r.log.Info("reload", "discovery", next.Discovery, "was", former.Discovery, "retuned", changed,
		"classes", next.Names.Classes)
	r.move(next.Discovery)
	return nil
}
