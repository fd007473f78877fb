package hollow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/config"
	"gatetack/internal/discovery"
	attempts "gatetack/internal/executor"
	"gatetack/internal/http1"
	"gatetack/internal/node"
	"gatetack/internal/peer"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

// Dispatcher is a hollow dispatcher: the program's core with its decision module and its connections to executors, the discovery
// service and other dispatchers, without a front.
type Dispatcher struct{ core *node.Core }

// NewDispatcher starts a dispatcher with the text of a configuration file. Its goroutines run in g and end with ctx.
func NewDispatcher(ctx context.Context, g *errgroup.Group, text []byte) (*Dispatcher, error) {
	c, err := config.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("hollow dispatcher: %w", err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	core, err := node.New(c.Settings, c.Seed, c.Known, c.Names, c.Limits, log)
	if err != nil {
		return nil, fmt.Errorf("hollow dispatcher: %w", err)
	}
	executors := attempts.New(ctx, g, c.Limits, c.Names, core, core.SlowPeers(), log)
	lists := discovery.New(c.Discovery, c.Known.Index, !c.Settings.PollsList, c.Limits, core, core.SlowPeers(), log)
	peers, err := peer.Listen(c.PeerListen, c.Peers, c.PeersAll, c.Limits, core, log)
	if err != nil {
		return nil, fmt.Errorf("hollow dispatcher: %w", err)
	}
	core.Connect(executors, lists, peers)
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("hollow dispatcher: %w", err)
	}
	server := http1.NewServer(c.Limits, callbackFront{executors}, core.SlowPeers(), log)
	for _, run := range []func(context.Context) error{core.Run, lists.Run, peers.Run, func(ctx context.Context) error { return server.Serve(ctx, ln) }} {
		g.Go(func() error { return run(ctx) })
	}
	return &Dispatcher{core}, nil
}

// Ready reports whether the dispatcher can accept tasks.
func (d *Dispatcher) Ready() bool { return d.core.Ready() }

// callbackFront accepts callbacks only.
type callbackFront struct{ executors *attempts.Client }

// Handle answers a callback as the platform front does.
func (f callbackFront) Handle(_ context.Context, m *http1.Message) http1.Response {
	if m.Method != "POST" || m.Path() != "/callback" {
		return http1.Text(404, "callbacks alone are taken here")
	}
	err := f.executors.Callback(m.Body)
	if err != nil && !errors.Is(err, attempts.ErrUnknownAttempt) {
		return http1.Text(400, "%v", err)
	}
	return http1.Response{Status: 204, KnownClient: err == nil}
}

// waiter receives the answer to a submitted job.
type waiter chan node.Answer

func (w waiter) Sent(string)          {}
func (w waiter) Started()             {}
func (w waiter) Requeued(bool)        {}
func (w waiter) Answer(a node.Answer) { w <- a }

// submit submits a task and waits for its answer until a time.
func (d *Dispatcher) submit(ctx context.Context, t workload.Task, id string, timeLeft time.Duration, deadline time.Time) (a verdict.Answer, retry time.Duration, answered bool) {
	w := make(waiter, 1)
	job := node.Job{Class: t.Class, Tenant: t.Tenant, TimeLeft: timeLeft, Slots: float64(t.Slots), TraceID: id, IdempotencyKey: fmt.Sprintf("key-%d", t.Number),
		Method: "POST", Target: target(t), Body: []byte("task")}
	if _, err := d.core.Submit(job, w); err != nil {
		return verdict.Rejected, minRetryInterval, true
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case got := <-w:
		return answerOf(got, id), got.RetryAfter, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return verdict.ConnectionBroken, 0, false
}

func answerOf(a node.Answer, id string) verdict.Answer {
	switch {
	case a.End == node.Served && string(a.Result) == resultOf(id):
		return verdict.Served
	case a.End == node.Served:
		return verdict.ConnectionBroken // not the result that an executor returns for this request
	case a.End == node.Rejected:
		return verdict.Rejected
	}
	return verdict.Failed
}
