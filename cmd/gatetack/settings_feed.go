package main

import (
	"context"
	"log/slog"
	"time"

	"gatetack/internal/config"
	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/operr"
	"gatetack/internal/settings"
	"gatetack/internal/settingsync"
	"gatetack/internal/store"
)

// settingsFeed brings the store's settings to this process.
type settingsFeed struct {
	follower settingsync.FollowerConfig
	active   *settings.Document // from the start on
	service  *settingsync.Service
}

// openSettings finds the settings that the process starts with, from its cache or, where there are none, from a
// member that it follows, and lays them over the configuration. Without any the process starts with its base
// configuration. It returns nil where settings do not come through the store.
func openSettings(
	ctx context.Context,
	c *config.Config,
	f *config.File,
	started time.Time,
	log *slog.Logger,
) (*settingsFeed, error) {
	if !f.Settings.Enabled {
		return nil, nil
	}
	cache := settingsync.NewCache(f.Settings.Cache)
	incarnation, err := cache.NextIncarnation(started.UnixMilli())
	if err != nil {
		log.Error("settings: the last incarnation of this process is not known or not kept", operr.Attrs(err))
	}
	feed := &settingsFeed{
		follower: settingsync.FollowerConfig{Process: c.Name, Incarnation: incarnation, Cache: cache, Limits: c.Limits,
			Log: log},
	}
	if len(f.Settings.Follow) > 0 {
		call, err := memberCaller(f.Settings.Keys, c.Limits, log)
		if err != nil {
			return nil, err
		}
		feed.follower.Upstream = settingsync.NewRemote(f.Settings.Follow, call,
			c.Limits.SettingsCallTimeout-c.Limits.SettingsPollWait)
	} else {
		c.Limits.ReserveFollowerConns()
	}
	if feed.active, err = feed.follower.Cache.Load(); err != nil {
		log.Error("settings: the cache can not be used", operr.Attrs(err))
	}
	if feed.active.Version() == 0 && feed.follower.Upstream != nil {
		feed.active = settingsync.Fetch(ctx, feed.follower)
	}
	if err := overlay(c, feed.active); err != nil {
		log.Error("settings: the process starts with its base configuration", operr.Attrs(err))
		feed.active = settings.NewDocument()
	}
	return feed, nil
}

// memberCaller calls members of the store, by the keys in a folder where one is named.
func memberCaller(dir string, lim limits.Limits, log *slog.Logger) (settingsync.Caller, error) {
	ring, err := openKeys(dir, "settings", log)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, addr, verb, path string, body []byte) (*http1.Message, error) {
		return store.Call(ctx, addr, verb, path, body, ring, lim)
	}, nil
}

// serve mounts the calls for settings on this process's member of the store, and has the process follow it.
func (s *settingsFeed) serve(
	member *store.Store,
	c *config.Config,
	f *config.File,
	validate func(*settings.Document) error,
	log *slog.Logger,
) error {
	call, err := memberCaller(f.Store.Keys, c.Limits, log)
	if err != nil {
		return err
	}
	s.service = settingsync.NewService(
		settingsync.ServiceConfig{Name: c.Name, Store: member, Validate: validate, Call: call,
			Limits: c.Limits, Log: log},
	)
	member.Mount(settingsync.Name, s.service)
	s.follower.Upstream = s.service
	return nil
}

// run brings settings until the context ends.
func (s *settingsFeed) run(ctx context.Context, target settingsync.Target) error {
	s.follower.Target = target
	follower := settingsync.NewFollower(s.follower, s.active)
	if s.service == nil {
		return follower.Run(ctx)
	}
	done := make(chan error, 1)
	go func() { done <- s.service.Run(ctx) }()
	err := follower.Run(ctx)
	if served := <-done; err == nil {
		err = served
	}
	return err
}
