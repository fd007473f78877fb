package http1

import (
	"net"
	"time"

	"gatetack/internal/limits"
	"gatetack/internal/slowpeer"
	"gatetack/internal/tcpinfo"
)

// conn is a client's connection. Its reader runs in one goroutine and its session in another; eviction and
// shutdown reach it from any.
type conn struct {
	*MinRateConn
	clientReader
	connState

	ended chan struct{} // closed once the descriptor is
}

// connState is what decides whether a connection is closed for another. It is guarded by Server.mu.
type connState struct {
	phase        phase
	service      service         // settled when the connection is admitted
	phaseSince   time.Time       // when it entered the phase; before its first request, when it was accepted
	hadRequest   bool            // a whole request came
	knownClient  bool            // and the handler took it for one of its own clients'
	unreadAnswer bool            // the last answer is written, and its client's machine has not acknowledged all of it
	shareOwner   string          // the address whose share it counts against, if shares are kept
	slowReader   *slowpeer.Error // why it is closed, if for an answer that is read too slowly
}

// phase is what a connection is in the middle of.
type phase uint8

const (
	idle      phase = iota // no byte of a request has come
	reading                // a part of a request has
	handling               // a whole request is handled
	answering              // its answer is written; the request no longer counts as open
	lingering              // the last answer is written, and what still comes is discarded
	retiring               // it is about to be closed: what has come is still answered, and nothing more is waited for
	closed
)

// service is how a connection is served. A greater value serves less.
type service uint8

const (
	keepAlive    service = iota // any number of requests
	singleAnswer                // one answer, with which the connection ends
	rejectOnly                  // one rejection
)

func newConn(accepted net.Conn, l *limits.Limits) *conn {
	c := &conn{
		MinRateConn: NewMinRateConn(accepted, l.SlowPeers.ClientIn, l.SlowPeers.ClientOut),
		ended:       make(chan struct{}),
	}
	c.init(l)
	return c
}

// nothingUnread says whether all that the client sent is parsed. Bytes go from the kernel to the reader, so the
// kernel is asked first: in the other order bytes on their way would be missed.
func (c *conn) nothingUnread() bool { return tcpinfo.NothingToRead(c.Conn) && c.unparsed.Load() == 0 }

// closeWrite tells the client that no more answers come.
func (c *conn) closeWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return net.ErrClosed // a connection in memory can only be closed as a whole
}

// halfClosed says whether the client closed its sending side in order. It may still read an answer, or have
// closed the connection as a whole: the two can't be told apart until something is written. Called once the
// client's end was noticed.
func (c *conn) halfClosed() bool {
	c.awaitRead()
	return c.reachedEnd()
}
