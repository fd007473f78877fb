package drmaa2

import (
	"context"
	"net/http"
	"net/url"
)

// Machines returns the executors that match a filter.
func (c *Client) Machines(ctx context.Context, filter string) ([]Machine, error) {
	var out struct{ Machines []Machine }
	_, err := c.do(ctx, http.MethodGet, "/monitoring/machines?"+url.Values{"filter": {filter}}.Encode(), nil, &out)
	return out.Machines, err
}

// Queues returns the classes with the number of waiting and running jobs of each.
func (c *Client) Queues(ctx context.Context) (out []map[string]any, err error) {
	var in struct{ Queues []map[string]any }
	_, err = c.do(ctx, http.MethodGet, "/monitoring/queues", nil, &in)
	return in.Queues, err
}
