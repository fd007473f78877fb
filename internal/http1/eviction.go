package http1

import (
	"net"
	"slices"
	"time"

	"gatetack/internal/slowpeer"
)

// evictionRank orders connections by the cost of closing them. The connection with the lowest rank is evicted first.
type evictionRank uint8

const (
	rankUnreadResponse evictionRank = iota // the client has not read the last response
	rankUnknownClient                      // no request of a known client has used the connection
	rankKnownIdle                          // idle connection of a known client
	rankStalled                            // the response is being written, but the client has stopped reading
	rankNotEvictable                       // a request arrives or is handled, or the client reads its response
)

const (
	// minStallForEviction is how long a write of a response must have been blocked by full kernel buffers before the
	// connection may be evicted.
	minStallForEviction = 500 * time.Millisecond
	// maxUnreadSkips bounds how many connections with unread bytes a search for an eviction candidate skips.
	maxUnreadSkips = 8
)

// admit registers a new connection and sets its service: keep-alive within the budget and, if shares are enabled,
// within the share of its address; a single response above that; and a rejection above the overflow reserve. If the
// budget is used up, admit evicts another connection when one is evictable.
func (s *Server) admit(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.share(s.limits.ClientConns) {
		s.evictLocked(0)
	}
	s.conns[c] = struct{}{}
	s.open++
	c.phaseSince = time.Now()
	s.lastActive = c.phaseSince
	switch {
	case s.open > s.share(s.limits.ClientConns+s.limits.OverflowConns):
		c.service = rejectOnly
	case s.open > s.share(s.limits.ClientConns):
		c.service = singleResponse
	}
	if s.limits.SlowPeers.SharePerAddress {
		s.admitToShare(c)
	}
}

// admitToShare counts a connection against the share of its address. A connection over the share gets a single
// response, like a connection over the budget.
func (s *Server) admitToShare(c *conn) {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if s.shares.Acquire(host, 1) == slowpeer.Keep {
		c.shareOwner = host
		return
	}
	s.tally.Add(slowpeer.ClientOverShare)
	c.service = max(c.service, singleResponse)
}

// evict closes a connection to free its descriptor and returns it, or nil if none is evictable. A connection without a
// request that is younger than EvictIdleAfter is not evicted: its request may be on the way, and the connection that
// waits for the descriptor has no higher priority.
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
	case responding:
		s.tally.Add(slowpeer.ClientResponseLost)
		s.closeNow(candidate)
	default:
		s.closeNow(candidate)
	}
	return candidate
}

// evictionCandidate returns the connection to evict, or nil. It skips connections in the idle phase that have unread
// bytes, since a request is arriving on them, and connections without a request that are younger than minAge.
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

// lowestRanked returns the evictable connection with the lowest rank that is not in skipped, or nil. Of connections
// with equal rank it returns the one that has been in its phase longest.
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
	case c.phase == lingering, c.phase == idle && c.unreadResponse:
		return rankUnreadResponse
	case c.phase == idle && c.knownClient:
		return rankKnownIdle
	case c.phase == idle, c.phase == reading && !c.knownClient:
		return rankUnknownClient
	case c.phase == responding && c.WriteStalledFor(now) > minStallForEviction:
		return rankStalled
	}
	return rankNotEvictable
}
