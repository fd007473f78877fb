package store

import (
	"net"
	"sync"
)

// streams is the set of connections on which raft calls other members. They are closed at shutdown: raft waits for its
// calls to return, and a call to an unresponsive member returns only after its timeout, which may exceed the time that
// this process has for its shutdown.
type streams struct {
	mu     sync.Mutex
	open   map[*stream]struct{}
	closed bool
}

// stream is a connection of streams.
type stream struct {
	net.Conn
	of *streams
}

// add adds a connection to the streams. After closeAll it closes the connection and returns net.ErrClosed.
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

// closeAll closes all streams. Streams that are added later are closed at once.
func (s *streams) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.open {
		_ = c.Conn.Close()
	}
	s.open = nil
}

// Close closes the stream and removes it from the set.
func (s *stream) Close() error {
	s.of.mu.Lock()
	delete(s.of.open, s)
	s.of.mu.Unlock()
	return s.Conn.Close()
}
