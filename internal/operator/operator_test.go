package operator

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"gatetack/internal/http1"
	"gatetack/internal/testenv"
)

type core struct{ drained atomic.Bool }

func (c *core) Drain() bool    { return !c.drained.Swap(true) }
func (c *core) Activate() bool { return c.drained.Swap(false) }
func (c *core) Drained() bool  { return c.drained.Load() }

// Each call closes its connection. The last of several drain and activate calls, repeated or out of order, determines
// the state. readyz fails until the process accepts clients.
func TestCallsChangeDrainStateAndCloseConnection(t *testing.T) {
	c := &core{}
	var accepting atomic.Bool
	f := New(c, accepting.Load, testenv.DiscardLog)
	call := func(method, target string) http1.Response {
		return f.Handle(context.Background(), &http1.Message{Method: method, Target: target})
	}
	for _, x := range []struct {
		method, target string
		status         int
		drained        bool
		body           string
	}{
		{"GET", "/v1/readyz", 503, false, "not taking"},
		{"POST", "/v1/node/activate", 200, false, "active already"},
		{"GET", "/v1/node/drain", 405, false, "POST"},
		{"POST", "/v1/readyz", 405, false, "GET"},
		{"POST", "/v1/node/drain?now=1", 200, true, "drained"},
		{"POST", "/v1/node/drain", 200, true, "drained already"},
		{"POST", "/v1/node/activate", 200, false, "active"},
		{"GET", "/healthz", 404, false, "no call"},
	} {
		r := call(x.method, x.target)
		if r.Status != x.status || !r.Close || c.Drained() != x.drained || !strings.Contains(string(r.Body), x.body) {
			t.Errorf("%s %s: got %d %q, close %v, drained %v; want %d %q, drained %v", x.method, x.target, r.Status, r.Body,
				r.Close, c.Drained(), x.status, x.body, x.drained)
		}
	}
	accepting.Store(true)
	if r := call("GET", "/v1/readyz"); r.Status != 200 {
		t.Errorf("readyz while clients are accepted: status %d, body %q", r.Status, r.Body)
	}
	c.Drain()
	if r := call("GET", "/v1/readyz"); r.Status != 200 || !strings.Contains(string(r.Body), "drained") {
		t.Errorf("readyz of a drained process that accepts clients: status %d, body %q", r.Status, r.Body)
	}
}
