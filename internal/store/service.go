package store

import (
	"context"

	"gatetack/internal/http1"
	"gatetack/internal/kv"
)

// Mount registers a handler for the calls under /v1/NAME on this member's listener. Only the handler's transactions
// then write the table of the same name; operators' writes to it are rejected. Mount must be called before Run.
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

// Changes returns the changes of a table after a version, as this member has them, and the version up to which they
// reach. lost reports that some are no longer kept, so that the table must be read anew. more is closed at the store's
// next change.
func (s *Store) Changes(after uint64, table string) (events []kv.Event, upTo uint64, lost bool, more <-chan struct{}) {
	return s.fsm.changesAfter(after, table, "")
}

// CatchUp returns once this member has all that was committed before the call.
func (s *Store) CatchUp(ctx context.Context) error { return s.awaitFresh(ctx, nil) }

// HasLeader reports whether this member knows a leader. A member that is cut off from the majority soon does not.
func (s *Store) HasLeader() bool {
	addr, _ := s.raft.LeaderWithID()
	return addr != ""
}
