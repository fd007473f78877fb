package settingsync

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"gatetack/internal/limits"
	"gatetack/internal/operr"
	"gatetack/internal/settings"
)

// Target is what acts on the settings.
type Target interface {
	// PutInForce returns once a document is in force. After an error all is as it was.
	PutInForce(ctx context.Context, d *settings.Document) error
}

// FollowerConfig is what a Follower needs.
type FollowerConfig struct {
	Process  string // its name, of which there is one in the fleet
	Life     int64  // its incarnation, see Cache.NextIncarnation
	Upstream Upstream
	Target   Target
	Cache    Cache
	Limits   limits.Limits
	Log      *slog.Logger
}

// Follower keeps a process's settings at the latest version that is accepted.
type Follower struct {
	cfg     FollowerConfig
	replica *settings.Replica
	reports uint64

	anew     bool // what is held does not lead on: a snapshot is asked for
	failures int  // polls that failed, one after the other
	refusals int  // tries to put what is held in force that failed
	retryAt  time.Time

	unsaved      *settings.Document // in force and not in the cache yet, nil for none
	saveFailures int
	saveAt       time.Time // when it is written again
}

// NewFollower returns a follower in whose process a document is in force already.
func NewFollower(cfg FollowerConfig, inForce *settings.Document) *Follower {
	return &Follower{cfg: cfg, replica: settings.NewReplica(inForce)}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.replica.Pending() && !time.Now().Before(f.retryAt) {
			f.putInForce(ctx)
		}
		if f.unsaved != nil && !time.Now().Before(f.saveAt) {
			f.save()
		}
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			f.failures++
			f.cfg.Log.Debug("settings: no answer that leads on", "failures", f.failures, operr.Attrs(err))
			pause(ctx, jittered(delay(f.cfg.Limits.SettingsBackoff, f.failures)))
		}
	}
	return nil
}

// Fetch asks for the latest settings before a process starts. It gives up after one call's time: the process then
// starts without them.
func Fetch(ctx context.Context, cfg FollowerConfig) *settings.Document {
	ctx, cancel := context.WithTimeout(ctx, cfg.Limits.SettingsCall)
	defer cancel()
	none := settings.NewDocument()
	for failures := 1; ctx.Err() == nil; failures++ {
		u, err := cfg.Upstream.Poll(ctx, settings.Report{Process: cfg.Process, Life: cfg.Life}, 0)
		if err == nil {
			document, err := none.Apply(u)
			if err == nil {
				return document
			}
		}
		cfg.Log.Debug("settings: no answer before the start", "failures", failures, operr.Attrs(err))
		pause(ctx, jittered(delay(cfg.Limits.SettingsBackoff, failures)))
	}
	cfg.Log.Warn("settings: no member answered before the start")
	return none
}

// putInForce has the target act on the document that is held.
func (f *Follower) putInForce(ctx context.Context) {
	document := f.replica.Document()
	err := f.cfg.Target.PutInForce(ctx, document)
	if err != nil && ctx.Err() != nil {
		return
	}
	f.replica.Settle(err)
	if err != nil {
		f.refusals++
		f.retryAt = time.Now().Add(jittered(delay(f.cfg.Limits.SettingsRetry, f.refusals)))
		f.cfg.Log.Error("settings: what is in force stays", "inForce", f.replica.InForce(), operr.Attrs(&ForceError{document.Version(), err}))
		return
	}
	f.refusals, f.retryAt = 0, time.Time{}
	f.cfg.Log.Info("settings: in force", "version", document.Version(), "items", document.Len())
	f.unsaved, f.saveFailures, f.saveAt = document, 0, time.Time{}
}

// save writes what is in force to the cache. A disk that is full or fails is tried again: a process that starts meanwhile
// begins with the settings before, and gets the others from a member.
func (f *Follower) save() {
	err := f.cfg.Cache.Save(f.unsaved)
	if err == nil {
		f.unsaved = nil
		return
	}
	f.saveFailures++
	f.saveAt = time.Now().Add(jittered(delay(f.cfg.Limits.SettingsRetry, f.saveFailures)))
	f.cfg.Log.Warn("settings cache not written", "version", f.unsaved.Version(), "failures", f.saveFailures, operr.Attrs(err))
}

// poll reports how far this process is and takes in what follows.
func (f *Follower) poll(ctx context.Context) error {
	f.reports++
	report := settings.Report{Process: f.cfg.Process, Life: f.cfg.Life, Number: f.reports, Held: f.replica.Document().Version(),
		InForce: f.replica.InForce(), Refused: f.replica.Refused()}
	if f.anew {
		report.Held = 0
	}
	began, wait := time.Now(), f.wait()
	u, err := f.cfg.Upstream.Poll(ctx, report, wait)
	if err != nil {
		return err
	}
	before := f.replica.Document().Version()
	if err := f.replica.Offer(u); err != nil {
		f.anew = errors.Is(err, settings.ErrGap)
		return err
	}
	f.anew, f.failures = false, 0
	if f.replica.Document().Version() != before { // what is new is tried at once
		f.refusals, f.retryAt = 0, time.Time{}
		return nil
	}
	if left := wait - time.Since(began); left > 0 { // the member has no room for those who wait
		pause(ctx, jittered(left))
	}
	return nil
}

// wait is how long a poll may wait: no longer than until what is held is put in force or written again, and not at all after one that failed, so that
// of several members that are cut off each but the first costs only the time of a call.
func (f *Follower) wait() time.Duration {
	if f.failures > 0 {
		return 0
	}
	wait := f.cfg.Limits.SettingsPoll
	if f.replica.Pending() {
		wait = min(wait, max(0, time.Until(f.retryAt)))
	}
	if f.unsaved != nil {
		wait = min(wait, max(0, time.Until(f.saveAt)))
	}
	return wait
}

// delay is the wait after so many failures.
func delay(b limits.Backoff, failures int) time.Duration {
	wait := b.First
	for range failures - 1 {
		if wait = 2 * wait; wait >= b.Most {
			return b.Most
		}
	}
	return wait
}

// jittered draws a wait of half a span or more, so that processes which failed together do not come back together.
func jittered(span time.Duration) time.Duration {
	return span/2 + rand.N(span/2+1)
}
