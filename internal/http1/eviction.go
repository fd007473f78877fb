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
	rankUnreadResponse     evictionRank = iota // the client has not read the last response
	rankUnknownClient                          // no request of a known client has used the connection
	rankAwaitsFirstRequest                     // no request yet, and the first one may still be arriving
	rankKnownIdle                              // idle connection of a known client
	rankStalled                                // the response is being written, but the client has stopped reading
	rankNotEvictable                           // a request arrives or is handled, or the client reads its response
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
		s.evictLocked()
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

// evict closes a connection to free its descriptor and returns it, or nil if none is evictable.
func (s *Server) evict() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evictLocked()
}

func (s *Server) evictLocked() *conn {
	candidate := s.evictionCandidate()
	if candidate == nil || s.awaitsFirstRequest(candidate, time.Now()) {
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

// evictionCandidate returns the connection with the lowest rank, or nil if none is evictable. It skips connections in
// the idle phase that have unread bytes, since a request is arriving on them.
func (s *Server) evictionCandidate() *conn {
	var skipped [maxUnreadSkips]*conn
	for i := range skipped {
		lowest := s.lowestRanked(skipped[:i])
		if lowest == nil || lowest.phase != idle || lowest.nothingUnread() {
			return lowest
		}
		skipped[i] = lowest
	}
	return nil
}

// lowestRanked returns the evictable connection with the lowest rank that is not in skipped, or nil. Of connections
// with equal rank it returns the one that has been in its phase longest.
func (s *Server) lowestRanked(skipped []*conn) *conn {
	var lowest *conn
	lowestRank := rankNotEvictable
	now := time.Now()
	for c := range s.conns {
		rank := s.evictionRank(c, now)
		switch {
		case rank == rankNotEvictable || slices.Contains(skipped, c):
		case rank < lowestRank || rank == lowestRank && c.phaseSince.Before(lowest.phaseSince):
			lowest, lowestRank = c, rank
		}
	}
	return lowest
}

// awaitsFirstRequest reports whether the first request of a connection may still be arriving: it is not evicted, since
// clients that connect again and again would otherwise displace each new connection before its request is complete. A
// connection over the share of its address has no such grace.
func (s *Server) awaitsFirstRequest(c *conn, now time.Time) bool {
	switch {
	case s.limits.SlowPeers.SharePerAddress && c.shareOwner == "":
		return false
	case c.service == rejectOnly:
		return c.acceptedWithin(s.limits.EvictIdleAfter, now)
	}
	return c.acceptedWithin(s.limits.FirstRequestGrace, now)
}

// acceptedWithin reports whether a connection without a request was accepted less than a duration ago.
func (c *conn) acceptedWithin(d time.Duration, now time.Time) bool {
	return !c.hadRequest && now.Sub(c.phaseSince) < d
}

func (s *Server) evictionRank(c *conn, now time.Time) evictionRank {
	switch {
	case (c.phase == idle || c.phase == reading) && s.awaitsFirstRequest(c, now):
		return rankAwaitsFirstRequest
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
