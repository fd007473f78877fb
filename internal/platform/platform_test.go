package platform

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/http1"
	"gatetack/internal/node"
	"gatetack/internal/precheck"
	"gatetack/internal/testenv"
)

// core accepts every job and answers it at once with a rejection.
type core struct {
	jobs    []node.Job
	drained bool
}

func (c *core) Submit(j node.Job, cl node.Client) (uint32, error) {
	c.jobs = append(c.jobs, j)
	cl.Answer(node.Answer{End: node.Rejected, RetryAfter: 1500 * time.Millisecond, Reason: "no room"})
	return 1, nil
}
func (c *core) ClientGone(uint32) {}
func (c *core) Ready() bool       { return true }
func (c *core) Drained() bool     { return c.drained }
func (c *core) Rules() *node.Rules {
	return &node.Rules{Settings: dispatch.Settings{MaxRetryAfter: 1000},
		Names: node.Names{Classes: []string{"tile-charge"}, Tenants: []string{"maavaade"}}}
}
func (c *core) Counts(context.Context) (node.Counts, error) { return node.Counts{}, nil }
func (c *core) Callback([]byte) error                       { return nil }

// A request that is no valid job gets an error and never reaches the core, and its connection does not count as a
// client's. A valid job reaches the core, and a rejection has a retry-after within the limit of the settings.
func TestMalformedJobsAreRejectedBeforeTheCore(t *testing.T) {
	c := &core{}
	f := New(c, c, testenv.Limits, testenv.DiscardLog)
	ask := func(method, target string, change map[string]string) http1.Response {
		m := &http1.Message{Method: method, Target: target}
		headers := map[string]string{"X-Trace-Id": "9b1f03aa5c7e2d41", "X-Customer": "maavaade", "X-Expires-In-Ms": "7500"}
		for name, value := range headers {
			if v, ok := change[name]; ok {
				value = v
			}
			m.Fields = append(m.Fields, http1.Field{Name: name, Value: value})
		}
		m.Fields = append(m.Fields, http1.Field{Name: "Idempotency-Key", Value: change["Idempotency-Key"]})
		return f.Handle(context.Background(), m)
	}
	for _, x := range []struct {
		method, target string
		change         map[string]string
		status         int
	}{
		{"POST", "/tile-charges/x", nil, 404},
		{"GET", "/tile-charge/x", nil, 405},
		{"POST", "/tile-charge", map[string]string{"X-Trace-Id": ""}, 400},
		{"POST", "/tile-charge", map[string]string{"X-Trace-Id": "a b"}, 400},
		{"POST", "/tile-charge", map[string]string{"X-Trace-Id": "a\x80"}, 400},
		{"POST", "/tile-charge", map[string]string{"X-Trace-Id": strings.Repeat("a", 257)}, 400},
		{"POST", "/tile-charge", map[string]string{"Idempotency-Key": "a b"}, 400},
		{"POST", "/tile-charge", map[string]string{"X-Customer": "nobody"}, 400},
		{"POST", "/tile-charge", map[string]string{"X-Expires-In-Ms": "soon"}, 400},
		{"POST", "/tile-charge", map[string]string{"X-Expires-In-Ms": "-5"}, 400},
		{"POST", "/tile-charge", map[string]string{"X-Expires-In-Ms": "99999999999999999999"}, 400},
	} {
		if r := ask(x.method, x.target, x.change); r.Status != x.status || r.KnownClient || len(c.jobs) != 0 {
			t.Errorf("%s %s %q: status %d, known client %v, %d jobs submitted, want status %d",
				x.method, x.target, x.change, r.Status, r.KnownClient, len(c.jobs), x.status)
		}
	}
	r := ask("POST", "/tile-charge/x?y=1", nil)
	if r.Status != 503 || !r.KnownClient || len(c.jobs) != 1 ||
		c.jobs[0].TraceID != "9b1f03aa5c7e2d41" || c.jobs[0].Target != "/tile-charge/x?y=1" {
		t.Errorf("valid job: response %+v, jobs %+v", r, c.jobs)
	}
	if (&http1.Message{Fields: r.Fields}).Get("Retry-After") != "1.000" {
		t.Errorf("response fields %+v, want Retry-After 1.000", r.Fields)
	}
}

// A drained node fails health checks, so that clients are sent elsewhere.
func TestDrainedNodeFailsHealthChecks(t *testing.T) {
	c := &core{}
	f := New(c, c, testenv.Limits, testenv.DiscardLog)
	health := func() int {
		return f.Handle(context.Background(), &http1.Message{Method: "GET", Target: "/healthz"}).Status
	}
	if s := health(); s != 200 {
		t.Fatalf("healthz of a serving node: %d, want 200", s)
	}
	c.drained = true
	if s := health(); s != 503 {
		t.Errorf("healthz of a drained node: %d, want 503", s)
	}
}

// blockedCore accepts jobs, and blocks when it is notified that a client has left, as a core does whose event queue is
// full.
type blockedCore struct {
	core
	notified chan bool
}

func (c *blockedCore) Submit(j node.Job, _ node.Client) (uint32, error) {
	c.jobs = append(c.jobs, j)
	return 1, nil
}

func (c *blockedCore) ClientGone(uint32) {
	c.notified <- true
	<-c.notified
}

// The pre-send check finds out from the request's context alone that the client has left, even if the core cannot be
// notified.
func TestPreSendCheckSeesClientDisconnectWhileCoreIsBusy(t *testing.T) {
	c := &blockedCore{notified: make(chan bool)}
	f := New(c, c, testenv.Limits, testenv.DiscardLog)
	ctx, leave := context.WithCancel(t.Context())
	answered := make(chan http1.Response)
	go func() {
		answered <- f.Handle(ctx, &http1.Message{Method: "POST", Target: "/tile-charge", Fields: []http1.Field{
			{Name: "X-Trace-Id", Value: "9b1f03aa5c7e2d41"},
			{Name: "X-Customer", Value: "maavaade"},
			{Name: "X-Expires-In-Ms", Value: "7500"},
		}})
	}()
	leave()
	<-c.notified // the notification blocks from here on
	if reason := c.jobs[0].PreSendCheck(); reason != precheck.ClientDisconnected {
		t.Errorf("the check returned %v, want ClientDisconnected", reason)
	}
	c.notified <- true
	if r := <-answered; r.Status != 500 || !r.Close {
		t.Errorf("response %+v, want status 500: the job may have run", r)
	}
}

// callbacksThatFail fails each callback with the same error.
type callbacksThatFail struct{ err error }

func (c callbacksThatFail) Callback([]byte) error { return c.err }

// A callback that could not be handled gets an error response, so that the executor repeats it. So does an invalid one:
// its sender is owed an error.
func TestRejectedCallbackIsNotAcknowledged(t *testing.T) {
	for _, x := range []struct {
		err    error
		status int
	}{
		{nil, 204},
		{errors.New("not JSON"), 400},
		{&CallbackRejectedError{syscall.ENOSPC}, 503},
		{fmt.Errorf("callback: %w", &CallbackRejectedError{syscall.EIO}), 503},
	} {
		f := New(&core{}, callbacksThatFail{x.err}, testenv.Limits, testenv.DiscardLog)
		if r := f.Handle(t.Context(), &http1.Message{Method: "POST", Target: "/callback"}); r.Status != x.status {
			t.Errorf("callback error %v: status %d, want %d", x.err, r.Status, x.status)
		}
	}
}
