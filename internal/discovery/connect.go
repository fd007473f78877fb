package discovery

import (
	"context"
	"net"
	"time"

	"gatetack/internal/endpointwatch"
	"gatetack/internal/tcpinfo"
)

// A connection that this machine itself could not make is tried again after a pause that doubles between these
// bounds. The largest is small against the 6 s by which changes count as notified: once the lack has passed, the
// call is made in time.
const (
	connectBackoffMin = 5 * time.Millisecond
	connectBackoffMax = 100 * time.Millisecond
)

// connect makes the connection of one call. A lack of this machine (ports, descriptors, memory, a route) is no
// answer of discovery's and ends no call: it is tried again for as long as a call may take, and a watch's call
// counts as made with the last try.
func (c *Client) connect(ctx context.Context, addr string, tracker *endpointwatch.Tracker) (net.Conn, error) {
	waited := time.Duration(0)
	for backoff := connectBackoffMin; ; backoff = min(2*backoff, connectBackoffMax) {
		conn, err := c.dial(ctx, "tcp", addr)
		if err == nil || !tcpinfo.IsLocalConnectError(err) || waited >= c.limits.ListCall || ctx.Err() != nil {
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

// sleep pauses for a while, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
