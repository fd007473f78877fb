package store

import (
	"net"
	"sync"
)

// streams are the connections by which raft calls other members. At the end of a member they are closed: raft waits for
// its calls to return, and one to a member that does not answer returns only after its limit, which may be later than
// this process may live.
type streams struct {
	mu     sync.Mutex
	open   map[*stream]struct{}
	closed bool
}

// stream is one of them.
type stream struct {
	net.Conn
	of *streams
}

// add makes a connection one of the streams. After the end it is closed at once.
func (s *streams) add(c net.Conn) (net.Conn, error) {
	added := &stream{c, s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	if s.open == nil {
		s.open = map[*stream]struct{}{}
	}
	s.open[added] = struct{}{}
	return added, nil
}

// closeAll closes all streams, and those that are opened later.
func (s *streams) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.open {
		_ = c.Conn.Close()
	}
	s.open = nil
}

// Close closes one stream.
func (s *stream) Close() error {
	s.of.mu.Lock()
	delete(s.of.open, s)
	s.of.mu.Unlock()
	return s.Conn.Close()
}
