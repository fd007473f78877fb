// Package drmaa2 is a client of gatetack's batch front: the interfaces of DRMAAv2 (GFD.194) over HTTP/1.1 and JSON.
// Names follow the specification; docs/batch.md describes how the node implements each call. A Client owns its idle
// connections and starts no goroutines.
package drmaa2

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
)

// Prefix is the prefix of all paths.
const Prefix = "/drmaa2/v1"

// maxBody bounds the body of a response, in bytes. A page of jobs may be large.
const maxBody = 64 << 20

// Client sends requests to one node. It is safe for concurrent use.
type Client struct {
	address  string
	session  string // empty: the default session
	instance string // instance of the session; empty: none
	limits   limits.Limits
	tls      *tls.Config // nil: no TLS

	mu   sync.Mutex
	idle []*connection
}

// New returns a client of the batch front at an address. An empty session means the default one. New does not
// connect.
func New(addr, session string) *Client {
	lim := limits.New(0, 0, 0, 0, 0)
	lim.BodyBytes = maxBody
	return &Client{address: addr, session: session, limits: lim}
}

// WithTLS makes the client connect with TLS. It must be called before the first call.
func (c *Client) WithTLS(config *tls.Config) *Client {
	c.tls = config
	return c
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// path returns the path of a call in the client's session.
func (c *Client) path(parts ...string) string {
	path := ""
	if c.session != "" {
		path = "/sessions/" + url.PathEscape(c.session)
	}
	for _, part := range parts {
		path += "/" + url.PathEscape(part)
	}
	return path
}

// do makes a call: it sends in as JSON unless in is nil, and decodes the response into out unless out is nil.
func (c *Client) do(ctx context.Context, verb, path string, in, out any) (status int, err error) {
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return 0, err
		}
	}
	answer, err := c.roundTrip(ctx, verb, path, body)
	if err != nil {
		return 0, err
	}
	if failed(answer.Status) {
		return answer.Status, errorOf(answer)
	}
	if out != nil && len(answer.Body) > 0 {
		if err := json.Unmarshal(answer.Body, out); err != nil {
			return answer.Status, fmt.Errorf("drmaa2: %s %s: %w", verb, path, err)
		}
	}
	return answer.Status, nil
}

// roundTrip sends a call and reads its response. A GET is sent again if the node had closed the idle connection,
// because repeating it changes nothing at the node.
func (c *Client) roundTrip(ctx context.Context, verb, path string, body []byte) (*http1.Message, error) {
	for {
		conn, reused, err := c.take(ctx)
		if err != nil {
			return nil, err
		}
		answer, err := c.exchange(ctx, conn, verb, path, body)
		if err == nil {
			c.put(conn, answer.Close)
			return answer, nil
		}
		_ = conn.Close()
		if reused && verb == http.MethodGet && ctx.Err() == nil {
			continue
		}
		return nil, fmt.Errorf("drmaa2: %s %s: %w", verb, path, errors.Join(err, ctx.Err()))
	}
}

// exchange sends a call on a connection and reads its response.
func (c *Client) exchange(
	ctx context.Context,
	conn *connection,
	verb, path string,
	body []byte,
) (*http1.Message, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := c.send(conn, verb, path, body); err != nil {
		return nil, err
	}
	return conn.parser.Read(conn.in, conn.Conn)
}

// send writes a call. Callers close the connection when their context ends, so send sets no deadline on the socket:
// that deadline could pass before the context ends, and the call would fail with an error that is not the context's.
func (c *Client) send(conn *connection, verb, path string, body []byte) error {
	fields := []http1.Field{{Name: "Host", Value: c.address}}
	if c.instance != "" {
		fields = append(fields, http1.Field{Name: "X-Session-Instance", Value: c.instance})
	}
	if err := conn.writer.Request(verb, Prefix+path, fields, body); err != nil {
		return err
	}
	return conn.writer.Flush()
}
