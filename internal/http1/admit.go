package http1

import (
	"net"
	"slices"
	"time"

	"gatetack/internal/slowpeer"
)

// unreadLooks bounds how many connections with unread bytes are passed over where one is looked for to make place.
const unreadLooks = 8

// admit counts a new connection in and settles how it is served: as usual within the budget, and within its peer's share where shares
// are kept; else once, or at the door. Over the budget another makes place, if one can.
func (s *Server) admit(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standing >= s.lim.ClientConns {
		s.evictLocked(0)
	}
	s.conns[c] = struct{}{}
	s.standing++
	c.since = time.Now()
	s.last = c.since
	switch {
	case s.standing > s.lim.ClientConns+s.lim.SpareConns:
		c.how = refused
	case s.standing > s.lim.ClientConns:
		c.how = once
	}
	if s.lim.Pace.PerPeer {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		// One past its share gets one answer, as all do past the budget, and its connections stay countable.
		if v := s.shares.Take(host, 1); v == slowpeer.Keep {
			c.share = host
		} else {
			s.tally.Add(slowpeer.ClientShare)
			c.how = max(c.how, once)
		}
	}
}

// evict closes the connection that makes place for another, and returns it, nil if all are to stay. On one that has just been made
// a request may be on its way, and the one that waits for a descriptor is worth no more: it stays.
func (s *Server) evict() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evictLocked(s.lim.DoorWait)
}

func (s *Server) evictLocked(youngest time.Duration) *conn {
	least := s.leastWorth(youngest)
	if least == nil {
		return nil
	}
	switch least.phase {
	case idle, reading:
		s.retire(least)
	case answering:
		s.tally.Add(slowpeer.ClientCut)
		s.shut(least)
	default:
		s.shut(least)
	}
	return least
}

// leastWorth is the connection that makes place for another, nil if all are to stay. One on which bytes have come that nobody has
// read yet is not idle, as it looks: a close would reset it, and a request on a new one would be lost. Those that carried nothing yet
// count from the age of youngest on.
func (s *Server) leastWorth(youngest time.Duration) *conn {
	var passed [unreadLooks]*conn
	for look := range passed {
		least := s.leastBut(passed[:look], youngest)
		if least == nil || least.phase != idle || least.quiet() {
			return least
		}
		passed[look] = least
	}
	return nil
}

// leastBut is the connection of least worth, and of those the oldest, that is none of passed.
func (s *Server) leastBut(passed []*conn, youngest time.Duration) *conn {
	var least *conn
	now := time.Now()
	for c := range s.conns {
		if c.worth() >= kept || slices.Contains(passed, c) || !c.served && now.Sub(c.since) < youngest {
			continue
		}
		if least == nil || c.worth() < least.worth() || c.worth() == least.worth() && c.since.Before(least.since) {
			least = c
		}
	}
	return least
}
