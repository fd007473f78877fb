package http1

import (
	"net"
	"time"

	"gatetack/internal/limits"
	"gatetack/internal/slowpeer"
	"gatetack/internal/tcpinfo"
)

// conn is a connection from a client. Its reader and its session run in one goroutine each; eviction and shutdown
// access it from any goroutine.
type conn struct {
	*MinRateConn
	clientReader
	connState

	ended chan struct{} // closed after the descriptor is closed
}

// connState is the state that determines whether a connection may be evicted. It is guarded by Server.mu.
type connState struct {
	phase          phase
	service        service         // set on admission
	phaseSince     time.Time       // start of the phase; before the first request, the time of the accept
	hadRequest     bool            // a complete request has arrived
	knownClient    bool            // the handler attributed a request to a known client
	unreadResponse bool            // the last response is written but not fully acknowledged by the client's host
	shareOwner     string          // address whose share the connection counts against; empty without shares
	slowReader     *slowpeer.Error // set when the connection is closed because the client reads too slowly
}

// phase is the stage of request processing that a connection is in.
type phase uint8

const (
	idle       phase = iota // no byte of the next request has arrived
	reading                 // a part of a request has arrived
	handling                // the handler processes a complete request
	responding              // the response is being written; the request no longer counts as open
	lingering               // the last response is written, and further input is discarded
	retiring                // to be closed after a request that has already arrived is answered
	closed
)

// service is the level of service that a connection gets. Greater values are more restrictive.
type service uint8

const (
	keepAlive      service = iota // any number of requests
	singleResponse                // one response, then the connection is closed
	rejectOnly                    // one rejection, then the connection is closed
)

func newConn(accepted net.Conn, l *limits.Limits) *conn {
	c := &conn{
		MinRateConn: NewMinRateConn(accepted, l.SlowPeers.ClientIn, l.SlowPeers.ClientOut),
		ended:       make(chan struct{}),
	}
	c.init(l)
	return c
}

// nothingUnread reports whether all bytes that the client sent are parsed. Bytes move from the kernel to the reader, so
// the kernel is checked first: the opposite order would miss bytes that move in between.
func (c *conn) nothingUnread() bool { return tcpinfo.NothingToRead(c.Conn) && c.unparsed.Load() == 0 }

// closeWrite closes the sending side, which tells the client that no further response follows.
func (c *conn) closeWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return net.ErrClosed // an in-memory connection has no half-close
}

// halfClosed reports whether the client closed its sending side with a FIN. The client may still read a response, or
// may have closed the whole connection: the two cases are indistinguishable until something is written. It is called
// only after the end of the client's stream was detected.
func (c *conn) halfClosed() bool {
	c.awaitRead()
	return c.reachedEnd()
}
