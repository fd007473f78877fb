package http1

import (
	"net"
	"slices"
	"time"

	"gatetack/internal/slowpeer"
)

// evictionRank orders connections by what closing them costs. The lowest is closed first.
type evictionRank uint8

const (
	rankUnreadAnswer evictionRank = iota // its client leaves its last answer unread
	rankStranger                         // it carried no request of a known client
	rankKnownIdle                        // it is idle, and its client is known
	rankStalled                          // its answer is written to a client that has stopped reading
	rankNotEvictable                     // a request comes, is handled, or its answer goes to a client that reads
)

const (
	// minStallForEviction is how long a client must have read nothing of an answer, with the kernel's buffers full, before
	// its connection may be closed for another.
	minStallForEviction = 500 * time.Millisecond
	// maxUnreadSkips bounds how many connections with unread bytes are passed over in a search for one to close.
	maxUnreadSkips = 8
)

// admit counts a new connection in and settles its service: keep-alive within the budget, and within its
// address's share where shares are kept; past that a single answer, and past the reserve a rejection. Over the
// budget another connection is closed for it, if one can be.
func (s *Server) admit(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.limits.ClientConns {
		s.evictLocked(0)
	}
	s.conns[c] = struct{}{}
	s.open++
	c.phaseSince = time.Now()
	s.lastActive = c.phaseSince
	switch {
	case s.open > s.limits.ClientConns+s.limits.OverflowConns:
		c.service = rejectOnly
	case s.open > s.limits.ClientConns:
		c.service = singleAnswer
	}
	if s.limits.SlowPeers.SharePerAddress {
		s.admitToShare(c)
	}
}

// admitToShare counts a connection against its address's share. Past that it gets a single answer, as all do past the
// budget.
func (s *Server) admitToShare(c *conn) {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if s.shares.Acquire(host, 1) == slowpeer.Keep {
		c.shareOwner = host
		return
	}
	s.tally.Add(slowpeer.ClientOverShare)
	c.service = max(c.service, singleAnswer)
}

// evict closes a connection to free its descriptor, and returns it, or nil if none may be closed. A connection that was
// just made may be about to carry a request, and the one that waits for the descriptor is worth no more: it stays.
func (s *Server) evict() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evictLocked(s.limits.EvictIdleAfter)
}

func (s *Server) evictLocked(minAge time.Duration) *conn {
	candidate := s.evictionCandidate(minAge)
	if candidate == nil {
		return nil
	}
	switch candidate.phase {
	case idle, reading:
		s.retire(candidate)
	case answering:
		s.tally.Add(slowpeer.ClientResponseLost)
		s.closeNow(candidate)
	default:
		s.closeNow(candidate)
	}
	return candidate
}

// evictionCandidate is the connection to close for another, or nil. One with unread bytes is not idle though it
// seems so, and is passed over. Connections that carried no request yet count from minAge on.
func (s *Server) evictionCandidate(minAge time.Duration) *conn {
	var skipped [maxUnreadSkips]*conn
	for i := range skipped {
		lowest := s.lowestRanked(skipped[:i], minAge)
		if lowest == nil || lowest.phase != idle || lowest.nothingUnread() {
			return lowest
		}
		skipped[i] = lowest
	}
	return nil
}

// lowestRanked is the evictable connection with the lowest rank, of those the one longest in its phase, that is
// not among the skipped.
func (s *Server) lowestRanked(skipped []*conn, minAge time.Duration) *conn {
	var lowest *conn
	lowestRank := rankNotEvictable
	now := time.Now()
	for c := range s.conns {
		rank := c.evictionRank(now)
		switch {
		case rank == rankNotEvictable || slices.Contains(skipped, c):
		case !c.hadRequest && now.Sub(c.phaseSince) < minAge:
		case rank < lowestRank || rank == lowestRank && c.phaseSince.Before(lowest.phaseSince):
			lowest, lowestRank = c, rank
		}
	}
	return lowest
}

func (c *conn) evictionRank(now time.Time) evictionRank {
	switch {
	case c.phase == lingering, c.phase == idle && c.unreadAnswer:
		return rankUnreadAnswer
	case c.phase == idle && c.knownClient:
		return rankKnownIdle
	case c.phase == idle, c.phase == reading && !c.knownClient:
		return rankStranger
	case c.phase == answering && c.WriteStalledFor(now) > minStallForEviction:
		return rankStalled
	}
	return rankNotEvictable
}
