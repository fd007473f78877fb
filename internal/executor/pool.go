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

// pool keeps idle connections by address and limits the number of all connections.
type pool struct {
	limits    limits.Limits
	slowPeers *slowpeer.Counters
	// dial opens a connection. Tests replace it.
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*connection // the most recently used last
	// open counts the connections by address and limits each executor's share, so that a slow executor leaves some
	// connections to the others.
	open  *slowpeer.Ledger[string]
	reuse reuseHistory
}

func newPool(lim limits.Limits, slow *slowpeer.Counters) *pool {
	return &pool{
		limits:    lim,
		slowPeers: slow,
		dial:      (&net.Dialer{Timeout: lim.ConnectTimeout}).DialContext,
		idle:      map[string][]*connection{},
		open:      slowpeer.NewLedger[string](lim.ExecutorConns, lim.SlowPeers.MinPerPeer, lim.SlowPeers.Alpha),
	}
}

// recordReuse records whether a reused connection was found broken.
func (p *pool) recordReuse(conn *connection, broke bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuse.record(&p.limits, conn.idleFor, broke, now)
}

// maxIdleTime returns how long a connection may have been idle and still be reused.
func (p *pool) maxIdleTime(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reuse.maxIdleTime(&p.limits, now)
}

// get returns an idle connection that is still open, or a new one. Its error is a ConnectError.
func (p *pool) get(ctx context.Context, addr string) (*connection, error) {
	if conn := p.getIdle(addr); conn != nil {
		return conn, nil
	}
	if err := p.reserve(addr); err != nil {
		return nil, err
	}
	start := time.Now()
	dialed, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open.Release(addr, 1)
		p.mu.Unlock()
		return nil, newConnectError(addr, err)
	}
	paced := http1.NewMinRateConn(dialed, p.limits.SlowPeers.ExecutorIn, p.limits.SlowPeers.ExecutorOut)
	return &connection{
		MinRateConn: paced,
		addr:        addr,
		input:       http1.NewRing(p.limits.RingBytes),
		output:      http1.NewWriter(paced, p.limits.RingBytes),
		parser:      http1.NewParser(p.limits, true),
		connectTime: time.Since(start),
	}, nil
}

// getIdle returns an idle connection that is still open, or nil. It closes those that are not.
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

// takeRestedIdle takes the most recently used idle connection that has been idle for at least the rest period. An
// executor may send a second answer some milliseconds after the first. On a connection that is reused at once, it
// would be taken for the answer to the next request, which would then run here and elsewhere too, or be waited for in
// vain.
func (p *pool) takeRestedIdle(addr string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	for i := len(idle) - 1; i >= 0; i-- {
		if conn := idle[i]; time.Since(conn.idleSince) >= p.limits.ReuseDelay {
			p.idle[addr] = slices.Delete(idle, i, i+1)
			return conn
		}
	}
	return nil
}

// reserve counts a connection that is about to be opened. If the limit is reached, it closes an idle connection to
// make room.
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

// evictIdle closes an idle connection to free its descriptor.
func (p *pool) evictIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOldestIdle()
}

// setBudget changes the limit of all connections, and closes idle ones above it.
func (p *pool) setBudget(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open.SetBudget(connections)
	for p.open.Used() > connections && p.closeOldestIdle() {
	}
}

// closeOldestIdle closes the connection that has been idle the longest, and reports whether there was one. The caller
// holds the lock.
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

// release returns a connection to the pool. It closes the connections to the same address that have been idle for too
// long, which are at the front of the list.
func (p *pool) release(conn *connection) {
	conn.BoundReads(time.Time{})
	conn.BoundWrites(time.Time{})
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[conn.addr]
	tooOld := func(other *connection) bool {
		return conn.idleSince.Sub(other.idleSince) >= p.limits.ExecutorIdleTimeout
	}
	for len(idle) > 0 && (len(idle) >= p.limits.IdleConnsPerExecutor || tooOld(idle[0])) {
		_ = idle[0].Close()
		p.open.Release(conn.addr, 1)
		idle = idle[1:]
	}
	p.idle[conn.addr] = append(idle, conn)
}

// close closes a connection that was taken from the pool.
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
