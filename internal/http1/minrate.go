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

// MinRateConn is a connection whose directions are held to a minimum rate while something is expected on them:
// what comes in, from ExpectBytes to ExpectNone, and what goes out, from a write until the peer's machine has
// acknowledged all of it. A write that returned says only that the kernel has the bytes, so the kernel is asked
// how many were acknowledged, and that is the progress that counts.
//
// It needs no ticker: each read and write ends when the peer would be too slow if nothing more moved, or at the
// bound that the caller sets, whichever is sooner. One goroutine may read and one write at a time; the rest is
// safe for any.
type MinRateConn struct {
	net.Conn

	mu      sync.Mutex // guards the rest
	receive receiveState
	send    sendState
	aborted bool
}

type receiveState struct {
	minRate slowpeer.MinRate
	meter   slowpeer.Meter
	bound   time.Time // of reads; zero for none
}

type sendState struct {
	minRate      slowpeer.MinRate
	meter        slowpeer.Meter
	bound        time.Time // of writes; zero for none
	written      int64     // bytes since the meter was started, and those that were unacknowledged then
	acknowledged int64     // of them, when the kernel was asked last
	blockedSince time.Time // when the write under way began; zero if none is
}

// NewMinRateConn holds a connection to the rates in and out.
func NewMinRateConn(c net.Conn, in, out slowpeer.MinRate) *MinRateConn {
	return &MinRateConn{
		Conn:    c,
		receive: receiveState{minRate: in, meter: slowpeer.NewMeter(in)},
		send:    sendState{minRate: out, meter: slowpeer.NewMeter(out)},
	}
}

// ExpectBytes begins to hold reads to the minimum rate, unless they are already.
func (c *MinRateConn) ExpectBytes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receive.meter.Waiting() {
		c.receive.meter.Start(time.Now())
		c.armRead()
	}
}

// ExpectNone ends that: nothing may come for as long as the read bound allows.
func (c *MinRateConn) ExpectNone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receive.meter.Stop()
	c.armRead()
}

// BoundReads bounds reads, one under way too. The zero time lifts the bound.
func (c *MinRateConn) BoundReads(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receive.bound = t
	c.armRead()
}

// BoundWrites bounds the writes that follow. The zero time lifts the bound.
func (c *MinRateConn) BoundWrites(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send.bound = t
}

// Tighten raises the minimum rates as a budget fills up, see slowpeer.Meter.
func (c *MinRateConn) Tighten(pressure float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.receive.meter.SetPressure(pressure, now)
	c.send.meter.SetPressure(pressure, now)
	if c.receive.meter.Waiting() {
		c.armRead()
	}
}

// Abort ends reads and writes for good, those under way too. It leaves the connection open: what has come on it
// can still be read from the kernel.
func (c *MinRateConn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	_ = c.SetDeadline(expiredDeadline)
}

// expiredDeadline as a deadline ends calls under way at once.
var expiredDeadline = time.Unix(1, 0)

// armRead sets the deadline of reads. c.mu is held.
func (c *MinRateConn) armRead() {
	if !c.aborted {
		_ = c.SetReadDeadline(earlierDeadline(c.receive.bound, &c.receive.meter))
	}
}

// earlierDeadline is the earlier of a bound and of when a meter would find its peer too slow; zero for neither.
func earlierDeadline(bound time.Time, m *slowpeer.Meter) time.Time {
	if until, limited := m.Deadline(); limited && (bound.IsZero() || until.Before(bound)) {
		return until
	}
	return bound
}

// isTimeout says whether a call ended at a deadline that was set here, or because its peer was too slow. ETIMEDOUT is
// neither: there the kernel has given the connection up. EAGAIN says that nothing has come yet.
func isTimeout(err error) bool {
	slow := (*slowpeer.Error)(nil)
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &slow) || errors.Is(err, syscall.EAGAIN)
}

// judgeTimeout is the error that a call returns which ended at its deadline: that the peer is too slow, the
// timeout if the bound has passed, or nil if neither is so, since both may have moved while the call waited.
func judgeTimeout(bound time.Time, m *slowpeer.Meter, slow slowpeer.Error, now time.Time, timeout error) error {
	if m.Check(now) == slowpeer.Disconnect {
		slow.Bytes, slow.Rate = m.Throughput(now)
		return &slow
	}
	if !bound.IsZero() && !now.Before(bound) {
		return timeout
	}
	return nil
}

// Read returns what has come, or waits for it.
func (c *MinRateConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, syscall.EINTR) {
			continue
		}
		if n > 0 || err == nil {
			c.noteReceived(n)
			return n, err
		}
		if !isTimeout(err) {
			return n, err
		}
		if err = c.readTimedOut(err); err != nil {
			return 0, err
		}
	}
}

func (c *MinRateConn) noteReceived(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receive.meter.Waiting() {
		c.receive.meter.Moved(n, time.Now())
		c.armRead()
	}
}

// ReceiveProgress is how what is expected has come so far.
func (c *MinRateConn) ReceiveProgress() *slowpeer.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes, rate := c.receive.meter.Throughput(time.Now())
	return &slowpeer.Error{Direction: "in", Bytes: bytes, Rate: rate, MinRate: c.receive.minRate.BytesPerSecond}
}

// readTimedOut judges a read that ended at its deadline, and sets the next deadline where it goes on.
func (c *MinRateConn) readTimedOut(timeout error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return timeout
	}
	slow := slowpeer.Error{Direction: "in", MinRate: c.receive.minRate.BytesPerSecond}
	err := judgeTimeout(c.receive.bound, &c.receive.meter, slow, time.Now(), timeout)
	if err == nil {
		c.armRead()
	}
	return err
}

// Ready waits until a read would return, without a buffer for it: so a connection that waits holds no memory. It looks
// itself before it waits, since the poller only reports what comes from then on.
func (c *MinRateConn) Ready() error {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	for err == nil {
		if err = raw.Read(tcpinfo.Readable); err == nil || !isTimeout(err) {
			return err
		}
		err = c.readTimedOut(err)
	}
	return err
}

// Write sends all of b, as fast as the peer takes it.
func (c *MinRateConn) Write(b []byte) (int, error) {
	done := 0
	for {
		if err := c.beginWrite(done == 0); err != nil {
			return done, err
		}
		n, err := c.Conn.Write(b[done:])
		done += n
		err = c.endWrite(n, len(b)-done, err)
		if err != nil || done == len(b) {
			return done, err
		}
	}
}

// beginWrite starts the meter, unless earlier bytes are still unacknowledged, and sets the write's deadline. What was
// acknowledged meanwhile with nobody looking is no debt: the time that the connection was idle must not count.
func (c *MinRateConn) beginWrite(first bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return os.ErrDeadlineExceeded
	}
	now := time.Now()
	if !c.send.meter.Waiting() || first && c.observeAcknowledged(now) == 0 {
		c.send.meter.Start(now)
		c.send.written, c.send.acknowledged = int64(tcpinfo.Unacknowledged(c.Conn)), 0
	}
	c.send.blockedSince = now
	_ = c.SetWriteDeadline(earlierDeadline(c.send.bound, &c.send.meter))
	return nil
}

// endWrite notes that n bytes were written and rest were not, and says whether the write goes on.
func (c *MinRateConn) endWrite(n, rest int, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send.blockedSince = time.Time{}
	c.send.written += int64(n)
	switch {
	case errors.Is(err, syscall.EINTR):
		return nil
	case err == nil || !isTimeout(err):
		return err
	}
	now := time.Now()
	unacknowledged := c.observeAcknowledged(now)
	slow := slowpeer.Error{Direction: "out", MinRate: c.send.minRate.BytesPerSecond, Pending: unacknowledged + rest}
	return judgeTimeout(c.send.bound, &c.send.meter, slow, now, err)
}

// observeAcknowledged counts what the peer's machine has acknowledged as progress, and returns how many bytes it
// has not. c.mu is held.
func (c *MinRateConn) observeAcknowledged(now time.Time) int {
	unacknowledged := tcpinfo.Unacknowledged(c.Conn)
	if total := c.send.written - int64(unacknowledged); total > c.send.acknowledged {
		c.send.meter.Moved(int(total-c.send.acknowledged), now)
		c.send.acknowledged = total
	}
	return unacknowledged
}

// Unacknowledged is how many of the written bytes the peer's machine has not acknowledged, and what the peer is
// too slow in if it is. With none left the meter stops.
func (c *MinRateConn) Unacknowledged() (int, *slowpeer.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.send.meter.Waiting() {
		return 0, nil
	}
	now := time.Now()
	left := c.observeAcknowledged(now)
	if left == 0 {
		c.send.meter.Stop()
		return 0, nil
	}
	if c.send.meter.Check(now) != slowpeer.Disconnect {
		return left, nil
	}
	bytes, rate := c.send.meter.Throughput(now)
	return left, &slowpeer.Error{Direction: "out", Bytes: bytes, Rate: rate,
		MinRate: c.send.minRate.BytesPerSecond, Pending: left}
}

// RestartSendMeter forgives what the peer owes for earlier writes: the next one starts the meter anew.
func (c *MinRateConn) RestartSendMeter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send.meter.Stop()
}

// WriteStalledFor is how long the write under way has waited for the peer; zero if none is.
func (c *MinRateConn) WriteStalledFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.send.blockedSince.IsZero() {
		return 0
	}
	return now.Sub(c.send.blockedSince)
}
