package settingsync

import (
	"context"
	"encoding/json"

	"gatetack/internal/kv"
	"gatetack/internal/settings"
)

// RosterTable is the table in the store of the processes that follow the settings, by name. A process is enrolled at
// its first report and remains until an operator removes it, so that a process that is lost together with its member is
// still listed.
const RosterTable = "settings-process"

// maxUnenrolled bounds the queue of processes to be enrolled. If it is full, a process is enrolled at a later report.
const maxUnenrolled = 256

// rosterEntry is the value of a process in RosterTable.
type rosterEntry struct {
	Since int64 `json:"since"` // the incarnation that was first observed
}

// enroll adds queued processes to the roster until the context ends.
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
		s.logFailure("enroll", err)
		return
	}
	op := kv.Op{Verb: kv.Put, Table: RosterTable, Key: r.Process, Value: value, Keep: true, Cond: true}
	if _, err := s.cfg.Store.Txn(ctx, &kv.Txn{Ops: []kv.Op{op}}); err != nil {
		s.logFailure("enroll", err)
	}
}

// enrolled reports whether a process is on the roster, according to this member's state of the store.
func (s *Service) enrolled(process string) bool {
	_, ok := s.cfg.Store.View().Get(RosterTable, process)
	return ok
}

// observe records a report and queues the process for enrollment if it is not on the roster.
func (s *Service) observe(r settings.Report) {
	s.mu.Lock()
	s.rollout.Observe(r, s.sinceStart())
	s.mu.Unlock()
	if s.enrolled(r.Process) {
		return
	}
	select {
	case s.unenrolled <- r:
	default: // the queue is full: the process is enrolled at its next report
	}
}

// Forget removes a process from the roster. A process that is still running is enrolled again at its next report.
func (s *Service) Forget(ctx context.Context, process string) error {
	op := kv.Op{Verb: kv.Delete, Table: RosterTable, Key: process}
	_, err := s.cfg.Store.Txn(ctx, &kv.Txn{Ops: []kv.Op{op}})
	if err != nil {
		return &UnknownError{err}
	}
	return nil
}

// withRoster adds the processes on the roster that no member observed, and removes those that are not on the roster and
// have stopped reporting.
func (s *Service) withRoster(observed []settings.Progress) []settings.Progress {
	recent := 2 * s.cfg.Limits.SettingsCallTimeout.Milliseconds()
	var out, missing []settings.Progress
	names := map[string]bool{}
	for _, p := range observed {
		if names[p.Process] = true; s.enrolled(p.Process) || p.ReportAgeMs < recent {
			out = append(out, p)
		}
	}
	for _, e := range s.cfg.Store.View().List(RosterTable, "", "", maxItems) {
		if !names[e.Key] {
			missing = append(missing, settings.Progress{Report: settings.Report{Process: e.Key}, ReportAgeMs: neverObserved})
		}
	}
	return settings.Newest(out, missing)
}

// neverObserved is the ReportAgeMs of a process of which no member has received a report since the member started.
const neverObserved = -1
