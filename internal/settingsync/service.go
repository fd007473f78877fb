package settingsync

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/kv"
	"gatetack/internal/limits"
	"gatetack/internal/membership"
	"gatetack/internal/operr"
	"gatetack/internal/settings"
)

// Store is the interface of a member of the replicated store.
type Store interface {
	// Changes returns the events of a table after a version. upTo is the version up to which they are complete, lost
	// reports that some events are no longer buffered, and more is closed at the next event.
	Changes(after uint64, table string) (events []kv.Event, upTo uint64, lost bool, more <-chan struct{})
	// CatchUp returns once this member has applied all transactions that were committed before the call.
	CatchUp(ctx context.Context) error
	// HasLeader reports whether this member knows a leader.
	HasLeader() bool
	// View returns the state of this member.
	View() *kv.View
	// Txn commits a transaction.
	Txn(ctx context.Context, t *kv.Txn) (*kv.Result, error)
	// Members returns the members of the store.
	Members() (membership.Cluster, error)
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Name     string // of this member
	Store    Store
	Validate func(*settings.Document) error // returns an error if this member could not activate a document
	Call     Caller
	Limits   limits.Limits
	Log      *slog.Logger
}

// Service serves the settings on one member of the store. Run has two goroutines: one follows the table in the store,
// the other adds processes to the roster. Calls are handled in the goroutines of the member's listener.
type Service struct {
	cfg       ServiceConfig
	startedAt time.Time

	mu      sync.Mutex
	ready   bool // this member has caught up with the store once
	history *settings.History
	rollout *settings.Rollout
	changed chan struct{} // closed and replaced at the next version

	unenrolled   chan settings.Report // reports of processes that are not on the roster yet
	waitingPolls atomic.Int64         // polls from other processes that are waiting for an update
}

// NewService returns a service. It answers polls once Run has caught up with the store.
func NewService(cfg ServiceConfig) *Service {
	return &Service{
		cfg:        cfg,
		startedAt:  time.Now(),
		history:    settings.NewHistory(),
		rollout:    settings.NewRollout(),
		changed:    make(chan struct{}),
		unenrolled: make(chan settings.Report, maxUnenrolled),
	}
}

func (s *Service) sinceStart() time.Duration { return time.Since(s.startedAt) }

// Run serves until the context ends.
func (s *Service) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { s.enroll(ctx); return nil })
	g.Go(func() error { s.follow(ctx); return nil })
	return g.Wait()
}

// follow applies the changes of the table to the history until the context ends.
func (s *Service) follow(ctx context.Context) {
	if !s.catchUp(ctx) {
		return
	}
	cursor := s.reload()
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
	for {
		events, upTo, lost, more := s.cfg.Store.Changes(cursor, settings.Table)
		if lost || !s.applyEvents(events) {
			cursor = s.reload()
			continue
		}
		cursor = upTo
		select {
		case <-more:
		case <-ctx.Done():
			return
		}
	}
}

// catchUp returns true once this member has caught up with the store, and false if the context ends before.
func (s *Service) catchUp(ctx context.Context) bool {
	wait := s.cfg.Limits.SettingsBackoff.Min
	for ctx.Err() == nil {
		err := s.cfg.Store.CatchUp(ctx)
		if err == nil {
			return true
		}
		s.cfg.Log.Debug("settings not caught up", "err", err)
		sleep(ctx, wait)
		wait = min(2*wait, s.cfg.Limits.SettingsBackoff.Max)
	}
	return false
}

// reload reads the whole table into the history and returns the version of the store at which it was read.
func (s *Service) reload() uint64 {
	view := s.cfg.Store.View()
	s.appendUpdate(snapshotOf(view))
	return view.Index()
}

// snapshotOf reads the document from the table.
func snapshotOf(view *kv.View) settings.Update {
	u := settings.Update{Snapshot: true}
	for _, e := range view.List(settings.Table, "", "", maxItems) {
		if e.Key == settings.HeadKey {
			u.Version = e.Version
			continue
		}
		u.Changes = append(u.Changes, settings.Change{Key: e.Key, Version: e.Version, Value: e.Value})
	}
	return u
}

// maxItems is the limit for reading a whole table. It exceeds the maximum number of entries in a table.
const maxItems = 1 << 16

// applyEvents converts the events of each transaction to an update and appends the updates in order. It returns false
// if one of them does not follow the history.
func (s *Service) applyEvents(events []kv.Event) bool {
	for len(events) > 0 {
		n := 1
		for n < len(events) && events[n].Version == events[0].Version {
			n++
		}
		u, ok := updateOf(events[:n])
		if !ok || !s.appendUpdate(u) {
			return false
		}
		events = events[n:]
	}
	return true
}

// updateOf converts the events of one transaction to an update. It returns false if the head is absent or invalid.
func updateOf(events []kv.Event) (settings.Update, bool) {
	u := settings.Update{Version: events[0].Version}
	hasHead := false
	for _, e := range events {
		switch {
		case e.Key == settings.HeadKey && e.Verb == kv.Put:
			var head settings.Head
			hasHead = json.Unmarshal(e.Value, &head) == nil
			u.From = head.Previous
		case e.Verb == kv.Delete:
			u.Changes = append(u.Changes, settings.Change{Key: e.Key, Version: e.Version})
		default:
			u.Changes = append(u.Changes, settings.Change{Key: e.Key, Version: e.Version, Value: e.Value})
		}
	}
	return u, hasHead
}

// appendUpdate appends an update to the history and wakes the waiting polls. It returns false if the update does not
// follow the history.
func (s *Service) appendUpdate(u settings.Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.history.Document().Version()
	switch err := s.history.Append(u); {
	case errors.Is(err, settings.ErrStale):
		return true // the table was read again, or the store was restored
	case err != nil:
		return false
	}
	if s.history.Document().Version() == before {
		return true
	}
	s.rollout.Accept(u.Version, s.sinceStart())
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// Poll records a report and returns the update that follows the received version, as soon as there is one or after the
// wait. The version of the update is lower than the received one if this member is behind. A member that knows no
// leader cannot know whether there is an update and returns a NotReadyError, so that the process polls another member.
func (s *Service) Poll(ctx context.Context, report settings.Report, wait time.Duration) (settings.Update, error) {
	timer := time.NewTimer(min(max(wait, 0), s.cfg.Limits.SettingsPollWait))
	defer timer.Stop()
	s.observe(report)
	for {
		u, changed, err := s.updateAfter(report.ReceivedVersion)
		if err != nil || u.Version > report.ReceivedVersion {
			return u, err
		}
		if !s.cfg.Store.HasLeader() {
			return settings.Update{}, &NotReadyError{}
		}
		select {
		case <-changed:
		case <-timer.C:
			if !s.cfg.Store.HasLeader() {
				return settings.Update{}, &NotReadyError{}
			}
			return u, nil
		case <-ctx.Done():
			return settings.Update{}, ctx.Err()
		}
	}
}

// updateAfter returns the update that follows a version, and a channel that is closed at the next version.
func (s *Service) updateAfter(received uint64) (settings.Update, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return settings.Update{}, nil, &NotReadyError{}
	}
	latest := s.history.Document().Version()
	if latest < received {
		return settings.Update{Version: latest, From: latest, Changes: []settings.Change{}}, s.changed, nil
	}
	return s.history.After(received), s.changed, nil
}

// logFailure logs an error that is also returned to the caller.
func (s *Service) logFailure(operation string, err error) {
	s.cfg.Log.Debug("settings call failed", "operation", operation, operr.Attrs(err))
}

// sleep returns after a duration, or when the context ends.
func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
