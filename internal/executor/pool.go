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
type connection struct {
	*http1.Paced
	addr        string
	input       *http1.Ring
	output      *http1.Writer
	parser      *http1.Parser
	idleSince   time.Time     // since when
	reused      bool          // it carried a request before,
	idleFor     time.Duration // and had stood idle for so long when it was taken
	connectTime time.Duration // what connecting took: a round trip, about
	rebuild     bool          // the request on it told more time than was left once its last byte could go
}

// read gives the next response.
func (c *connection) readResponse() (*http1.Message, error) { return c.parser.Read(c.input, c.Paced) }

// quiet says that the other side has neither closed an idle connection nor written to it. A request written to
// one that it has closed would count as sent, and might have run.
func (c *connection) isIdle() bool { return c.input.Len() == 0 && tcpinfo.Quiet(c.Conn) }

// settle is a round trip, about.
func (c *connection) lastBytePause(lim limits.Limits) time.Duration {
	return min(max(c.connectTime, lim.SettleLeast), lim.SettleMost)
}

// stands waits a moment, while a request's last byte is held back, for the other side to show that it does not take
// it: by ending the connection, or by saying something before it has the whole of it.
func (c *connection) isOpenAfterPause(lim limits.Limits) bool {
	c.ReadBy(time.Now().Add(c.lastBytePause(lim)))
	n, err := c.input.Fill(c.Paced)
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
func (c *connection) isAcknowledged(ctx context.Context, lim limits.Limits, all bool) (left int, ok bool) {
	end := time.Now().Add(lim.Pace.BoxOut.Grace)
	for look := c.lastBytePause(lim); ; look = min(2*look, 50*time.Millisecond) {
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
	limits limits.Limits
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)

	mu        sync.Mutex
	idle      map[string][]*connection // the one used last at the end
	open      *slowpeer.Ledger[string] // connections by address: one box that holds all it gets must leave some to the others
	slowPeers *slowpeer.Tally
	reuse     reuseHistory
}

// ages counts how many kept connections broke at the next request, by the time they had stood idle: doubling spans,
// the first up to KeptFirst. Boxes, or what stands before them, may forget idle connections long before connIdle, and
// show nothing of it until the next request; what breaks then may have run, and a tile-charge is lost with it.
type reuseHistory struct {
	fadedAt      time.Time
	uses, breaks [12]float64
}

// fade lets what was learned be forgotten with time.
func (a *reuseHistory) fade(now time.Time, memory time.Duration) {
	f := math.Exp2(-float64(now.Sub(a.fadedAt)) / float64(memory))
	a.fadedAt = now
	for i := range a.uses {
		a.uses[i] *= f
		a.breaks[i] *= f
	}
}

// saw takes in what came of a kept connection.
func (p *pool) recordReuse(c *connection, broke bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuse.fade(now, p.limits.KeptMemory)
	i, edge := 0, p.limits.KeptFirst
	for ; i < len(p.reuse.uses)-1 && c.idleFor >= edge; i++ {
		edge *= 2
	}
	p.reuse.uses[i]++
	if broke {
		p.reuse.breaks[i]++
	}
}

// trust is how long a connection may have stood idle and still be used: up to the first span in which too many broke.
func (p *pool) maxIdleTime(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuse.fade(now, p.limits.KeptMemory)
	from, to := time.Duration(0), p.limits.KeptFirst
	for i := range p.reuse.uses {
		if p.reuse.breaks[i] > p.limits.KeptBroken*(p.reuse.uses[i]+p.limits.KeptSure) {
			return min(from, p.limits.WorkerIdle)
		}
		from, to = to, 2*to
	}
	return p.limits.WorkerIdle
}

func newPool(lim limits.Limits, tally *slowpeer.Tally) *pool {
	return &pool{limits: lim, dial: (&net.Dialer{Timeout: lim.Connect}).DialContext, idle: map[string][]*connection{}, slowPeers: tally,
		open: slowpeer.NewLedger[string](lim.WorkerConns, lim.Pace.Least, lim.Pace.Alpha)}
}

// get gives an idle connection that still stands, or a new one.
func (p *pool) get(ctx context.Context, addr string) (*connection, error) {
	trust := p.maxIdleTime(time.Now())
	for {
		c := p.takeIdle(addr)
		if c == nil {
			break
		}
		c.reused, c.idleFor = true, time.Since(c.idleSince)
		if c.idleFor < trust && c.isIdle() {
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
	c := http1.NewPaced(nc, p.limits.Pace.BoxIn, p.limits.Pace.BoxOut)
	return &connection{Paced: c, addr: addr, input: http1.NewRing(p.limits.Ring), output: http1.NewWriter(c, p.limits.Ring),
		parser: http1.NewParser(p.limits, true), connectTime: time.Since(began)}, nil
}

func (p *pool) takeIdle(addr string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[addr]
	if len(l) == 0 {
		return nil
	}
	// The one used last that has rested: a second answer can follow the first by some milliseconds, and would be taken for
	// that of the next request, which then runs here and is sent elsewhere too, or is waited for in vain.
	for i := len(l) - 1; i >= 0; i-- {
		if c := l[i]; time.Since(c.idleSince) >= p.limits.Rest {
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
		p.slowPeers.Add(slowpeer.BoxShare)
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
	var oldest *connection
	for _, l := range p.idle {
		if len(l) > 0 && (oldest == nil || l[0].idleSince.Before(oldest.idleSince)) {
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
func (p *pool) release(c *connection) {
	c.ReadBy(time.Time{})
	c.WriteBy(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[c.addr]
	// Those idle for too long are at the front, the longest first.
	for len(l) > 0 && (len(l) >= p.limits.IdleConns || c.idleSince.Sub(l[0].idleSince) >= p.limits.WorkerIdle) {
		_ = l[0].Close()
		p.open.Give(c.addr, 1)
		l = l[1:]
	}
	p.idle[c.addr] = append(l, c)
}

func (p *pool) close(c *connection) {
	_ = c.Close()
	p.mu.Lock()
	p.open.Give(c.addr, 1)
	p.mu.Unlock()
}

// drop closes the idle connections to an address.
func (p *pool) closeIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		_ = c.Close()
		p.open.Give(addr, 1)
	}
	delete(p.idle, addr)
}
