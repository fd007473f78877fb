package executor

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/slowpeer"
)

// pool keeps idle connections by address and holds all of them within the budget.
type pool struct {
	limits    limits.Limits
	slowPeers *slowpeer.Counters
	// dial opens a connection. Tests replace it.
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	idle  map[string][]*connection // the one used last at the end
	open  *slowpeer.Ledger[string] // by address: an executor that holds all it gets must leave some to the others
	reuse reuseHistory
}

func newPool(lim limits.Limits, slow *slowpeer.Counters) *pool {
	return &pool{
		limits:    lim,
		slowPeers: slow,
		dial:      (&net.Dialer{Timeout: lim.Connect}).DialContext,
		idle:      map[string][]*connection{},
		open:      slowpeer.NewLedger[string](lim.WorkerConns, lim.Pace.MinPerPeer, lim.Pace.Alpha),
	}
}

// recordReuse takes in what came of a reused connection.
func (p *pool) recordReuse(conn *connection, broke bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuse.record(&p.limits, conn.idleFor, broke, now)
}

// maxIdleTime is how long a connection may have been idle and still be used.
func (p *pool) maxIdleTime(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reuse.maxIdleTime(&p.limits, now)
}

// get gives an idle connection that is still open, or a new one. It fails with a ConnectError.
func (p *pool) get(ctx context.Context, addr string) (*connection, error) {
	if conn := p.getIdle(addr); conn != nil {
		return conn, nil
	}
	if err := p.reserve(addr); err != nil {
		return nil, err
	}
	began := time.Now()
	dialed, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open.Release(addr, 1)
		p.mu.Unlock()
		return nil, newConnectError(addr, err)
	}
	paced := http1.NewMinRateConn(dialed, p.limits.Pace.ExecutorIn, p.limits.Pace.ExecutorOut)
	return &connection{
		MinRateConn: paced,
		addr:        addr,
		input:       http1.NewRing(p.limits.Ring),
		output:      http1.NewWriter(paced, p.limits.Ring),
		parser:      http1.NewParser(p.limits, true),
		connectTime: time.Since(began),
	}, nil
}

// getIdle gives an idle connection that is still open, nil for none, and closes those that are not.
func (p *pool) getIdle(addr string) *connection {
	maxIdle := p.maxIdleTime(time.Now())
	for {
		conn := p.takeRestedIdle(addr)
		if conn == nil {
			return nil
		}
		conn.reused, conn.idleFor = true, time.Since(conn.idleSince)
		if conn.idleFor < maxIdle && conn.isIdle() {
			return conn
		}
		p.close(conn)
	}
}

// takeRestedIdle takes the idle connection that was used last and has rested: a second answer can follow the first by some
// milliseconds, and would be taken for that of the next request, which then runs here and is sent elsewhere too, or is
// waited for in vain.
func (p *pool) takeRestedIdle(addr string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	for i := len(idle) - 1; i >= 0; i-- {
		if conn := idle[i]; time.Since(conn.idleSince) >= p.limits.Rest {
			p.idle[addr] = slices.Delete(idle, i, i+1)
			return conn
		}
	}
	return nil
}

// reserve counts a connection about to be made. At the budget it closes an idle one of another executor.
func (p *pool) reserve(addr string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	verdict := p.open.Acquire(addr, 1)
	if verdict == slowpeer.Disconnect && p.closeOldestIdle() {
		verdict = p.open.Acquire(addr, 1)
	}
	switch verdict {
	case slowpeer.Restrict:
		p.slowPeers.Add(slowpeer.ExecutorOverShare)
		return &ConnectError{Address: addr, Err: errExecutorShare}
	case slowpeer.Disconnect:
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
	for _, idle := range p.idle {
		if len(idle) > 0 && (oldest == nil || idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.addr] = p.idle[oldest.addr][1:]
	_ = oldest.Close()
	p.open.Release(oldest.addr, 1)
	return true
}

// release gives back a connection that stands between requests. Those that were idle for too long are at the front, and
// are closed.
func (p *pool) release(conn *connection) {
	conn.BoundReads(time.Time{})
	conn.BoundWrites(time.Time{})
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[conn.addr]
	tooOld := func(other *connection) bool { return conn.idleSince.Sub(other.idleSince) >= p.limits.WorkerIdle }
	for len(idle) > 0 && (len(idle) >= p.limits.IdleConns || tooOld(idle[0])) {
		_ = idle[0].Close()
		p.open.Release(conn.addr, 1)
		idle = idle[1:]
	}
	p.idle[conn.addr] = append(idle, conn)
}

// close ends a connection that was taken from the pool.
func (p *pool) close(conn *connection) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open.Release(conn.addr, 1)
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[addr] {
		_ = conn.Close()
		p.open.Release(addr, 1)
	}
	delete(p.idle, addr)
}
