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

// Store is the part of a member of the replicated store that settings need.
type Store interface {
	Changes(after uint64, table string) (events []kv.Event, upTo uint64, lost bool, more <-chan struct{})
	CatchUp(ctx context.Context) error
	HasLeader() bool
	View() *kv.View
	Txn(ctx context.Context, t *kv.Txn) (*kv.Result, error)
	Members() (membership.Cluster, error)
}

// ServiceConfig is what a Service needs.
type ServiceConfig struct {
	Name     string // of this member
	Store    Store
	Validate func(*settings.Document) error // whether this member could put a document in force
	Call     Caller
	Limits   limits.Limits
	Log      *slog.Logger
}

// Service answers for the settings on one member of the store.
type Service struct {
	cfg   ServiceConfig
	began time.Time

	mu      sync.Mutex
	ready   bool // this member had once all that was written
	history *settings.History
	rollout *settings.Rollout
	changed chan struct{} // closed at the next version

	newcomers chan settings.Report // of processes that are to be put on the roster
	waiting   atomic.Int64         // polls of other processes
}

// NewService returns a service. It answers polls once Run has caught up with the store.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg, began: time.Now(), history: settings.NewHistory(), rollout: settings.NewRollout(), changed: make(chan struct{}),
		newcomers: make(chan settings.Report, maxNewcomers)}
}

func (s *Service) now() time.Duration { return time.Since(s.began) }

// Run serves until the context ends.
func (s *Service) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { s.enroll(ctx); return nil })
	g.Go(func() error { s.follow(ctx); return nil })
	return g.Wait()
}

// follow takes in what changes in the store until the context ends.
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
		if lost || !s.take(events) {
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

// catchUp returns once this member has all that was written before, false when the context ends.
func (s *Service) catchUp(ctx context.Context) bool {
	wait := s.cfg.Limits.SettingsBackoff.First
	for ctx.Err() == nil {
		err := s.cfg.Store.CatchUp(ctx)
		if err == nil {
			return true
		}
		s.cfg.Log.Debug("settings: this member has not caught up yet", "err", err)
		pause(ctx, wait)
		wait = min(2*wait, s.cfg.Limits.SettingsBackoff.Most)
	}
	return false
}

// reload reads the whole table and returns the store's version up to which that is.
func (s *Service) reload() uint64 {
	view := s.cfg.Store.View()
	s.append(snapshotOf(view))
	return view.Index()
}

// snapshotOf reads the document from the store's table.
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

// maxItems bounds the items that are read from the store, which keeps fewer in a table.
const maxItems = 1 << 16

// take makes updates of the store's events, in their order. False says that they do not follow the version that is held.
func (s *Service) take(events []kv.Event) bool {
	for len(events) > 0 {
		n := 1
		for n < len(events) && events[n].Version == events[0].Version {
			n++
		}
		u, ok := updateOf(events[:n])
		if !ok || !s.append(u) {
			return false
		}
		events = events[n:]
	}
	return true
}

// updateOf makes an update of one transaction's events. False: it has no head, or one that can not be read.
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

// append takes an update in and wakes who waits for it. False says that it does not follow what is held.
func (s *Service) append(u settings.Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.history.Document().Version()
	switch err := s.history.Append(u); {
	case errors.Is(err, settings.ErrStale):
		return true // of a log that is read once more, or of a store that was restored
	case err != nil:
		return false
	}
	if s.history.Document().Version() == before {
		return true
	}
	s.rollout.Accept(u.Version, s.now())
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// Poll takes a report in and returns what follows the version that its process holds, once there is any or the wait is over. The
// version of the answer is older than that where this member is behind. A member that knows no leader can not tell whether there is
// any, and its answer is an error: another may be asked.
func (s *Service) Poll(ctx context.Context, report settings.Report, wait time.Duration) (settings.Update, error) {
	timer := time.NewTimer(min(max(wait, 0), s.cfg.Limits.SettingsPoll))
	defer timer.Stop()
	s.hear(report)
	for {
		u, changed, err := s.after(report.Held)
		if err != nil || u.Version > report.Held {
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

// after returns what follows a version, and what is closed at the next one.
func (s *Service) after(held uint64) (settings.Update, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return settings.Update{}, nil, &NotReadyError{}
	}
	latest := s.history.Document().Version()
	if latest < held {
		return settings.Update{Version: latest, From: latest, Changes: []settings.Change{}}, s.changed, nil
	}
	return s.history.After(held), s.changed, nil
}

// logFailure notes what a caller is told anyway.
func (s *Service) logFailure(what string, err error) {
	s.cfg.Log.Debug("settings: "+what, operr.Attrs(err))
}

// pause waits, or until the context ends.
func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
