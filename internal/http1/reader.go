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
// readLoop makes them: so a read can be under way while a request is handled, and the client's end is noticed at
// once.
//
// While a read is pending, the ring and the arrivals belong to readLoop, otherwise to the session.
type clientReader struct {
	ring         *Ring
	arrivals     arrivals
	requestStart time.Time // when the first byte of the request came that is being parsed
	unparsed     atomic.Int64

	readRequested chan struct{}
	readDone      chan struct{}
	readErr       error // of the last read that is done
	readPending   bool

	watch         sync.Mutex // guards the three that follow
	watching      bool       // a request is handled
	bytesBehind   bool       // bytes came behind it
	overflowed    bool       // more than the ring holds: the rest is discarded, and the connection ends with the answer
	discardPause  time.Duration
	pauseDiscards func(time.Duration)
}

func (r *clientReader) init(l *limits.Limits) {
	r.ring = NewRing(l.RingBytes)
	r.readRequested, r.readDone = make(chan struct{}, 1), make(chan struct{}, 1)
	r.discardPause, r.pauseDiscards = l.DiscardPause, time.Sleep
}

// readLoop makes the reads that are requested, until the channel for requests is closed. It calls clientLeft
// itself once the client's end is read: nothing that is slow or full stands between that and those who ask
// whether the client is there.
func (c *conn) readLoop(clientLeft context.CancelFunc) {
	for range c.readRequested {
		c.readErr = c.fill()
		if c.readErr != nil && !isTimeout(c.readErr) {
			clientLeft()
		}
		c.readDone <- struct{}{}
	}
}

// fill reads once, and for as long as bytes come while a request is handled: the client's end can stand behind
// any number of bytes, and is noticed only by reading them.
func (c *conn) fill() error {
	for {
		var err error
		if c.ring.Free() > 0 {
			err = c.fillRing(c.MinRateConn)
		} else {
			err = c.discard()
		}
		if err != nil || !c.noteBytesBehind() {
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

// discardSize is how many bytes are discarded at a time, with one pause after them. A client's end stands behind
// all that it sent before, a few MB with the kernels' usual buffers, and has to be noticed well within 0.1 s.
const discardSize = 64 << 10

var discardBuffers = sync.Pool{New: func() any { b := make([]byte, discardSize); return &b }}

// discard reads bytes for which the ring has no space. It pauses after each read, which bounds what a flood costs.
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

// noteBytesBehind notes that bytes came, and says whether a request is still handled.
func (c *conn) noteBytesBehind() bool {
	c.watch.Lock()
	defer c.watch.Unlock()
	c.bytesBehind = c.watching
	return c.watching
}

// requestRead has readLoop read, unless it does already.
func (c *conn) requestRead() {
	if !c.readPending {
		c.readPending = true
		c.readRequested <- struct{}{}
	}
}

// awaitRead waits for the read that is pending, if one is.
func (c *conn) awaitRead() {
	if c.readPending {
		<-c.readDone
		c.readPending = false
	}
}

// reachedEnd says whether the last read found the client's end.
func (c *conn) reachedEnd() bool { return errors.Is(c.readErr, io.EOF) }

// watchClient has the client's end noticed while a request is handled.
func (c *conn) watchClient() {
	c.watch.Lock()
	c.watching, c.bytesBehind, c.overflowed = true, c.ring.Len() > 0, false
	c.watch.Unlock()
	c.requestRead()
}

// stopWatching ends what watchClient began, and says whether bytes were discarded meanwhile. If bytes came behind the
// request, the pending read is called off, so that they are parsed without waiting for more.
func (c *conn) stopWatching() (overflowed bool) {
	c.watch.Lock()
	c.watching = false
	bytesBehind, overflowed := c.bytesBehind, c.overflowed
	c.watch.Unlock()
	if bytesBehind {
		c.cancelRead()
		if isTimeout(c.readErr) {
			c.readErr = nil
		}
		c.BoundReads(time.Time{})
	}
	return overflowed
}

// cancelRead calls off the read that is pending, if one is. What it has read stays in the ring.
func (c *conn) cancelRead() {
	if c.readPending {
		c.BoundReads(expiredDeadline)
		c.awaitRead()
	}
}

// parse feeds what has come to the parser. A request that is whole is told when its last byte came, which can be
// long ago where it stood behind another.
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

// lastRequest parses what has come on a connection that is about to be closed, whether the reader has it or the kernel.
// It returns the request that this completes, if any, so that it is answered: a close over it would lose it.
func (c *conn) lastRequest(p *Parser) (*Message, error) {
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

// receivedBytes reads what the kernel holds of a connection, whatever the read deadline. It ends where that does.
type receivedBytes struct{ net.Conn }

func (r receivedBytes) Read(b []byte) (int, error) {
	if n := tcpinfo.ReadReceived(r.Conn, b); n > 0 {
		return n, nil
	}
	return 0, io.EOF
}
