package http1

import (
	"net"
	"slices"
	"time"

	"gatetack/internal/slowpeer"
)

// unreadLooks bounds how many connections with unread bytes are passed over where one is looked for to make place.
const maxUnreadSkips = 8

// admit counts a new connection in and settles how it is served: as usual within the budget, and within its peer's share where shares
// are kept; else once, or at the door. Over the budget another makes place, if one can.
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
	case s.open > s.limits.ClientConns+s.limits.SpareConns:
		c.service = rejectOnly
	case s.open > s.limits.ClientConns:
		c.service = singleAnswer
	}
	if s.limits.Pace.PerPeer {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		// One past its share gets one answer, as all do past the budget, and its connections stay countable.
		if v := s.shares.Take(host, 1); v == slowpeer.Keep {
			c.shareOwner = host
		} else {
			s.tally.Add(slowpeer.ClientShare)
			c.service = max(c.service, singleAnswer)
		}
	}
}

// evict closes the connection that makes place for another, and returns it, nil if all are to stay. On one that has just been made
// a request may be on its way, and the one that waits for a descriptor is worth no more: it stays.
func (s *Server) evict() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evictLocked(s.limits.DoorWait)
}

func (s *Server) evictLocked(youngest time.Duration) *conn {
	least := s.evictionCandidate(youngest)
	if least == nil {
		return nil
	}
	switch least.phase {
	case idle, reading:
		s.retire(least)
	case answering:
		s.tally.Add(slowpeer.ClientCut)
		s.closeNow(least)
	default:
		s.closeNow(least)
	}
	return least
}

// leastWorth is the connection that makes place for another, nil if all are to stay. One on which bytes have come that nobody has
// read yet is not idle, as it looks: a close would reset it, and a request on a new one would be lost. Those that carried nothing yet
// count from the age of youngest on.
func (s *Server) evictionCandidate(youngest time.Duration) *conn {
	var passed [maxUnreadSkips]*conn
	for look := range passed {
		least := s.lowestRanked(passed[:look], youngest)
		if least == nil || least.phase != idle || least.nothingUnread() {
			return least
		}
		passed[look] = least
	}
	return nil
}

// leastBut is the connection of least worth, and of those the oldest, that is none of passed.
func (s *Server) lowestRanked(passed []*conn, youngest time.Duration) *conn {
	var least *conn
	now := time.Now()
	for c := range s.conns {
		if c.evictionRank() >= rankNotEvictable || slices.Contains(passed, c) || !c.hadRequest && now.Sub(c.phaseSince) < youngest {
			continue
		}
		if least == nil || c.evictionRank() < least.evictionRank() || c.evictionRank() == least.evictionRank() && c.phaseSince.Before(least.phaseSince) {
			least = c
		}
	}
	return least
}
