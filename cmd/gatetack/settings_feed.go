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

// settingsFeed delivers the settings of the store to this process.
type settingsFeed struct {
	follower settingsync.FollowerConfig
	active   *settings.Document // settings that are active at the start
	service  *settingsync.Service
}

// openSettings loads the settings for the start of the process from its cache or, if that is empty, from a member that
// it follows, and merges them into the configuration. If there are none, the process starts with its base
// configuration. It returns nil if settings do not come from the store.
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
		log.Error("settings: the incarnation of this process cannot be read or stored", operr.Attrs(err))
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

// memberCaller returns a function that calls members of the store, with the keys in dir if that is not empty.
func memberCaller(dir string, lim limits.Limits, log *slog.Logger) (settingsync.Caller, error) {
	ring, err := openKeys(dir, "settings", log)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, addr, verb, path string, body []byte) (*http1.Message, error) {
		return store.Call(ctx, addr, verb, path, body, ring, lim)
	}, nil
}

// serve registers the settings calls at this process's member of the store and follows that member.
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

// run delivers settings to the target until the context ends.
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
