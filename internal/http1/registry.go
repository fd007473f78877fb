package http1

import (
	"time"

	"gatetack/internal/slowpeer"
)

// This file contains the server's bookkeeping of connections under Server.mu, except for eviction.

// setPhase moves a connection to a phase. It returns false if the connection is closed or retiring. Closing a
// connection and accepting a request from it are mutually exclusive: a client would resend a request that was accepted
// but lost with its connection, and the request would run twice. A retiring connection becomes active again only with
// a request that its last read found.
func (s *Server) setPhase(c *conn, next phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.phase == closed:
		return false
	case c.phase == retiring && (next == idle || next == reading):
		return false
	case c.phase == retiring:
		s.open++
		c.service = max(c.service, singleResponse)
	}
	if next == handling {
		// A client that sends the next request has read the last response or no longer needs it.
		c.unreadResponse = false
		c.RestartSendMeter()
	}
	if c.phase != next && c.hadRequest {
		c.phaseSince = time.Now()
		if next == idle {
			s.signalFreed()
		}
	}
	c.phase = next
	c.hadRequest = c.hadRequest || next == handling
	return true
}

// recordResponse records after a response whether the client is known and whether the response is still unread.
func (s *Server) recordResponse(c *conn, knownClient, unread bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.knownClient = c.knownClient || knownClient
	if unread && c.phase != closed {
		c.unreadResponse = true
	}
}

// remove unregisters a connection after its descriptor is closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	if c.phase != closed && c.phase != retiring {
		s.open--
	}
	if c.shareOwner != "" {
		s.shares.Release(c.shareOwner, 1)
	}
	close(c.ended)
	s.mu.Unlock()
	s.signalFreed()
}

// signalFreed wakes the accept loop if it waits for a descriptor.
func (s *Server) signalFreed() {
	select {
	case s.descriptorFreed <- struct{}{}:
	default:
	}
}

// descriptorsExhausted reports whether no descriptor is left for one more connection, even a short-lived one.
func (s *Server) descriptorsExhausted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) >= s.share(s.limits.ClientConns+s.limits.OverflowConns+s.limits.RejectConns)
}

// overflowAwaitsFirstRequests reports whether the budget and the overflow reserve are used up and none of their
// connections is evictable before its first request had time to arrive. The next connection would be rejected, although
// one of them may soon be evicted for it.
func (s *Server) overflowAwaitsFirstRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open < s.share(s.limits.ClientConns+s.limits.OverflowConns) {
		return false
	}
	candidate := s.evictionCandidate()
	return candidate != nil && s.awaitsFirstRequest(candidate, time.Now())
}

// retire starts to close a connection on which no request is being handled. The session closes it after a last read, so
// that a request which arrived after the decision, or which the reader had not yet counted, is answered first. The
// caller holds s.mu.
func (s *Server) retire(c *conn) {
	c.phase = retiring
	c.unreadResponse = false
	s.open--
	c.BoundReads(expiredDeadline)
}

func (s *Server) isRetiring(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.phase == retiring
}

// closeNow closes a connection regardless of unread or unsent data. The caller holds s.mu.
func (s *Server) closeNow(c *conn) {
	c.phase = closed
	c.unreadResponse = false
	s.open--
	_ = c.Close()
}

// retireSlowReaders closes the connections whose clients read a finished response below the minimum rate. Such a
// response occupies no request and no buffer of the node, but the kernel buffers its bytes and continues to send them
// for a while after the close.
func (s *Server) retireSlowReaders() {
	for _, c := range s.slowReaders() {
		s.reportSlowClient(slowpeer.ClientReadsSlowly, c, c.slowReader)
	}
}

func (s *Server) slowReaders() (slow []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pressure := s.limits.SlowPeers.Pressure(s.open, s.share(s.limits.ClientConns))
	for c := range s.conns {
		if !c.unreadResponse {
			continue
		}
		c.Tighten(pressure)
		unacknowledged, tooSlow := c.Unacknowledged()
		switch {
		case unacknowledged == 0:
			c.unreadResponse = false
		case tooSlow != nil && (c.phase == idle || c.phase == reading):
			c.slowReader = tooSlow
			slow = append(slow, c)
			s.retire(c)
		}
	}
	return slow
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// LastActive returns when a connection was last accepted or a request last started or ended.
func (s *Server) LastActive() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastActive
}

func (s *Server) markActive() {
	s.mu.Lock()
	s.lastActive = time.Now()
	s.mu.Unlock()
}
