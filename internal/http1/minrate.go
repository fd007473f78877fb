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

// MinRateConn is a connection that enforces a minimum rate in each direction while a transfer is expected. Receiving is
// measured from ExpectBytes to ExpectNone, sending from a write until the peer's host has acknowledged all bytes. A
// completed write means only that the kernel has the bytes, so the progress of sending is the number of acknowledged
// bytes that the kernel reports.
//
// MinRateConn needs no ticker: the deadline of each read and write is the earlier of the caller's bound and the time at
// which the peer becomes too slow without further progress. At most one goroutine may read and one may write at a time;
// the other methods are safe for concurrent use.
type MinRateConn struct {
	net.Conn

	mu      sync.Mutex // guards the fields below
	receive receiveState
	send    sendState
	aborted bool
}

type receiveState struct {
	minRate slowpeer.MinRate
	meter   slowpeer.Meter
	bound   time.Time // deadline of reads; zero: none
}

type sendState struct {
	minRate      slowpeer.MinRate
	meter        slowpeer.Meter
	bound        time.Time // deadline of writes; zero: none
	written      int64     // bytes written since the meter started, plus those that were unacknowledged at its start
	acknowledged int64     // bytes of written that were acknowledged at the last query of the kernel
	blockedSince time.Time // start of the current write; zero: no write in progress
}

// NewMinRateConn wraps a connection and enforces the minimum rates in for receiving and out for sending.
func NewMinRateConn(c net.Conn, in, out slowpeer.MinRate) *MinRateConn {
	return &MinRateConn{
		Conn:    c,
		receive: receiveState{minRate: in, meter: slowpeer.NewMeter(in)},
		send:    sendState{minRate: out, meter: slowpeer.NewMeter(out)},
	}
}

// ExpectBytes starts to enforce the minimum rate on reads, unless it is enforced already.
func (c *MinRateConn) ExpectBytes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receive.meter.Waiting() {
		c.receive.meter.Start(time.Now())
		c.armRead()
	}
}

// ExpectNone stops enforcing the minimum rate on reads: only the read bound applies.
func (c *MinRateConn) ExpectNone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receive.meter.Stop()
	c.armRead()
}

// BoundReads sets the bound of reads, including a read in progress. The zero time removes the bound.
func (c *MinRateConn) BoundReads(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receive.bound = t
	c.armRead()
}

// BoundWrites sets the bound of subsequent writes. The zero time removes the bound.
func (c *MinRateConn) BoundWrites(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send.bound = t
}

// Tighten raises the minimum rates with the pressure on a budget, see slowpeer.Meter.
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

// Abort makes all reads and writes fail, including those in progress. The connection stays open, so that bytes already
// received can still be read from the kernel.
func (c *MinRateConn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	_ = c.SetDeadline(expiredDeadline)
}

// expiredDeadline is a deadline in the past, which ends calls in progress at once.
var expiredDeadline = time.Unix(1, 0)

// armRead sets the deadline of reads. The caller holds c.mu.
func (c *MinRateConn) armRead() {
	if !c.aborted {
		_ = c.SetReadDeadline(earlierDeadline(c.receive.bound, &c.receive.meter))
	}
}

// earlierDeadline returns the earlier of the bound and the meter's deadline, or the zero time if there is neither.
func earlierDeadline(bound time.Time, m *slowpeer.Meter) time.Time {
	if until, limited := m.Deadline(); limited && (bound.IsZero() || until.Before(bound)) {
		return until
	}
	return bound
}

// isTimeout reports whether a call ended at a deadline set by this package, because its peer was too slow, or with
// EAGAIN, which means that no data has arrived yet. ETIMEDOUT is not included: it means that the kernel has given up
// the connection.
func isTimeout(err error) bool {
	slow := (*slowpeer.Error)(nil)
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &slow) || errors.Is(err, syscall.EAGAIN)
}

// timeoutError returns the error of a call that ended at its deadline: slow if the peer is below the minimum rate, or
// timeout if the bound has passed. It returns nil if neither applies, since both may have moved while the call waited.
func timeoutError(bound time.Time, m *slowpeer.Meter, slow slowpeer.Error, now time.Time, timeout error) error {
	if m.Check(now) == slowpeer.Disconnect {
		slow.Bytes, slow.Rate = m.Throughput(now)
		return &slow
	}
	if !bound.IsZero() && !now.Before(bound) {
		return timeout
	}
	return nil
}

// Read reads available bytes or waits for them. It returns a *slowpeer.Error if the peer is below the minimum rate.
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

// ReceiveProgress returns the bytes received and the rate since ExpectBytes.
func (c *MinRateConn) ReceiveProgress() *slowpeer.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes, rate := c.receive.meter.Throughput(time.Now())
	return &slowpeer.Error{Direction: "in", Bytes: bytes, Rate: rate, MinRate: c.receive.minRate.BytesPerSecond}
}

// readTimedOut returns the error of a read that ended at its deadline, or sets the next deadline and returns nil if the
// read continues.
func (c *MinRateConn) readTimedOut(timeout error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return timeout
	}
	slow := slowpeer.Error{Direction: "in", MinRate: c.receive.minRate.BytesPerSecond}
	err := timeoutError(c.receive.bound, &c.receive.meter, slow, time.Now(), timeout)
	if err == nil {
		c.armRead()
	}
	return err
}

// Ready waits until a read would not block. It needs no buffer, so a waiting connection holds no memory. It checks the
// socket before it waits, since the poller reports only later events.
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

// Write sends all of b. It returns a *slowpeer.Error if the peer is below the minimum rate.
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

// beginWrite starts the meter unless earlier bytes are still unacknowledged, and sets the deadline of the write. If all
// earlier bytes were acknowledged since the last check, the meter restarts, so that idle time does not lower the rate.
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

// endWrite records that n bytes were written and rest bytes were not. It returns nil if the write may continue.
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
	return timeoutError(c.send.bound, &c.send.meter, slow, now, err)
}

// observeAcknowledged counts newly acknowledged bytes as progress and returns the number of unacknowledged bytes. The
// caller holds c.mu.
func (c *MinRateConn) observeAcknowledged(now time.Time) int {
	unacknowledged := tcpinfo.Unacknowledged(c.Conn)
	if total := c.send.written - int64(unacknowledged); total > c.send.acknowledged {
		c.send.meter.Moved(int(total-c.send.acknowledged), now)
		c.send.acknowledged = total
	}
	return unacknowledged
}

// Unacknowledged returns the number of written bytes that the peer's host has not acknowledged, and an error if the
// peer is below the minimum rate. It stops the meter when all bytes are acknowledged.
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

// RestartSendMeter stops the meter of writes, so that the next write starts a new measurement.
func (c *MinRateConn) RestartSendMeter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send.meter.Stop()
}

// WriteStalledFor returns how long the current write has been blocked, or zero if no write is in progress.
func (c *MinRateConn) WriteStalledFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.send.blockedSince.IsZero() {
		return 0
	}
	return now.Sub(c.send.blockedSince)
}
