package executor

import (
	"context"
	"errors"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
	"gatetack/internal/http1"
)

// call sends a short request without a body to an address and returns the response, within the context's deadline.
func (c *Client) call(ctx context.Context, address, method, target string) (*http1.Message, error) {
	deadline, _ := ctx.Deadline()
	conn, err := c.dial(ctx, deadline, func() (string, bool) { return address, true })
	if err != nil {
		return nil, err
	}
	conn.BoundReads(deadline)
	conn.BoundWrites(deadline)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	message, err := conn.roundTrip(method, target)
	if stop() && err == nil && !message.Close {
		c.pool.release(conn)
	} else {
		c.pool.close(conn)
	}
	return message, err
}

// CheckHealth checks an executor's health and requests its load report. The result goes to the sink.
func (c *Client) CheckHealth(id uint32) {
	c.group.Go(func() error {
		start := time.Now()
		ctx, cancel := context.WithTimeout(c.ctx, c.limits.ProbeTimeout)
		defer cancel()
		message, err := c.call(ctx, c.address(id), "GET", "/load")
		outcome, report := outcomeOfHealthCheck(ctx, message, err), []float32(nil)
		if outcome == dispatch.Served {
			report = c.reportFromJSON(gjson.ParseBytes(message.Body))
		}
		c.sink.HealthChecked(id, outcome, time.Since(start), report)
		return nil
	})
}

func outcomeOfHealthCheck(ctx context.Context, message *http1.Message, err error) dispatch.Outcome {
	connect := (*ConnectError)(nil)
	switch {
	case isLocalFault(err):
		return dispatch.CanceledBeforeSend // no sign of a fault of the executor
	case errors.As(err, &connect):
		return dispatch.ConnectFailed
	case err != nil && ctx.Err() != nil:
		return dispatch.TimedOut
	case err != nil:
		return dispatch.Reset
	case message.Status == 200:
		return dispatch.Served
	}
	return dispatch.Errored
}
