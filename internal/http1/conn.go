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
	in    *Ring
	want  chan struct{}
	got   chan struct{}
	err   error // of the read that got told of
	asked bool  // a read is under way, and the ring and its arrivals are the reader's
	times arrivals
	began time.Time // when the first byte came of the request that is being parsed

	unparsed atomic.Int64 // bytes that the reader has taken and the parser has not

	// What the reader does while a request is handled.
	mu      sync.Mutex
	handled bool // one is
	came    bool // bytes behind it came
	over    bool // more than the ring holds: the rest is dropped, and the connection ends with the answer
	pause   time.Duration
	sleep   func(time.Duration)

	// Under the server's lock.
	phase  phase
	how    service   // settled before it is served
	since  time.Time // when it entered the phase; of a new one, when it was taken
	served bool      // a request came whole
	known  bool      // and was one of the front's own clients'
	unread bool      // the last answer is finished and not acknowledged
	share  string    // the peer that it counts for
	why    *slowpeer.Slow

	ended chan struct{} // closed once its descriptor is
}

type phase uint8

const (
	idle      phase = iota // nothing of a request has come
	reading                // a part has
	busy                   // one that came whole is being handled
	answering              // its answer is being written: it holds no job and no request's place
	lingering              // its last answer is written, and nothing more is taken from it
	retiring               // it is to be closed: what has come on it is still taken, and nothing more is waited for
	closed
)

// service is how a connection is served.
type service uint8

const (
	usual   service = iota
	once            // one answer, and its end
	refused         // one refusal
)

func newConn(c net.Conn, ring int, in, out slowpeer.Rate, pause time.Duration) *conn {
	return &conn{Paced: NewPaced(c, in, out), in: NewRing(ring), want: make(chan struct{}, 1), got: make(chan struct{}, 1),
		pause: pause, sleep: time.Sleep, phase: idle, ended: make(chan struct{})}
}

// read makes the reads that are asked for.
func (c *conn) read(gone context.CancelFunc) {
	for range c.want {
		c.err = c.fill()
		if c.err != nil && !timeout(c.err) {
			gone()
		}
		c.got <- struct{}{}
	}
}

// fill reads once, and while a request is handled for as long as bytes come: the client's end can stand behind any number of
// them, and is seen only by who reads them.
func (c *conn) fill() error {
	for {
		var err error
		if c.in.Free() > 0 {
			var n int
			n, err = c.in.Fill(c.Paced)
			c.unparsed.Add(int64(n))
			c.times.came(n, time.Now())
		} else {
			err = c.drop()
		}
		if err != nil || !c.more() {
			return err
		}
	}
}

// parse takes what has come to the parser. A request that is whole then knows when its last byte came: it can have stood behind
// another that was handled.
func (c *conn) parse(p *Parser) (*Message, error) {
	before := c.in.Len()
	if !p.Begun() && before > 0 {
		c.began = c.times.first()
	}
	m, err := p.Feed(c.in)
	taken := before - c.in.Len()
	c.unparsed.Add(int64(-taken))
	at := c.times.take(taken)
	if m != nil {
		m.Came = at
	}
	return m, err
}

// lastRequest takes in what has come on a connection that is to be closed, and gives the request that it makes whole, if any. A
// read that is under way is called off first; whatever it took is with the parser then, too.
func (c *conn) lastRequest(p *Parser) (*Message, error) {
	if c.asked {
		c.ReadBy(longAgo)
		<-c.got
		c.asked = false
	}
	for {
		m, err := c.parse(p)
		if m != nil || err != nil {
			return m, err
		}
		n, _ := c.in.Fill(unread{c.Conn})
		if n == 0 {
			return nil, nil
		}
		c.unparsed.Add(int64(n))
		c.times.came(n, time.Now())
	}
}

// unread reads what has come on a connection already, whatever its deadline is. It never waits.
type unread struct{ net.Conn }

func (u unread) Read(b []byte) (int, error) { return tcpinfo.Take(u.Conn, b), nil }

// halfClosed says whether the client has closed its side in order, as one does that still waits for an answer. One that has closed
// the whole connection looks the same until something is written to it. The client is known to have gone.
func (c *conn) halfClosed() bool {
	if c.asked {
		<-c.got
		c.asked = false
	}
	return errors.Is(c.err, io.EOF)
}

// quiet says that nothing has come that is not parsed yet, neither in the kernel nor with the reader. Bytes go from the first to the
// second, so they are looked for in this order.
func (c *conn) quiet() bool { return tcpinfo.Quiet(c.Conn) && c.unparsed.Load() == 0 }

// dropBytes is how much is dropped at a time, with one pause after it. A client's end stands behind all that it sent, some MB at
// most with the kernels' usual buffers, and is to be seen well within 0.1 s: so it is more than a ring holds.
const dropBytes = 64 << 10

var dropBuffers = sync.Pool{New: func() any { b := make([]byte, dropBytes); return &b }}

// drop takes in bytes for which there is no place, not faster than a flood may cost.
func (c *conn) drop() error {
	b := dropBuffers.Get().(*[]byte)
	defer dropBuffers.Put(b)
	_, err := c.Read(*b)
	if err == nil {
		c.mu.Lock()
		c.over = true
		c.mu.Unlock()
		c.sleep(c.pause)
	}
	return err
}

// more notes that bytes came and says whether a request is still handled.
func (c *conn) more() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.came = c.handled
	return c.handled
}

func (c *conn) ask() {
	if !c.asked {
		c.asked = true
		c.want <- struct{}{}
	}
}

// watch has the client's end seen while a request of it is handled.
func (c *conn) watch() {
	c.mu.Lock()
	c.handled, c.came, c.over = true, c.in.Len() > 0, false
	c.mu.Unlock()
	c.ask()
}

// unwatch ends that and says whether bytes were dropped. What came behind the request is parsed without a wait for more.
func (c *conn) unwatch() (over bool) {
	c.mu.Lock()
	c.handled = false
	came, over := c.came, c.over
	c.mu.Unlock()
	if came {
		c.ReadBy(longAgo) // calls off the read for more
		<-c.got
		c.asked = false
		if timeout(c.err) {
			c.err = nil
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
func (c *conn) worth() worth {
	switch c.phase {
	case lingering:
		return unreadIdle
	case idle:
		switch {
		case c.unread:
			return unreadIdle
		case c.known:
			return knownIdle
		}
		return stranger
	case reading:
		if !c.known {
			return stranger
		}
	case answering:
		if c.Stalled(time.Now()) > stalledFor {
			return stalled
		}
	}
	return kept
}

// worth is what a connection is worth to the node.
type worth uint8

const (
	unreadIdle worth = iota
	stranger
	knownIdle
	stalled
	kept
)

// stalledFor is how long a client must have read nothing of an answer that is being written, while the kernel's buffers
// are full, before it may make place for another.
const stalledFor = 500 * time.Millisecond
