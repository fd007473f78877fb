package settingsync

import (
	"context"
	"encoding/json"

	"gatetack/internal/kv"
	"gatetack/internal/settings"
)

// RosterTable is the store's table of the processes that act on the settings, by their names. A process is put there when it is
// first heard and stays until it is forgotten, so that one which is lost, with the member that heard it, is not lost to sight.
const RosterTable = "settings-process"

// maxUnenrolled bounds the processes that wait to be put on the roster; the others are when they are heard again.
const maxUnenrolled = 256

// rosterEntry is the value of a process on the roster.
type rosterEntry struct {
	Since int64 `json:"since"` // when its life began in which it was first heard, Unix ms
}

// enroll puts processes on the roster that are not there yet, until the context ends.
func (s *Service) enroll(ctx context.Context) {
	for {
		select {
		case r := <-s.unenrolled:
			s.enrollOne(ctx, r)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) enrollOne(ctx context.Context, r settings.Report) {
	if s.enrolled(r.Process) {
		return
	}
	value, err := json.Marshal(rosterEntry{Since: r.Incarnation})
	if err != nil {
		s.logFailure("the roster", err)
		return
	}
	op := kv.Op{Verb: kv.Put, Table: RosterTable, Key: r.Process, Value: value, Keep: true, Cond: true}
	if _, err := s.cfg.Store.Txn(ctx, &kv.Txn{Ops: []kv.Op{op}}); err != nil {
		s.logFailure("the roster", err)
	}
}

// enrolled reports whether a process is on the roster, as this member has it.
func (s *Service) enrolled(process string) bool {
	_, ok := s.cfg.Store.View().Get(RosterTable, process)
	return ok
}

// observe takes a report in.
func (s *Service) observe(r settings.Report) {
	s.mu.Lock()
	s.rollout.Observe(r, s.elapsed())
	s.mu.Unlock()
	if s.enrolled(r.Process) {
		return
	}
	select {
	case s.unenrolled <- r:
	default: // it will be heard again
	}
}

// Forget takes a process off the roster. One that lives comes back when it is heard.
func (s *Service) Forget(ctx context.Context, process string) error {
	op := kv.Op{Verb: kv.Delete, Table: RosterTable, Key: process}
	_, err := s.cfg.Store.Txn(ctx, &kv.Txn{Ops: []kv.Op{op}})
	if err != nil {
		return &UnknownError{err}
	}
	return nil
}

// withRoster adds the processes of the roster that no member has heard, and takes out those that are forgotten and silent.
func (s *Service) withRoster(heard []settings.Progress) []settings.Progress {
	recent := 2 * s.cfg.Limits.SettingsCall.Milliseconds()
	var out, missing []settings.Progress
	names := map[string]bool{}
	for _, p := range heard {
		if names[p.Process] = true; s.enrolled(p.Process) || p.SilentMs < recent {
			out = append(out, p)
		}
	}
	for _, e := range s.cfg.Store.View().List(RosterTable, "", "", maxItems) {
		if !names[e.Key] {
			missing = append(missing, settings.Progress{Report: settings.Report{Process: e.Key}, SilentMs: neverObserved})
		}
	}
	return settings.Newest(out, missing)
}

// neverObserved stands for the silence of a process that no member has heard since the member's start.
const neverObserved = -1
