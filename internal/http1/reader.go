package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gatetack/internal/limits"
	"gatetack/internal/tcpinfo"
)

// clientReader is the receiving side of a client's connection. The session requests reads, and the goroutine of
// readLoop performs them. A read can therefore be in progress while a request is handled, which detects a disconnect
// at once.
//
// While a read is pending, readLoop owns the ring and the arrivals; otherwise the session owns them.
type clientReader struct {
	ring         *Ring
	arrivals     arrivals
	requestStart time.Time // when the first byte of the current request was received
	unparsed     atomic.Int64

	readRequested chan struct{}
	readDone      chan struct{}
	readErr       error // error of the last completed read
	readPending   bool

	watch          sync.Mutex // guards watching, bytesPipelined and overflowed
	watching       bool       // a request is being handled
	bytesPipelined bool       // bytes arrived after that request
	overflowed     bool       // the ring was full and bytes were discarded: the connection closes after the response
	discardPause   time.Duration
	pauseDiscards  func(time.Duration)
}

func (r *clientReader) init(l *limits.Limits) {
	r.ring = NewRing(l.RingBytes)
	r.readRequested, r.readDone = make(chan struct{}, 1), make(chan struct{}, 1)
	r.discardPause, r.pauseDiscards = l.DiscardPause, time.Sleep
}

// readLoop performs the requested reads until readRequested is closed. It calls clientLeft itself when a read finds the
// end of the stream, so that no slow or blocked goroutine delays the cancellation of the request.
func (c *conn) readLoop(clientLeft context.CancelFunc) {
	for range c.readRequested {
		c.readErr = c.fill()
		if c.readErr != nil && !isTimeout(c.readErr) {
			clientLeft()
		}
		c.readDone <- struct{}{}
	}
}

// fill reads once; while a request is handled it reads until an error. The end of the client's stream may follow any
// number of bytes and is detected only by reading them.
func (c *conn) fill() error {
	for {
		var err error
		if c.ring.Free() > 0 {
			err = c.fillRing(c.MinRateConn)
		} else {
			err = c.discard()
		}
		if err != nil || !c.notePipelinedBytes() {
			return err
		}
	}
}

func (c *conn) fillRing(source io.Reader) error {
	n, err := c.ring.Fill(source)
	c.unparsed.Add(int64(n))
	c.arrivals.record(n, time.Now())
	return err
}

// discardSize is the number of bytes discarded between two pauses. The end of a client's stream follows all bytes that
// it sent before, a few MB with the usual kernel buffers, and must be detected well within 0.1 s.
const discardSize = 64 << 10

var discardBuffers = sync.Pool{New: func() any { b := make([]byte, discardSize); return &b }}

// discard reads and drops bytes for which the ring has no space. It pauses after each read, which bounds the CPU time
// that a flooding client can use.
func (c *conn) discard() error {
	b := discardBuffers.Get().(*[]byte)
	defer discardBuffers.Put(b)
	_, err := c.Read(*b)
	if err == nil {
		c.watch.Lock()
		c.overflowed = true
		c.watch.Unlock()
		c.pauseDiscards(c.discardPause)
	}
	return err
}

// notePipelinedBytes records that bytes arrived and reports whether a request is still being handled.
func (c *conn) notePipelinedBytes() bool {
	c.watch.Lock()
	defer c.watch.Unlock()
	c.bytesPipelined = c.watching
	return c.watching
}

// requestRead requests a read from readLoop, unless one is pending.
func (c *conn) requestRead() {
	if !c.readPending {
		c.readPending = true
		c.readRequested <- struct{}{}
	}
}

// awaitRead waits for the pending read, if any.
func (c *conn) awaitRead() {
	if c.readPending {
		<-c.readDone
		c.readPending = false
	}
}

// reachedEnd reports whether the last read found the end of the client's stream.
func (c *conn) reachedEnd() bool { return errors.Is(c.readErr, io.EOF) }

// watchClient starts to watch for a disconnect of the client while a request is handled.
func (c *conn) watchClient() {
	c.watch.Lock()
	c.watching, c.bytesPipelined, c.overflowed = true, c.ring.Len() > 0, false
	c.watch.Unlock()
	c.requestRead()
}

// stopWatching ends the watch that watchClient started and reports whether bytes were discarded since. If bytes arrived
// after the request, it cancels the pending read, so that they are parsed without waiting for more.
func (c *conn) stopWatching() (overflowed bool) {
	c.watch.Lock()
	c.watching = false
	pipelined, overflowed := c.bytesPipelined, c.overflowed
	c.watch.Unlock()
	if pipelined {
		c.cancelRead()
		if isTimeout(c.readErr) {
			c.readErr = nil
		}
		c.BoundReads(time.Time{})
	}
	return overflowed
}

// cancelRead cancels the pending read, if any. Bytes that it has read stay in the ring.
func (c *conn) cancelRead() {
	if c.readPending {
		c.BoundReads(expiredDeadline)
		c.awaitRead()
	}
}

// parse feeds the received bytes to the parser. It sets ReceivedAt of a complete request to when its last byte was
// received, which may be long ago if the request was pipelined behind another.
func (c *conn) parse(p *Parser) (*Message, error) {
	before := c.ring.Len()
	if !p.Started() && before > 0 {
		c.requestStart = c.arrivals.oldest()
	}
	m, err := p.Feed(c.ring)
	consumed := before - c.ring.Len()
	c.unparsed.Add(int64(-consumed))
	receivedAt := c.arrivals.consume(consumed)
	if m != nil {
		m.ReceivedAt = receivedAt
	}
	return m, err
}

// finalRequest parses the bytes that the reader and the kernel hold of a connection that is about to be closed. If they
// complete a request, finalRequest returns it to be answered, since closing the connection would lose it.
func (c *conn) finalRequest(p *Parser) (*Message, error) {
	c.cancelRead()
	for {
		m, err := c.parse(p)
		if m != nil || err != nil {
			return m, err
		}
		if err := c.fillRing(receivedBytes{c.Conn}); err != nil {
			return nil, errConnectionDone
		}
	}
}

// receivedBytes reads the bytes that the kernel holds for a connection, regardless of the read deadline. It returns
// io.EOF when the kernel holds no more.
type receivedBytes struct{ net.Conn }

func (r receivedBytes) Read(b []byte) (int, error) {
	if n := tcpinfo.ReadReceived(r.Conn, b); n > 0 {
		return n, nil
	}
	return 0, io.EOF
}
