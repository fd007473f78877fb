package store

import (
	"context"

	"gatetack/internal/http1"
	"gatetack/internal/kv"
)

// Mount has a handler answer the calls under /v1/NAME on this member's listener. The table of the same name is then written by
// transactions of the handler's alone: operators' writes to it are refused. It must be called before Run.
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

// Changes returns the changes of a table after a version, as this member has them, and the version up to which they are told. Lost
// says that some are no longer kept: the table is then to be read anew. More is closed at the store's next change.
func (s *Store) Changes(after uint64, table string) (events []kv.Event, upTo uint64, lost bool, more <-chan struct{}) {
	return s.fsm.changesAfter(after, table, "")
}

// CatchUp returns once this member has all that was written before the call.
func (s *Store) CatchUp(ctx context.Context) error { return s.awaitFresh(ctx, nil) }

// HasLeader reports whether this member knows a leader. One that is cut off from most others does not, soon after.
func (s *Store) HasLeader() bool {
	addr, _ := s.raft.LeaderWithID()
	return addr != ""
}
