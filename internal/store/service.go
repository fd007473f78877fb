package store

import (
	"context"

	"gatetack/internal/http1"
	"gatetack/internal/kv"
)

// Mount registers a handler for the calls under /v1/NAME on this member's listener. Only the handler writes the table
// of the same name; direct writes of operators to that table are rejected. Mount must be called before Run.
func (s *Store) Mount(name string, h http1.Handler) {
	if s.services == nil {
		s.services = map[string]http1.Handler{}
	}
	s.services[name] = h
}

func (s *Store) service(name string) (http1.Handler, bool) {
	h, ok := s.services[name]
	return h, ok
}

// Changes returns the changes of a table after a version that this member has applied. upTo is the version up to which
// they are complete. lost reports that some changes are no longer buffered, so that the table must be read again. more
// is closed at the next change of the store.
func (s *Store) Changes(after uint64, table string) (events []kv.Event, upTo uint64, lost bool, more <-chan struct{}) {
	return s.fsm.changesAfter(after, table, "")
}

// CatchUp returns once this member has applied all transactions that were committed before the call.
func (s *Store) CatchUp(ctx context.Context) error { return s.catchUp(ctx, nil) }

// HasLeader reports whether this member knows a leader. A member that is partitioned from the majority loses its leader
// after the election timeout.
func (s *Store) HasLeader() bool {
	addr, _ := s.raft.LeaderWithID()
	return addr != ""
}
