package executor

import (
	"context"
	"errors"
	"math"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/slowpeer"
	"gatetack/internal/tcpinfo"
)

// conn is a connection to an executor, with one ring buffer a direction.
type conn struct {
	*http1.Paced
	addr  string
	in    *http1.Ring
	out   *http1.Writer
	parse *http1.Parser
	idle  time.Time     // since when
	kept  bool          // it carried a request before,
	stood time.Duration // and had stood idle for so long when it was taken
	trip  time.Duration // what connecting took: a round trip, about
	stale bool          // the request on it told more time than was left once its last byte could go
}

// read gives the next response.
func (c *conn) read() (*http1.Message, error) { return c.parse.Read(c.in, c.Paced) }

// quiet says that the other side has neither closed an idle connection nor written to it. A request written to
// one that it has closed would count as sent, and might have run.
func (c *conn) quiet() bool { return c.in.Len() == 0 && tcpinfo.Quiet(c.Conn) }

// settle is a round trip, about.
func (c *conn) settle(lim limits.Limits) time.Duration {
	return min(max(c.trip, lim.SettleLeast), lim.SettleMost)
}

// stands waits a moment, while a request's last byte is held back, for the other side to show that it does not take
// it: by ending the connection, or by saying something before it has the whole of it.
func (c *conn) stands(lim limits.Limits) bool {
	c.ReadBy(time.Now().Add(c.settle(lim)))
	n, err := c.in.Fill(c.Paced)
	c.ReadBy(time.Time{})
	return n == 0 && isTimeout(err)
}

// isTimeout says whether a bound of ours ended a read or a write: its deadline, or the least rate. The kernel's ETIMEDOUT is no such
// thing, though it calls itself a time-out: the connection has broken.
func isTimeout(err error) bool {
	slow := (*slowpeer.Slow)(nil)
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &slow)
}

// reaches waits until the machine at the other end takes what was written so far, for as long as a box may leave a
// request unread: while the last byte is held back, what it does not take is proof that nothing ran. Bytes that were not
// even sent wait for its window; those that were sent count, where all is true, until it has acknowledged them, which it
// may delay by 40 ms where nothing else is to be sent.
func (c *conn) reaches(ctx context.Context, lim limits.Limits, all bool) (left int, ok bool) {
	end := time.Now().Add(lim.Pace.BoxOut.Grace)
	for look := c.settle(lim); ; look = min(2*look, 50*time.Millisecond) {
		info, known := tcpinfo.Of(c.Conn)
		if !known || info.Queued == 0 || info.Unsent == 0 && !all {
			return 0, true
		}
		if !time.Now().Before(end) {
			return info.Queued, false
		}
		select {
		case <-time.After(min(look, time.Until(end))):
		case <-ctx.Done():
			return info.Queued, false
		}
	}
}

// pool keeps idle connections by address and holds all of them within the budget.
type pool struct {
	lim  limits.Limits
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	idle  map[string][]*conn       // the one used last at the end
	open  *slowpeer.Ledger[string] // connections by address: one box that holds all it gets must leave some to the others
	tally *slowpeer.Tally
	ages  ages
}

// ages counts how many kept connections broke at the next request, by the time they had stood idle: doubling spans,
// the first up to KeptFirst. Boxes, or what stands before them, may forget idle connections long before connIdle, and
// show nothing of it until the next request; what breaks then may have run, and a tile-charge is lost with it.
type ages struct {
	at           time.Time
	uses, breaks [12]float64
}

// fade lets what was learned be forgotten with time.
func (a *ages) fade(now time.Time, memory time.Duration) {
	f := math.Exp2(-float64(now.Sub(a.at)) / float64(memory))
	a.at = now
	for i := range a.uses {
		a.uses[i] *= f
		a.breaks[i] *= f
	}
}

// saw takes in what came of a kept connection.
func (p *pool) saw(c *conn, broke bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ages.fade(now, p.lim.KeptMemory)
	i, edge := 0, p.lim.KeptFirst
	for ; i < len(p.ages.uses)-1 && c.stood >= edge; i++ {
		edge *= 2
	}
	p.ages.uses[i]++
	if broke {
		p.ages.breaks[i]++
	}
}

// trust is how long a connection may have stood idle and still be used: up to the first span in which too many broke.
func (p *pool) trust(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ages.fade(now, p.lim.KeptMemory)
	from, to := time.Duration(0), p.lim.KeptFirst
	for i := range p.ages.uses {
		if p.ages.breaks[i] > p.lim.KeptBroken*(p.ages.uses[i]+p.lim.KeptSure) {
			return min(from, p.lim.WorkerIdle)
		}
		from, to = to, 2*to
	}
	return p.lim.WorkerIdle
}

func newPool(lim limits.Limits, tally *slowpeer.Tally) *pool {
	return &pool{lim: lim, dial: (&net.Dialer{Timeout: lim.Connect}).DialContext, idle: map[string][]*conn{}, tally: tally,
		open: slowpeer.NewLedger[string](lim.WorkerConns, lim.Pace.Least, lim.Pace.Alpha)}
}

// get gives an idle connection that still stands, or a new one.
func (p *pool) get(ctx context.Context, addr string) (*conn, error) {
	trust := p.trust(time.Now())
	for {
		c := p.take(addr)
		if c == nil {
			break
		}
		c.kept, c.stood = true, time.Since(c.idle)
		if c.stood < trust && c.quiet() {
			return c, nil
		}
		p.close(c)
	}
	if err := p.reserve(addr); err != nil {
		return nil, err
	}
	began := time.Now()
	nc, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open.Give(addr, 1)
		p.mu.Unlock()
		return nil, newConnectError(addr, err)
	}
	c := http1.NewPaced(nc, p.lim.Pace.BoxIn, p.lim.Pace.BoxOut)
	return &conn{Paced: c, addr: addr, in: http1.NewRing(p.lim.Ring), out: http1.NewWriter(c, p.lim.Ring),
		parse: http1.NewParser(p.lim, true), trip: time.Since(began)}, nil
}

func (p *pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[addr]
	if len(l) == 0 {
		return nil
	}
	// The one used last that has rested: a second answer can follow the first by some milliseconds, and would be taken for
	// that of the next request, which then runs here and is sent elsewhere too, or is waited for in vain.
	for i := len(l) - 1; i >= 0; i-- {
		if c := l[i]; time.Since(c.idle) >= p.lim.Rest {
			p.idle[addr] = slices.Delete(l, i, i+1)
			return c
		}
	}
	return nil
}

// reserve counts a connection about to be made. At the budget it closes an idle one of another executor.
func (p *pool) reserve(addr string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.open.Take(addr, 1)
	if v == slowpeer.LetGo && p.closeOldestIdle() {
		v = p.open.Take(addr, 1)
	}
	switch v {
	case slowpeer.HoldBack:
		p.tally.Add(slowpeer.BoxShare)
		return &ConnectError{Address: addr, Err: errExecutorShare}
	case slowpeer.LetGo:
		return &ConnectError{Address: addr, Local: true, Err: errConnectionBudget}
	}
	return nil
}

// evictIdle gives the descriptor of an idle connection back to the machine.
func (p *pool) evictIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOldestIdle()
}

// closeOldestIdle closes the connection that has been idle the longest, if there is one. The lock is held.
func (p *pool) closeOldestIdle() bool {
	var oldest *conn
	for _, l := range p.idle {
		if len(l) > 0 && (oldest == nil || l[0].idle.Before(oldest.idle)) {
			oldest = l[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.addr] = p.idle[oldest.addr][1:]
	_ = oldest.Close()
	p.open.Give(oldest.addr, 1)
	return true
}

// put gives back a connection that stands between requests.
func (p *pool) put(c *conn) {
	c.ReadBy(time.Time{})
	c.WriteBy(time.Time{})
	c.idle = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[c.addr]
	// Those idle for too long are at the front, the longest first.
	for len(l) > 0 && (len(l) >= p.lim.IdleConns || c.idle.Sub(l[0].idle) >= p.lim.WorkerIdle) {
		_ = l[0].Close()
		p.open.Give(c.addr, 1)
		l = l[1:]
	}
	p.idle[c.addr] = append(l, c)
}

func (p *pool) close(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	p.open.Give(c.addr, 1)
	p.mu.Unlock()
}

// drop closes the idle connections to an address.
func (p *pool) drop(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		_ = c.Close()
		p.open.Give(addr, 1)
	}
	delete(p.idle, addr)
}
