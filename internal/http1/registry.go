package http1

import (
	"time"

	"gatetack/internal/slowpeer"
)

// This file holds the server's view of its connections: all that is guarded by Server.mu, but for eviction.

// setPhase moves a connection to a phase, and fails if it was closed or is retiring. Closing a connection and
// taking a request from it exclude one another here: a request that was taken and lost with its connection would
// be sent again by its client, and run twice. From retiring it returns only with a request that its last read
// found.
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
		c.service = max(c.service, singleAnswer)
	}
	if next == handling {
		// A client that asks for the next answer has read the last, or gives it up.
		c.unreadAnswer = false
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

// noteAnswer notes what the answer to a request showed of its client.
func (s *Server) noteAnswer(c *conn, knownClient, unread bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.knownClient = c.knownClient || knownClient
	if unread && c.phase != closed {
		c.unreadAnswer = true
	}
}

// remove forgets a connection whose descriptor is closed.
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

// signalFreed wakes the accept loop, should it wait for a descriptor.
func (s *Server) signalFreed() {
	select {
	case s.descriptorFreed <- struct{}{}:
	default:
	}
}

// descriptorsExhausted says whether there is no descriptor for one more connection, however short-lived.
func (s *Server) descriptorsExhausted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) >= s.limits.ClientConns+s.limits.OverflowConns+s.limits.RejectConns
}

// retire has a connection closed under which no request is handled. Its session closes it after a last read, so that a
// request which came after the decision, or which the reader had not counted yet, is answered first. s.mu is held.
func (s *Server) retire(c *conn) {
	c.phase = retiring
	c.unreadAnswer = false
	s.open--
	c.BoundReads(expiredDeadline)
}

func (s *Server) isRetiring(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.phase == retiring
}

// closeNow closes a connection whatever is still to be read or written on it. s.mu is held.
func (s *Server) closeNow(c *conn) {
	c.phase = closed
	c.unreadAnswer = false
	s.open--
	_ = c.Close()
}

// retireSlowReaders closes the connections whose client reads a finished answer below the minimum rate. Such
// answers hold no request and no buffer of the node's, but the kernel holds their bytes, and goes on sending
// them for a while.
func (s *Server) retireSlowReaders() {
	for _, c := range s.slowReaders() {
		s.reportSlowClient(slowpeer.ClientReadsSlowly, c, c.slowReader)
	}
}

func (s *Server) slowReaders() (slow []*conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pressure := s.limits.SlowPeers.Pressure(s.open, s.limits.ClientConns)
	for c := range s.conns {
		if !c.unreadAnswer {
			continue
		}
		c.Tighten(pressure)
		unacknowledged, tooSlow := c.Unacknowledged()
		switch {
		case unacknowledged == 0:
			c.unreadAnswer = false
		case tooSlow != nil && (c.phase == idle || c.phase == reading):
			c.slowReader = tooSlow
			slow = append(slow, c)
			s.retire(c)
		}
	}
	return slow
}

// OpenConns is how many connections are open.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// LastActive is when a connection was last accepted, or a request last began or ended.
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
