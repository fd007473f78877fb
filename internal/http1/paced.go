package http1

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"gatetack/internal/slowpeer"
	"gatetack/internal/tcpinfo"
)

// Paced is a connection whose directions are held to a least rate while something is waited for: what comes in, from
// Await to Rest, and what goes out, from a write until the peer's machine has acknowledged all of it. What was written
// is not what the peer has read, so the kernel is asked, and its bytes are the progress that counts. Every connection
// of the node is one: clients', boxes', the list's, other members'.
//
// It needs no ticker: each read and write ends when the peer would be let go if nothing more moved, or at the bound
// that its user sets, whichever is sooner. One goroutine reads and one writes; the rest may be called from any.
type Paced struct {
	net.Conn

	mu                      sync.Mutex
	receiveMeter, sendMeter slowpeer.Meter
	readBound, writeBound   time.Time // bounds of reads and of writes, zero for none
	written                 int64     // since the out meter began
	acked                   int64     // of it, by the last look
	writeBlockedSince       time.Time // since when a write waits, zero while none does
	minReceiveRate          slowpeer.Rate
	minSendRate             slowpeer.Rate
	aborted                 bool
}

// NewPaced makes a connection paced.
func NewPaced(c net.Conn, in, out slowpeer.Rate) *Paced {
	return &Paced{Conn: c, receiveMeter: slowpeer.NewMeter(in), sendMeter: slowpeer.NewMeter(out), minReceiveRate: in, minSendRate: out}
}

// Await says that from now on bytes are waited for.
func (p *Paced) Await() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.receiveMeter.Waiting() {
		p.receiveMeter.Start(time.Now())
		p.armRead()
	}
}

// Rest says that none are.
func (p *Paced) Rest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.receiveMeter.Stop()
	p.armRead()
}

// ReadBy bounds reads, those under way too; zero lifts the bound.
func (p *Paced) ReadBy(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readBound = t
	p.armRead()
}

// WriteBy bounds writes likewise.
func (p *Paced) WriteBy(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeBound = t
}

// Press tightens the rates as a budget fills, see slowpeer.Meter.
func (p *Paced) Press(full float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.receiveMeter.Press(full, now)
	p.sendMeter.Press(full, now)
	if p.receiveMeter.Waiting() {
		p.armRead()
	}
}

// Abort ends reads and writes, those under way too, and leaves the connection open: what has come on it can still be taken.
func (p *Paced) Abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aborted = true
	_ = p.SetDeadline(expiredDeadline)
}

// longAgo as a deadline ends what is under way at once.
var expiredDeadline = time.Unix(1, 0)

func (p *Paced) armRead() {
	if !p.aborted {
		_ = p.SetReadDeadline(earlierDeadline(p.readBound, &p.receiveMeter))
	}
}

// sooner is the earlier of a bound and of when a meter would let go, zero for neither.
func earlierDeadline(by time.Time, m *slowpeer.Meter) time.Time {
	if until, asked := m.Until(); asked && (by.IsZero() || until.Before(by)) {
		return until
	}
	return by
}

// timeout says whether a deadline of ours ended a call, or a peer was found slow. ETIMEDOUT is neither: the kernel has given the
// connection up.
func isTimeout(err error) bool {
	slow := (*slowpeer.Slow)(nil)
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &slow) ||
		errors.Is(err, syscall.EAGAIN) // nothing has come yet
}

// settled says what a time-out means: nothing while neither the bound nor the rate is broken, since either may have
// moved while the call waited.
func judgeTimeout(by time.Time, m *slowpeer.Meter, direction string, asked, left int, now time.Time, err error) error {
	if m.Judge(now) == slowpeer.LetGo {
		moved, rate := m.Figures(now)
		return &slowpeer.Slow{Direction: direction, Bytes: moved, Rate: rate, Asked: asked, Left: left}
	}
	if !by.IsZero() && !now.Before(by) {
		return err
	}
	return nil
}

// Read reads what has come, or waits for it.
func (p *Paced) Read(b []byte) (int, error) {
	for {
		n, err := p.Conn.Read(b)
		if n == 0 && errors.Is(err, syscall.EINTR) {
			continue
		}
		if n > 0 || err == nil {
			p.mu.Lock()
			if p.receiveMeter.Waiting() {
				p.receiveMeter.Moved(n, time.Now())
				p.armRead()
			}
			p.mu.Unlock()
			return n, err
		}
		if !isTimeout(err) {
			return n, err
		}
		if err = p.readTimedOut(err); err != nil {
			return 0, err
		}
	}
}

// Incoming tells how what is waited for has come so far.
func (p *Paced) Incoming() *slowpeer.Slow {
	p.mu.Lock()
	defer p.mu.Unlock()
	moved, rate := p.receiveMeter.Figures(time.Now())
	return &slowpeer.Slow{Direction: "in", Bytes: moved, Rate: rate, Asked: p.minReceiveRate.Bytes}
}

// late judges a read that timed out.
func (p *Paced) readTimedOut(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.aborted {
		return err
	}
	if err = judgeTimeout(p.readBound, &p.receiveMeter, "in", p.minReceiveRate.Bytes, 0, time.Now(), err); err == nil {
		p.armRead()
	}
	return err
}

// Ready waits until a read would return, without a buffer: a connection that waits holds none. It looks by itself before
// it waits: the poller tells only of what comes from then on.
func (p *Paced) Ready() error {
	s, ok := p.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	for err == nil {
		if err = raw.Read(tcpinfo.Readable); err == nil || !isTimeout(err) {
			return err
		}
		err = p.readTimedOut(err)
	}
	return err
}

// Write sends all of b, at the peer's pace.
func (p *Paced) Write(b []byte) (int, error) {
	done := 0
	for {
		p.mu.Lock()
		if p.aborted {
			p.mu.Unlock()
			return done, os.ErrDeadlineExceeded
		}
		now := time.Now()
		// What was written before may have been acknowledged long ago, with nobody looking: what is asked begins anew then,
		// or the time that a kept connection stood idle would count as debt, and its next answer be cut off.
		if !p.sendMeter.Waiting() || done == 0 && p.observeAcknowledged(now) == 0 {
			p.sendMeter.Start(now)
			p.written, p.acked = int64(tcpinfo.Queued(p.Conn)), 0
		}
		p.writeBlockedSince = now
		_ = p.SetWriteDeadline(earlierDeadline(p.writeBound, &p.sendMeter))
		p.mu.Unlock()
		n, err := p.Conn.Write(b[done:])
		done += n
		p.mu.Lock()
		p.writeBlockedSince = time.Time{}
		p.written += int64(n)
		if errors.Is(err, syscall.EINTR) {
			err = nil
		}
		if err != nil && isTimeout(err) {
			now = time.Now()
			left := p.observeAcknowledged(now)
			err = judgeTimeout(p.writeBound, &p.sendMeter, "out", p.minSendRate.Bytes, left+len(b)-done, now, err)
		}
		p.mu.Unlock()
		if err != nil || done == len(b) {
			return done, err
		}
	}
}

// look takes in what the peer's machine has acknowledged, and tells what it has not. The lock is held.
func (p *Paced) observeAcknowledged(now time.Time) int {
	left := tcpinfo.Queued(p.Conn)
	if acked := p.written - int64(left); acked > p.acked {
		p.sendMeter.Moved(int(acked-p.acked), now)
		p.acked = acked
	}
	return left
}

// Left looks at what was written and not acknowledged, in bytes, and says what becomes of a peer that leaves it so. At
// none the matter is closed.
func (p *Paced) Left() (int, *slowpeer.Slow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sendMeter.Waiting() {
		return 0, nil
	}
	now := time.Now()
	left := p.observeAcknowledged(now)
	if left == 0 {
		p.sendMeter.Stop()
		return 0, nil
	}
	if p.sendMeter.Judge(now) == slowpeer.LetGo {
		moved, rate := p.sendMeter.Figures(now)
		return left, &slowpeer.Slow{Direction: "out", Bytes: moved, Rate: rate, Asked: p.minSendRate.Bytes, Left: left}
	}
	return left, nil
}

// Forgive begins what is asked for writes anew with the next of them: what the peer owes for earlier ones counts no more.
func (p *Paced) Forgive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sendMeter.Stop()
}

// Stalled says since how long a write has waited for the peer.
func (p *Paced) Stalled(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writeBlockedSince.IsZero() {
		return 0
	}
	return now.Sub(p.writeBlockedSince)
}
