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

// Target applies settings in a process.
type Target interface {
	// Activate returns once a document is active. If it returns an error, the previous document is still active.
	Activate(ctx context.Context, d *settings.Document) error
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Process     string // name of the process, unique in the fleet
	Incarnation int64  // see Cache.NextIncarnation
	Upstream    Upstream
	Target      Target
	Cache       Cache
	Limits      limits.Limits
	Log         *slog.Logger
}

// Follower keeps the settings of a process at the latest accepted version: it polls its upstream, activates the
// updates, and writes the active settings to the cache. It does all of this in the goroutine of Run.
type Follower struct {
	cfg     FollowerConfig
	replica *settings.Replica

	polls      pollState
	activation retryState // of the received document until it is active
	cache      cacheState
}

// pollState is the state that determines the next poll.
type pollState struct {
	sequence      uint64 // of the last report
	failures      int    // consecutive
	needsSnapshot bool   // the last delta did not follow the received version
}

// cacheState is the state of the writes to the cache.
type cacheState struct {
	unsaved *settings.Document // the active document if it is not in the cache yet, otherwise nil
	retry   retryState
}

// retryState schedules the retries of a failed operation.
type retryState struct {
	failures int // consecutive
	at       time.Time
}

// recordFailure counts a failure and schedules the next attempt.
func (r *retryState) recordFailure(backoff limits.Backoff) {
	r.failures++
	r.at = time.Now().Add(jittered(backoffAfter(backoff, r.failures)))
}

// due reports whether the next attempt may be made.
func (r *retryState) due() bool { return !time.Now().Before(r.at) }

// remaining returns the time until the next attempt.
func (r *retryState) remaining() time.Duration { return max(0, time.Until(r.at)) }

// NewFollower returns a follower for a process in which a document is already active.
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

// Fetch gets the latest settings before a process starts. It returns the empty document after the timeout of one call;
// the process then starts with its base configuration.
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

// activate activates the received document in the target.
func (f *Follower) activate(ctx context.Context) {
	document := f.replica.Document()
	err := f.cfg.Target.Activate(ctx, document)
	if err != nil && ctx.Err() != nil {
		return
	}
	f.replica.NoteActivation(err)
	if err != nil {
		f.activation.recordFailure(f.cfg.Limits.SettingsRetryBackoff)
		f.cfg.Log.Error("settings not activated", "active", f.replica.ActiveVersion(),
			operr.Attrs(&ActivationError{document.Version(), err}))
		return
	}
	f.activation = retryState{}
	f.cache = cacheState{unsaved: document}
	f.cfg.Log.Info("settings activated", "version", document.Version(), "items", document.Len())
}

// save writes the active document to the cache. If the write fails, for example on a full disk, it is retried later. A
// process that starts meanwhile uses the previous settings until it gets the latest ones from a member.
func (f *Follower) save() {
	err := f.cfg.Cache.Save(f.cache.unsaved)
	if err == nil {
		f.cache = cacheState{}
		return
	}
	f.cache.retry.recordFailure(f.cfg.Limits.SettingsRetryBackoff)
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

// poll reports the state of this process and applies the update in the response.
func (f *Follower) poll(ctx context.Context) error {
	report := f.report()
	startedAt, wait := time.Now(), f.wait()
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
	if remaining := wait - time.Since(startedAt); remaining > 0 { // the member had no capacity for another waiting poll
		sleep(ctx, jittered(remaining))
	}
	return nil
}

// wait returns how long a poll may wait at the member: at most until the next attempt to activate the received document
// or to save the active one. After a failure the poll does not wait, so that each further unreachable member costs only
// the timeout of a call.
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

// backoffAfter returns the backoff after a number of consecutive failures.
func backoffAfter(b limits.Backoff, failures int) time.Duration {
	wait := b.Min
	for range failures - 1 {
		if wait = 2 * wait; wait >= b.Max {
			return b.Max
		}
	}
	return wait
}

// jittered returns a random duration between half of a duration and all of it, so that processes that failed at the
// same time do not retry at the same time.
func jittered(span time.Duration) time.Duration {
	return span/2 + rand.N(span/2+1)
}
