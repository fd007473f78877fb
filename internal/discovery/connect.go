package discovery

import (
	"context"
	"net"
	"time"

	"gatetack/internal/endpointwatch"
	"gatetack/internal/tcpinfo"
)

// After a local fault, a connection is retried after a pause that doubles between these limits. The maximum is small
// compared with the 6 s after which changes count as notified, so that the call is made in time once the fault is
// over.
const (
	connectBackoffMin = 5 * time.Millisecond
	connectBackoffMax = 100 * time.Millisecond
)

// connect opens the connection of one call. A fault of this machine (ports, descriptors, memory, a route) is no answer
// of discovery and does not end the call: connect retries for as long as a call may take. For a watch, the call counts
// as started with the last try.
func (c *Client) connect(ctx context.Context, addr string, tracker *endpointwatch.Tracker) (net.Conn, error) {
	waited := time.Duration(0)
	for backoff := connectBackoffMin; ; backoff = min(2*backoff, connectBackoffMax) {
		conn, err := c.dial(ctx, "tcp", addr)
		if err == nil || !tcpinfo.IsLocalConnectError(err) || waited >= c.limits.ListCallTimeout || ctx.Err() != nil {
			return conn, err
		}
		c.log.Info("discovery connect failed", "err", err, "backoff", backoff)
		c.sleep(ctx, backoff)
		waited += backoff
		if tracker != nil {
			tracker.CallStarted(time.Now())
		}
	}
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
