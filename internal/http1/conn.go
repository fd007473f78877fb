package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gatetack/internal/slowpeer"
	"gatetack/internal/tcpinfo"
)

// conn is one client's connection. One goroutine reads, when it is asked to, and one parses, handles and
// answers: so that a client that goes away is seen while its request is being handled.
type conn struct {
	*Paced
	ring          *Ring
	readRequested chan struct{}
	readDone      chan struct{}
	readErr       error // of the read that got told of
	readPending   bool  // a read is under way, and the ring and its arrivals are the reader's
	arrivals      arrivals
	requestStart  time.Time // when the first byte came of the request that is being parsed

	unparsed atomic.Int64 // bytes that the reader has taken and the parser has not

	// What the reader does while a request is handled.
	mu           sync.Mutex
	handling     bool // one is
	bytesBehind  bool // bytes behind it came
	overflowed   bool // more than the ring holds: the rest is dropped, and the connection ends with the answer
	discardPause time.Duration
	sleep        func(time.Duration)

	// Under the server's lock.
	phase        phase
	service      service   // settled before it is served
	phaseSince   time.Time // when it entered the phase; of a new one, when it was taken
	hadRequest   bool      // a request came whole
	knownClient  bool      // and was one of the front's own clients'
	unreadAnswer bool      // the last answer is finished and not acknowledged
	shareOwner   string    // the peer that it counts for
	slowReader   *slowpeer.Slow

	ended chan struct{} // closed once its descriptor is
}

type phase uint8

const (
	idle      phase = iota // nothing of a request has come
	reading                // a part has
	handling               // one that came whole is being handled
	answering              // its answer is being written: it holds no job and no request's place
	lingering              // its last answer is written, and nothing more is taken from it
	retiring               // it is to be closed: what has come on it is still taken, and nothing more is waited for
	closed
)

// service is how a connection is served.
type service uint8

const (
	keepAlive    service = iota
	singleAnswer         // one answer, and its end
	rejectOnly           // one refusal
)

func newConn(c net.Conn, ring int, in, out slowpeer.Rate, pause time.Duration) *conn {
	return &conn{Paced: NewPaced(c, in, out), ring: NewRing(ring), readRequested: make(chan struct{}, 1), readDone: make(chan struct{}, 1),
		discardPause: pause, sleep: time.Sleep, phase: idle, ended: make(chan struct{})}
}

// read makes the reads that are asked for.
func (c *conn) readLoop(gone context.CancelFunc) {
	for range c.readRequested {
		c.readErr = c.fill()
		if c.readErr != nil && !isTimeout(c.readErr) {
			gone()
		}
		c.readDone <- struct{}{}
	}
}

// fill reads once, and while a request is handled for as long as bytes come: the client's end can stand behind any number of
// them, and is seen only by who reads them.
func (c *conn) fill() error {
	for {
		var err error
		if c.ring.Free() > 0 {
			var n int
			n, err = c.ring.Fill(c.Paced)
			c.unparsed.Add(int64(n))
			c.arrivals.record(n, time.Now())
		} else {
			err = c.discard()
		}
		if err != nil || !c.noteBytesBehind() {
			return err
		}
	}
}

// parse takes what has come to the parser. A request that is whole then knows when its last byte came: it can have stood behind
// another that was handled.
func (c *conn) parse(p *Parser) (*Message, error) {
	before := c.ring.Len()
	if !p.Begun() && before > 0 {
		c.requestStart = c.arrivals.oldest()
	}
	m, err := p.Feed(c.ring)
	taken := before - c.ring.Len()
	c.unparsed.Add(int64(-taken))
	at := c.arrivals.consume(taken)
	if m != nil {
		m.Came = at
	}
	return m, err
}

// lastRequest takes in what has come on a connection that is to be closed, and gives the request that it makes whole, if any. A
// read that is under way is called off first; whatever it took is with the parser then, too.
func (c *conn) lastRequest(p *Parser) (*Message, error) {
	if c.readPending {
		c.ReadBy(expiredDeadline)
		<-c.readDone
		c.readPending = false
	}
	for {
		m, err := c.parse(p)
		if m != nil || err != nil {
			return m, err
		}
		n, _ := c.ring.Fill(unreadBytes{c.Conn})
		if n == 0 {
			return nil, nil
		}
		c.unparsed.Add(int64(n))
		c.arrivals.record(n, time.Now())
	}
}

// unread reads what has come on a connection already, whatever its deadline is. It never waits.
type unreadBytes struct{ net.Conn }

func (u unreadBytes) Read(b []byte) (int, error) { return tcpinfo.Take(u.Conn, b), nil }

// halfClosed says whether the client has closed its side in order, as one does that still waits for an answer. One that has closed
// the whole connection looks the same until something is written to it. The client is known to have gone.
func (c *conn) halfClosed() bool {
	if c.readPending {
		<-c.readDone
		c.readPending = false
	}
	return errors.Is(c.readErr, io.EOF)
}

// quiet says that nothing has come that is not parsed yet, neither in the kernel nor with the reader. Bytes go from the first to the
// second, so they are looked for in this order.
func (c *conn) nothingUnread() bool { return tcpinfo.Quiet(c.Conn) && c.unparsed.Load() == 0 }

// dropBytes is how much is dropped at a time, with one pause after it. A client's end stands behind all that it sent, some MB at
// most with the kernels' usual buffers, and is to be seen well within 0.1 s: so it is more than a ring holds.
const discardSize = 64 << 10

var discardBuffers = sync.Pool{New: func() any { b := make([]byte, discardSize); return &b }}

// drop takes in bytes for which there is no place, not faster than a flood may cost.
func (c *conn) discard() error {
	b := discardBuffers.Get().(*[]byte)
	defer discardBuffers.Put(b)
	_, err := c.Read(*b)
	if err == nil {
		c.mu.Lock()
		c.overflowed = true
		c.mu.Unlock()
		c.sleep(c.discardPause)
	}
	return err
}

// more notes that bytes came and says whether a request is still handled.
func (c *conn) noteBytesBehind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesBehind = c.handling
	return c.handling
}

func (c *conn) requestRead() {
	if !c.readPending {
		c.readPending = true
		c.readRequested <- struct{}{}
	}
}

// watch has the client's end seen while a request of it is handled.
func (c *conn) watchClient() {
	c.mu.Lock()
	c.handling, c.bytesBehind, c.overflowed = true, c.ring.Len() > 0, false
	c.mu.Unlock()
	c.requestRead()
}

// unwatch ends that and says whether bytes were dropped. What came behind the request is parsed without a wait for more.
func (c *conn) stopWatching() (over bool) {
	c.mu.Lock()
	c.handling = false
	came, over := c.bytesBehind, c.overflowed
	c.mu.Unlock()
	if came {
		c.ReadBy(expiredDeadline) // calls off the read for more
		<-c.readDone
		c.readPending = false
		if isTimeout(c.readErr) {
			c.readErr = nil
		}
		c.ReadBy(time.Time{})
	}
	return over
}

// closeWrite says that no more answers come.
func (c *conn) closeWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return net.ErrClosed // a pipe of a test: it is closed whole
}

// worth orders connections by what closing them costs: those whose client leaves an answer unread, strangers, idle ones.
// From kept on they stay: a request comes, or is handled, or its answer is being written to a client that reads.
func (c *conn) evictionRank() evictionRank {
	switch c.phase {
	case lingering:
		return rankUnreadAnswer
	case idle:
		switch {
		case c.unreadAnswer:
			return rankUnreadAnswer
		case c.knownClient:
			return rankKnownIdle
		}
		return rankStranger
	case reading:
		if !c.knownClient {
			return rankStranger
		}
	case answering:
		if c.Stalled(time.Now()) > minStallForEviction {
			return rankStalled
		}
	}
	return rankNotEvictable
}

// worth is what a connection is worth to the node.
type evictionRank uint8

const (
	rankUnreadAnswer evictionRank = iota
	rankStranger
	rankKnownIdle
	rankStalled
	rankNotEvictable
)

// stalledFor is how long a client must have read nothing of an answer that is being written, while the kernel's buffers
// are full, before it may make place for another.
const minStallForEviction = 500 * time.Millisecond
