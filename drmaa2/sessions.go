package drmaa2

import (
	"context"
	"net/http"
	"net/url"
)

// Manager returns a description of the implementation.
func (c *Client) Manager(ctx context.Context) (out map[string]any, err error) {
	_, err = c.do(ctx, http.MethodGet, "/manager", nil, &out)
	return out, err
}

// Supports reports whether the node has one of DRMAAv2's optional capabilities.
func (c *Client) Supports(ctx context.Context, capability string) (bool, error) {
	var out struct{ Supported bool }
	_, err := c.do(ctx, http.MethodGet, "/manager/supports/"+url.PathEscape(capability), nil, &out)
	return out.Supported, err
}

// Sessions lists all job sessions.
func (c *Client) Sessions(ctx context.Context) ([]Session, error) {
	var out struct{ Sessions []Session }
	_, err := c.do(ctx, http.MethodGet, "/sessions", nil, &out)
	return out.Sessions, err
}

// CreateSession creates a job session and returns a client of it.
func (c *Client) CreateSession(ctx context.Context, name string) (*Client, error) {
	return c.newSession(ctx, "/sessions", map[string]string{"sessionName": name}, name)
}

// OpenSession opens an existing job session and returns a client of it.
func (c *Client) OpenSession(ctx context.Context, name string) (*Client, error) {
	return c.newSession(ctx, "/sessions/"+url.PathEscape(name)+"/open", struct{}{}, name)
}

// newSession returns a client of the session that a call opens.
func (c *Client) newSession(ctx context.Context, path string, in any, name string) (*Client, error) {
	var session Session
	if _, err := c.do(ctx, http.MethodPost, path, in, &session); err != nil {
		return nil, err
	}
	client := New(c.address, name).WithTLS(c.tls)
	client.instance = session.Instance
	return client, nil
}

// CloseSession closes the client's instance of its session. The session and its jobs are kept.
func (c *Client) CloseSession(ctx context.Context) error {
	_, err := c.do(ctx, http.MethodPost, c.path("close"), struct{}{}, nil)
	return err
}

// DestroySession removes a job session.
func (c *Client) DestroySession(ctx context.Context, name string) error {
	_, err := c.do(ctx, http.MethodDelete, "/sessions/"+url.PathEscape(name), nil, nil)
	return err
}
