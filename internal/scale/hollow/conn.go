package hollow

import (
	"errors"
	"fmt"
	"net"
	"time"

	"gatetack/drmaa2"
	"gatetack/internal/http1"
	"gatetack/internal/limits"
)

// Conn is a persistent connection to a dispatcher. It carries one request at a time.
type Conn struct {
	net.Conn
	in      *http1.Ring
	parser  *http1.Parser
	writer  *http1.Writer
	traffic *Traffic
	role    Role
}

// dialTimeout is the timeout for making a connection.
const dialTimeout = 2 * time.Second

// Dial connects to a dispatcher. The connection's traffic is counted for the role.
func Dial(addr string, t *Traffic, r Role) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	lim := limits.New(0, 0, 0, 0, 0)
	counted := t.count(c, r)
	return &Conn{counted, http1.NewRing(lim.RingBytes), http1.NewParser(lim, true), http1.NewWriter(counted, lim.RingBytes), t, r}, nil
}

// Send sends a request.
func (c *Conn) Send(method, target string, body []byte, fields []http1.Field) error {
	if err := c.writer.Request(method, target, append(fields, http1.Field{Name: "Host", Value: "scalerun"}), body); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	if err := c.writer.Flush(); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	c.traffic.in(c.role)
	return nil
}

// Receive reads the answer to a request, until the time by.
func (c *Conn) Receive(by time.Time) (*http1.Message, error) {
	if err := c.SetReadDeadline(by); err != nil {
		return nil, fmt.Errorf("reading: %w", err)
	}
	m, err := c.parser.Read(c.in, c.Conn)
	if err != nil {
		return nil, err
	}
	c.traffic.out(c.role)
	return m, nil
}

// Do sends a request and reads its answer.
func (c *Conn) Do(by time.Time, method, target string, body []byte, fields []http1.Field) (*http1.Message, error) {
	if err := c.Send(method, target, body, fields); err != nil {
		return nil, err
	}
	return c.Receive(by)
}

// isClosed reports whether a socket was closed on this side.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// isTimeout reports whether a deadline has passed.
func isTimeout(err error) bool {
	timeout := net.Error(nil)
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isRejection reports whether a call was answered with status 503, and stores that error in to.
func isRejection(err error, to **drmaa2.Error) bool { return errors.As(err, to) && (*to).Status == 503 }
