package http1

import (
	"net"
	"slices"
	"time"

	"gatetack/internal/pace"
)

// unreadLooks bounds how many connections with unread bytes are passed over where one is looked for to make place.
const unreadLooks = 8

// admit counts a new connection in and settles how it is served: as usual within the budget, and within its peer's share where shares
// are kept; else once, or at the door. Over the budget another makes place, if one can.
func (s *Server) admit(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standing >= s.lim.ClientConns {
		if least := s.leastWorth(); least != nil {
			if least.phase == answering {
				s.tally.Add(pace.ClientCut)
			}
			s.shut(least)
		}
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
		if v := s.shares.Take(host, 1); v == pace.Keep {
			c.share = host
		} else {
			s.tally.Add(pace.ClientShare)
			c.how = max(c.how, once)
		}
	}
}

// leastWorth is the connection that makes place for another, nil if all are to stay. One on which bytes have come that nobody has
// read yet is not idle, as it looks: a close would reset it, and a request on a new one would be lost.
func (s *Server) leastWorth() *conn {
	var passed [unreadLooks]*conn
	for look := range passed {
		least := s.leastBut(passed[:look])
		if least == nil || least.phase != idle || least.quiet() {
			return least
		}
		passed[look] = least
	}
	return nil
}

// leastBut is the connection of least worth, and of those the oldest, that is none of passed.
func (s *Server) leastBut(passed []*conn) *conn {
	var least *conn
	for c := range s.conns {
		if c.worth() >= kept || slices.Contains(passed, c) {
			continue
		}
		if least == nil || c.worth() < least.worth() || c.worth() == least.worth() && c.since.Before(least.since) {
			least = c
		}
	}
	return least
}
