package http1

import (
	"context"
	"net"
	"time"
)

const (
	// finalAcceptTimeout is how long a finishing server waits for one more connection in the accept queue. It is not
	// zero, since accept checks the queue only before its deadline.
	finalAcceptTimeout = 5 * time.Millisecond
	// finishPollInterval is the interval at which Finish checks for open connections.
	finishPollInterval = time.Millisecond
)

// Drain makes each response close its connection, so that clients go elsewhere. New connections are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Resume reverts Drain.
func (s *Server) Resume() { s.draining.Store(false) }

// StopAccepting closes the listener; accepted connections are still served. If the listening socket is shared with a
// process that replaces this one, that process accepts all further connections.
func (s *Server) StopAccepting() {
	if s.stopped.Swap(true) {
		return
	}
	if ln := s.listener.Load(); ln != nil {
		_ = (*ln).Close()
	}
}

// CloseIdle closes the connections that have no request in progress.
func (s *Server) CloseIdle() { s.closeIdle(0) }

// closeIdle closes idle connections. It keeps connections that wait for their first request for less than a grace.
func (s *Server) closeIdle(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		if c.phase != idle || c.acceptedWithin(grace, now) {
			continue
		}
		// A connection with unread bytes is not idle: a request or the end of the client's stream is arriving.
		if c.nothingUnread() {
			s.retire(c)
		}
	}
}

// Finish shuts the server down gracefully: it accepts the connections in the accept queue, then stops accepting, and
// answers the requests of all accepted connections. It returns once no connection is open or the context ends. Without
// it, a request that arrives during the decision to shut down would be reset with its connection or with the queue.
func (s *Server) Finish(ctx context.Context) {
	s.finishing.Store(true)
	if ln := s.listener.Load(); ln == nil || !setAcceptDeadline(*ln) {
		s.StopAccepting()
	}
	select {
	case <-s.acceptDone:
	case <-ctx.Done():
		return
	}
	s.Drain()
	for s.OpenConns() > 0 && ctx.Err() == nil {
		sleep(ctx, finishPollInterval)
		s.closeIdle(s.limits.EvictIdleAfter)
	}
}

// prepareFinalAccept sets the deadline of the next accept if the server is finishing, and reports whether it did. If
// that deadline passes, the accept queue is empty.
func (s *Server) prepareFinalAccept(ln net.Listener) bool {
	return s.finishing.Load() && setAcceptDeadline(ln)
}

// setAcceptDeadline sets the deadline of the next accept and reports whether the listener supports deadlines.
func setAcceptDeadline(ln net.Listener) bool {
	d, ok := ln.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(finalAcceptTimeout)) == nil
}
