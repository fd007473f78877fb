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

	mu         sync.Mutex
	in, out    slowpeer.Meter
	inBy, byAt time.Time // bounds of reads and of writes, zero for none
	written    int64     // since the out meter began
	acked      int64     // of it, by the last look
	blocked    time.Time // since when a write waits, zero while none does
	inRate     slowpeer.Rate
	outRate    slowpeer.Rate
	aborted    bool
}

// NewPaced makes a connection paced.
func NewPaced(c net.Conn, in, out slowpeer.Rate) *Paced {
	return &Paced{Conn: c, in: slowpeer.NewMeter(in), out: slowpeer.NewMeter(out), inRate: in, outRate: out}
}

// Await says that from now on bytes are waited for.
func (p *Paced) Await() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.in.Waiting() {
		p.in.Start(time.Now())
		p.armRead()
	}
}

// Rest says that none are.
func (p *Paced) Rest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.in.Stop()
	p.armRead()
}

// ReadBy bounds reads, those under way too; zero lifts the bound.
func (p *Paced) ReadBy(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inBy = t
	p.armRead()
}

// WriteBy bounds writes likewise.
func (p *Paced) WriteBy(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byAt = t
}

// Press tightens the rates as a budget fills, see slowpeer.Meter.
func (p *Paced) Press(full float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.in.Press(full, now)
	p.out.Press(full, now)
	if p.in.Waiting() {
		p.armRead()
	}
}

// Abort ends reads and writes, those under way too, and leaves the connection open: what has come on it can still be taken.
func (p *Paced) Abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aborted = true
	_ = p.SetDeadline(longAgo)
}

// longAgo as a deadline ends what is under way at once.
var longAgo = time.Unix(1, 0)

func (p *Paced) armRead() {
	if !p.aborted {
		_ = p.SetReadDeadline(sooner(p.inBy, &p.in))
	}
}

// sooner is the earlier of a bound and of when a meter would let go, zero for neither.
func sooner(by time.Time, m *slowpeer.Meter) time.Time {
	if until, asked := m.Until(); asked && (by.IsZero() || until.Before(by)) {
		return until
	}
	return by
}

// timeout says whether a deadline of ours ended a call, or a peer was found slow. ETIMEDOUT is neither: the kernel has given the
// connection up.
func timeout(err error) bool {
	slow := (*slowpeer.Slow)(nil)
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &slow) ||
		errors.Is(err, syscall.EAGAIN) // nothing has come yet
}

// settled says what a time-out means: nothing while neither the bound nor the rate is broken, since either may have
// moved while the call waited.
func settled(by time.Time, m *slowpeer.Meter, direction string, asked, left int, now time.Time, err error) error {
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
		if n > 0 || err == nil {
			p.mu.Lock()
			if p.in.Waiting() {
				p.in.Moved(n, time.Now())
				p.armRead()
			}
			p.mu.Unlock()
			return n, err
		}
		if !timeout(err) {
			return n, err
		}
		if err = p.late(err); err != nil {
			return 0, err
		}
	}
}

// Incoming tells how what is waited for has come so far.
func (p *Paced) Incoming() *slowpeer.Slow {
	p.mu.Lock()
	defer p.mu.Unlock()
	moved, rate := p.in.Figures(time.Now())
	return &slowpeer.Slow{Direction: "in", Bytes: moved, Rate: rate, Asked: p.inRate.Bytes}
}

// late judges a read that timed out.
func (p *Paced) late(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.aborted {
		return err
	}
	if err = settled(p.inBy, &p.in, "in", p.inRate.Bytes, 0, time.Now(), err); err == nil {
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
		if err = raw.Read(tcpinfo.Readable); err == nil || !timeout(err) {
			return err
		}
		err = p.late(err)
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
		if !p.out.Waiting() || done == 0 && p.look(now) == 0 {
			p.out.Start(now)
			p.written, p.acked = 0, 0
		}
		p.blocked = now
		_ = p.SetWriteDeadline(sooner(p.byAt, &p.out))
		p.mu.Unlock()
		n, err := p.Conn.Write(b[done:])
		done += n
		p.mu.Lock()
		p.blocked = time.Time{}
		p.written += int64(n)
		if err != nil && timeout(err) {
			now = time.Now()
			left := p.look(now)
			err = settled(p.byAt, &p.out, "out", p.outRate.Bytes, left+len(b)-done, now, err)
		}
		p.mu.Unlock()
		if err != nil || done == len(b) {
			return done, err
		}
	}
}

// look takes in what the peer's machine has acknowledged, and tells what it has not. The lock is held.
func (p *Paced) look(now time.Time) int {
	left := tcpinfo.Queued(p.Conn)
	if acked := p.written - int64(left); acked > p.acked {
		p.out.Moved(int(acked-p.acked), now)
		p.acked = acked
	}
	return left
}

// Left looks at what was written and not acknowledged, in bytes, and says what becomes of a peer that leaves it so. At
// none the matter is closed.
func (p *Paced) Left() (int, *slowpeer.Slow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.out.Waiting() {
		return 0, nil
	}
	now := time.Now()
	left := p.look(now)
	if left == 0 {
		p.out.Stop()
		return 0, nil
	}
	if p.out.Judge(now) == slowpeer.LetGo {
		moved, rate := p.out.Figures(now)
		return left, &slowpeer.Slow{Direction: "out", Bytes: moved, Rate: rate, Asked: p.outRate.Bytes, Left: left}
	}
	return left, nil
}

// Stalled says since how long a write has waited for the peer.
func (p *Paced) Stalled(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked.IsZero() {
		return 0
	}
	return now.Sub(p.blocked)
}
