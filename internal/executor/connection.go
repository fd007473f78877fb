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

// maxAckPollInterval is the longest interval between two checks of which bytes the peer has acknowledged.
const maxAckPollInterval = 50 * time.Millisecond

// connection is a connection to an executor, with one ring buffer for each direction. One goroutine uses it at a time.
type connection struct {
	*http1.MinRateConn
	addr        string
	input       *http1.Ring
	output      *http1.Writer
	parser      *http1.Parser
	connectTime time.Duration // an estimate of the round-trip time

	idleSince time.Time
	reused    bool          // it has carried a request before
	idleFor   time.Duration // how long it had been idle when it was taken from the pool
	rebuild   bool          // its request states more time left than there was once the last byte could be sent
}

// readResponse reads the next response.
func (conn *connection) readResponse() (*http1.Message, error) {
	return conn.parser.Read(conn.input, conn.MinRateConn)
}

// roundTrip sends a request without a body and reads its response.
func (conn *connection) roundTrip(method, target string) (*http1.Message, error) {
	if err := conn.output.Request(method, target, []http1.Field{{Name: "Host", Value: hostName}}, nil); err != nil {
		return nil, err
	}
	if err := conn.output.Flush(); err != nil {
		return nil, err
	}
	return conn.readResponse()
}

// isIdle reports whether the peer has neither closed an idle connection nor sent anything on it. A request written to
// a connection that the peer has closed would count as sent, and as one that may have run.
func (conn *connection) isIdle() bool {
	return conn.input.Len() == 0 && tcpinfo.NothingToRead(conn.Conn)
}

// lastBytePause is how long a request's last byte is held back: about one round-trip time.
func (conn *connection) lastBytePause(lim limits.Limits) time.Duration {
	return min(max(conn.connectTime, lim.MinLastByteDelay), lim.MaxLastByteDelay)
}

// staysOpen waits for the pause before a request's last byte and reports whether the connection is still usable.
// During the pause the peer can show that it does not take the request, by closing the connection or by an answer
// before it has the whole request.
func (conn *connection) staysOpen(lim limits.Limits) bool {
	conn.BoundReads(time.Now().Add(conn.lastBytePause(lim)))
	n, err := conn.input.Fill(conn.MinRateConn)
	conn.BoundReads(time.Time{})
	return n == 0 && isTimeout(err)
}

// isTimeout reports whether a limit of this process ended a read or a write: its deadline, or the minimum rate. The
// kernel's ETIMEDOUT does not count, though its Timeout method returns true: it means that the connection is broken.
func isTimeout(err error) bool {
	slow := (*slowpeer.Error)(nil)
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &slow)
}

// waitAcknowledged waits until the peer's kernel takes everything written so far, for at most the time that an
// executor may leave a request unread. As long as the last byte is held back, bytes that the peer does not take prove
// that the job did not run. Bytes that could not even be sent, because of the peer's receive window, always count as
// not taken. If sent is true, bytes that were sent count too until they are acknowledged, which the peer may delay by
// 40 ms when it has nothing to send. The result left is the number of unacknowledged bytes.
func (conn *connection) waitAcknowledged(ctx context.Context, lim limits.Limits, sent bool) (left int, ok bool) {
	end := time.Now().Add(lim.SlowPeers.ExecutorOut.Grace)
	for interval := conn.lastBytePause(lim); ; interval = min(2*interval, maxAckPollInterval) {
		info, known := tcpinfo.Get(conn.Conn)
		if !known || info.Unacknowledged == 0 || info.Unsent == 0 && !sent {
			return 0, true
		}
		if !time.Now().Before(end) {
			return info.Unacknowledged, false
		}
		select {
		case <-time.After(min(interval, time.Until(end))):
		case <-ctx.Done():
			return info.Unacknowledged, false
		}
	}
}
