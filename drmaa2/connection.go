package drmaa2

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"gatetack/internal/http1"
)

// connection is a connection to the node with its buffers.
type connection struct {
	net.Conn
	in     *http1.Ring
	parser *http1.Parser
	writer *http1.Writer
}

// dial opens a new connection.
func (c *Client) dial(ctx context.Context) (*connection, error) {
	conn, err := c.dialNetwork(ctx)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, in: http1.NewRing(c.limits.RingBytes), parser: http1.NewParser(c.limits, true),
		writer: http1.NewWriter(conn, c.limits.RingBytes)}, nil
}

func (c *Client) dialNetwork(ctx context.Context) (net.Conn, error) {
	if c.tls == nil {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", c.address)
	}
	dialer := tls.Dialer{Config: c.tls}
	return dialer.DialContext(ctx, "tcp", c.address)
}

// take returns an idle connection, or a new one if there is none.
func (c *Client) take(ctx context.Context) (conn *connection, reused bool, err error) {
	if conn := c.takeIdle(); conn != nil {
		return conn, true, nil
	}
	conn, err = c.dial(ctx)
	if err != nil {
		return nil, false, fmt.Errorf("drmaa2: %w", err)
	}
	return conn, false, nil
}

func (c *Client) takeIdle() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn
}

// put returns a connection to the idle ones after a response, or closes it if the node is going to.
func (c *Client) put(conn *connection, closing bool) {
	if closing {
		_ = conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}
