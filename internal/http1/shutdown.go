package http1

import (
	"context"
	"net"
	"time"
)

const (
	// finalAcceptTimeout is how long a server that ends waits for one more connection in its listener's queue. It is not
	// zero, since accept looks into the queue only while its deadline is ahead.
	finalAcceptTimeout = 5 * time.Millisecond
	// finishPollInterval is the time between looks at which connections are still open at the end.
	finishPollInterval = time.Millisecond
)

// Drain sends clients elsewhere: from now on each answer ends its connection. New connections are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Resume undoes Drain.
func (s *Server) Resume() { s.draining.Store(false) }

// StopAccepting closes the listener; connections that were accepted are served on. Where the listening socket is
// shared with a process that replaces this one, that process accepts what comes from now on.
func (s *Server) StopAccepting() {
	if s.stopped.Swap(true) {
		return
	}
	if ln := s.listener.Load(); ln != nil {
		_ = (*ln).Close()
	}
}

// CloseIdle closes the connections that are between requests.
func (s *Server) CloseIdle() { s.closeIdle(0) }

// closeIdle closes idle connections. Those that carried no request yet count from minAge on: the first may be on
// its way.
func (s *Server) closeIdle(minAge time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		if c.phase != idle || !c.hadRequest && now.Sub(c.phaseSince) < minAge {
			continue
		}
		// One with unread bytes is not idle: a request comes on it, or its client's end.
		if c.nothingUnread() {
			s.retire(c)
		}
	}
}

// Finish ends the server: it accepts the connections that wait in the listener's queue, then no more, and
// answers all that it accepted. It returns once no connection is open, or the context ends. Without it a request
// that came just when the node decided to end would be reset with its connection, or with the queue.
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

// prepareFinalAccept sets the deadline of the next accept if the server ends, and says whether it did: if that
// passes, the queue is empty.
func (s *Server) prepareFinalAccept(ln net.Listener) bool {
	return s.finishing.Load() && setAcceptDeadline(ln)
}

// setAcceptDeadline bounds the next accept, and says whether the listener allows that.
func setAcceptDeadline(ln net.Listener) bool {
	d, ok := ln.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(finalAcceptTimeout)) == nil
}
