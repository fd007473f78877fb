package executor

import (
	"context"
	"errors"
	"os"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/slowpeer"
	"gatetack/internal/tcpinfo"
)

// maxAckPollInterval is the longest wait between two looks at what the other machine has acknowledged.
const maxAckPollInterval = 50 * time.Millisecond

// connection is a connection to an executor, with one ring buffer for each direction. One goroutine uses it at a time.
type connection struct {
	*http1.MinRateConn
	addr        string
	input       *http1.Ring
	output      *http1.Writer
	parser      *http1.Parser
	connectTime time.Duration // a round trip, about

	idleSince time.Time
	reused    bool          // it carried a request before,
	idleFor   time.Duration // and had been idle for so long when it was taken
	rebuild   bool          // the request on it told more time than was left once its last byte could be written
}

// readResponse gives the next response.
func (conn *connection) readResponse() (*http1.Message, error) {
	return conn.parser.Read(conn.input, conn.MinRateConn)
}

// roundTrip makes a request without a body and reads its response.
func (conn *connection) roundTrip(method, target string) (*http1.Message, error) {
	if err := conn.output.Request(method, target, []http1.Field{{Name: "Host", Value: hostName}}, nil); err != nil {
		return nil, err
	}
	if err := conn.output.Flush(); err != nil {
		return nil, err
	}
	return conn.readResponse()
}

// isIdle says that the other side has neither closed an idle connection nor written to it. A request written to one
// that it has closed would count as sent, and might have run.
func (conn *connection) isIdle() bool {
	return conn.input.Len() == 0 && tcpinfo.NothingToRead(conn.Conn)
}

// lastBytePause is how long a request's last byte is held back: a round trip, about.
func (conn *connection) lastBytePause(lim limits.Limits) time.Duration {
	return min(max(conn.connectTime, lim.SettleLeast), lim.SettleMost)
}

// staysOpen waits for the pause before a request's last byte, in which the other side can show that it does not
// take the request: by ending the connection, or by an answer before it has the whole of it.
func (conn *connection) staysOpen(lim limits.Limits) bool {
	conn.BoundReads(time.Now().Add(conn.lastBytePause(lim)))
	n, err := conn.input.Fill(conn.MinRateConn)
	conn.BoundReads(time.Time{})
	return n == 0 && isTimeout(err)
}

// isTimeout says whether a bound of ours ended a read or a write: its deadline, or the least rate. The kernel's
// ETIMEDOUT is no such thing, though it calls itself a time-out: the connection has broken.
func isTimeout(err error) bool {
	slow := (*slowpeer.Error)(nil)
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &slow)
}

// waitAcknowledged waits until the machine at the other end takes what was written so far, for as long as an executor may
// leave a request unread: while the last byte is held back, what it does not take is proof that nothing ran. Bytes that
// were not even sent wait for its window; those that were sent count, where sent is true, until it has acknowledged
// them, which it may delay by 40 ms where nothing else is to be sent. It tells how many bytes are left.
func (conn *connection) waitAcknowledged(ctx context.Context, lim limits.Limits, sent bool) (left int, ok bool) {
	end := time.Now().Add(lim.Pace.ExecutorOut.Grace)
	for look := conn.lastBytePause(lim); ; look = min(2*look, maxAckPollInterval) {
		info, known := tcpinfo.Get(conn.Conn)
		if !known || info.Unacknowledged == 0 || info.Unsent == 0 && !sent {
			return 0, true
		}
		if !time.Now().Before(end) {
			return info.Unacknowledged, false
		}
		select {
		case <-time.After(min(look, time.Until(end))):
		case <-ctx.Done():
			return info.Unacknowledged, false
		}
	}
}
