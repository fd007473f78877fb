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
	// Activate returns once a document is active. After an error the document before is.
	Activate(ctx context.Context, d *settings.Document) error
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Process     string // unique in the fleet
	Incarnation int64  // see Cache.NextIncarnation
	Upstream    Upstream
	Target      Target
	Cache       Cache
	Limits      limits.Limits
	Log         *slog.Logger
}

// Follower keeps a process's settings at the latest accepted version: it polls its upstream, activates what comes, and
// writes what is active to the cache. All of it happens in the goroutine of Run.
type Follower struct {
	cfg     FollowerConfig
	replica *settings.Replica

	polls      pollState
	activation retryState // of the received document, while it is not active
	cache      cacheState
}

// pollState is what the next poll depends on.
type pollState struct {
	sequence      uint64 // of the last report
	failures      int    // consecutive
	needsSnapshot bool   // the last delta did not follow the received version
}

// cacheState is what is still to be written to the cache.
type cacheState struct {
	unsaved *settings.Document // active and not in the cache, nil for none
	retry   retryState
}

// retryState says when something that failed is tried again.
type retryState struct {
	failures int // consecutive
	at       time.Time
}

// failed notes a failure and schedules the next attempt.
func (r *retryState) failed(backoff limits.Backoff) {
	r.failures++
	r.at = time.Now().Add(jittered(backoffAfter(backoff, r.failures)))
}

// due reports whether the next attempt may be made.
func (r *retryState) due() bool { return !time.Now().Before(r.at) }

// remaining is the time until the next attempt.
func (r *retryState) remaining() time.Duration { return max(0, time.Until(r.at)) }

// NewFollower returns a follower of a process in which a document is active already.
func NewFollower(cfg FollowerConfig, active *settings.Document) *Follower {
	return &Follower{cfg: cfg, replica: settings.NewReplica(active)}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.replica.Pending() && f.activation.due() {
			f.activate(ctx)
		}
		if f.cache.unsaved != nil && f.cache.retry.due() {
			f.save()
		}
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			f.polls.failures++
			f.cfg.Log.Debug("settings poll failed", "failures", f.polls.failures, operr.Attrs(err))
			sleep(ctx, jittered(backoffAfter(f.cfg.Limits.SettingsBackoff, f.polls.failures)))
		}
	}
	return nil
}

// Fetch gets the latest settings before a process starts. It gives up after the time of one call and returns the empty
// document: the process then starts with its base configuration.
func Fetch(ctx context.Context, cfg FollowerConfig) *settings.Document {
	ctx, cancel := context.WithTimeout(ctx, cfg.Limits.SettingsCallTimeout)
	defer cancel()
	empty := settings.NewDocument()
	report := settings.Report{Process: cfg.Process, Incarnation: cfg.Incarnation}
	for failures := 1; ctx.Err() == nil; failures++ {
		u, err := cfg.Upstream.Poll(ctx, report, 0)
		if err == nil {
			document, err := empty.Apply(u)
			if err == nil {
				return document
			}
		}
		cfg.Log.Debug("settings poll before the start failed", "failures", failures, operr.Attrs(err))
		sleep(ctx, jittered(backoffAfter(cfg.Limits.SettingsBackoff, failures)))
	}
	cfg.Log.Warn("no settings from any member before the start")
	return empty
}

// activate has the target act on the received document.
func (f *Follower) activate(ctx context.Context) {
	document := f.replica.Document()
	err := f.cfg.Target.Activate(ctx, document)
	if err != nil && ctx.Err() != nil {
		return
	}
	f.replica.NoteActivation(err)
	if err != nil {
		f.activation.failed(f.cfg.Limits.SettingsRetryBackoff)
		f.cfg.Log.Error("settings not activated", "active", f.replica.ActiveVersion(),
			operr.Attrs(&ActivationError{document.Version(), err}))
		return
	}
	f.activation = retryState{}
	f.cache = cacheState{unsaved: document}
	f.cfg.Log.Info("settings activated", "version", document.Version(), "items", document.Len())
}

// save writes the active document to the cache. On a disk that is full or fails it is written again later: a process
// that starts meanwhile begins with the settings before, and gets the others from a member.
func (f *Follower) save() {
	err := f.cfg.Cache.Save(f.cache.unsaved)
	if err == nil {
		f.cache = cacheState{}
		return
	}
	f.cache.retry.failed(f.cfg.Limits.SettingsRetryBackoff)
	f.cfg.Log.Warn("settings cache not written", "version", f.cache.unsaved.Version(),
		"failures", f.cache.retry.failures, operr.Attrs(err))
}

// report returns the next report of this process.
func (f *Follower) report() settings.Report {
	f.polls.sequence++
	report := settings.Report{
		Process:         f.cfg.Process,
		Incarnation:     f.cfg.Incarnation,
		Sequence:        f.polls.sequence,
		ReceivedVersion: f.replica.Document().Version(),
		ActiveVersion:   f.replica.ActiveVersion(),
		Rejected:        f.replica.Rejected(),
	}
	if f.polls.needsSnapshot {
		report.ReceivedVersion = 0
	}
	return report
}

// poll reports the state of this process and applies the update that comes back.
func (f *Follower) poll(ctx context.Context) error {
	report := f.report()
	began, wait := time.Now(), f.wait()
	u, err := f.cfg.Upstream.Poll(ctx, report, wait)
	if err != nil {
		return err
	}
	before := f.replica.Document().Version()
	if err := f.replica.Receive(u); err != nil {
		f.polls.needsSnapshot = errors.Is(err, settings.ErrGap)
		return err
	}
	f.polls.needsSnapshot, f.polls.failures = false, 0
	if f.replica.Document().Version() != before { // a new document is activated at once
		f.activation = retryState{}
		return nil
	}
	if left := wait - time.Since(began); left > 0 { // the member had no capacity for another poll that waits
		sleep(ctx, jittered(left))
	}
	return nil
}

// wait is how long a poll may wait at the member: no longer than until the received document is activated again or the
// active one is saved again. After a failure it does not wait, so that each of several unreachable members but the
// first costs only the time of a call.
func (f *Follower) wait() time.Duration {
	if f.polls.failures > 0 {
		return 0
	}
	wait := f.cfg.Limits.SettingsPollWait
	if f.replica.Pending() {
		wait = min(wait, f.activation.remaining())
	}
	if f.cache.unsaved != nil {
		wait = min(wait, f.cache.retry.remaining())
	}
	return wait
}

// backoffAfter is the wait after a number of consecutive failures.
func backoffAfter(b limits.Backoff, failures int) time.Duration {
	wait := b.Min
	for range failures - 1 {
		if wait = 2 * wait; wait >= b.Max {
			return b.Max
		}
	}
	return wait
}

// jittered draws a wait between half a span and all of it, so that processes which failed together do not come back
// together.
func jittered(span time.Duration) time.Duration {
	return span/2 + rand.N(span/2+1)
}
