// Package discovery gets the list of executors from discovery and follows its changes. It carries out what package
// endpointwatch and the decision module say, and has no rules of its own about when to call.
package discovery

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/dispatch"
	"gatetack/internal/endpointwatch"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/slowpeer"
)

// Sink takes what discovery says. Calls of it do not overlap, but for those that follow a Fetch.
type Sink interface {
	// UpdateEndpoints takes a whole list or a change, or the failure of a call that the decision module asked for.
	UpdateEndpoints(node.EndpointList)
	// ListCallFailed is called when a watch's call has ended, whoever made it.
	ListCallFailed()
	// ListConfirmed is called when a watch says that nothing has changed since its last line.
	ListConfirmed()
}

// maxPendingRequests is how many requests of the decision module may wait for Run. More would bring nothing new.
const maxPendingRequests = 16

// Client calls discovery. Run owns its goroutines: one watch, and one for each fetch.
type Client struct {
	limits    limits.Limits
	pushed    bool // changes come unasked, see New
	sink      Sink
	slowPeers *slowpeer.Counters
	log       *slog.Logger
	requests  chan request

	dial  func(ctx context.Context, network, addr string) (net.Conn, error)
	sleep func(context.Context, time.Duration)

	index        atomic.Uint64         // of the list that was received last
	tracker      endpointwatch.Tracker // of the watch, of which one runs at a time
	callUnderWay atomic.Bool           // the watch has a call under way

	mu     sync.Mutex // guards source
	source source
}

// source is where discovery is. Its context ends when discovery moves.
type source struct {
	addr   string
	ctx    context.Context
	cancel context.CancelFunc
}

func newSource(addr string) source {
	ctx, cancel := context.WithCancel(context.Background())
	return source{addr, ctx, cancel}
}

func (s source) moved() <-chan struct{} { return s.ctx.Done() }
func (s source) hasMoved() bool         { return s.ctx.Err() != nil }

// request is what the decision module asks for.
type request uint8

const (
	startWatch request = iota
	stopWatch
	fetchList
)

// New makes a client that knows the list up to index. With pushed the settings have changes come unasked: then
// addr is that of an agent on the node's own machine, which says at no cost what it was sent. A watch on it is
// kept from the start on, and the decision module asks for nothing.
func New(
	addr string, index uint64, pushed bool, lim limits.Limits, sink Sink, slow *slowpeer.Counters, log *slog.Logger,
) *Client {
	c := &Client{
		limits:    lim,
		pushed:    pushed,
		sink:      sink,
		slowPeers: slow,
		log:       log,
		requests:  make(chan request, maxPendingRequests),
		dial:      (&net.Dialer{Timeout: lim.ListCall}).DialContext,
		sleep:     sleep,
		source:    newSource(addr),
	}
	c.tracker.Timeouts = lim.Staleness
	c.index.Store(index)
	return c
}

// SetAddress goes on at another address, at once: calls at the old one may say nothing more, while drains count as
// notified. The list stays, and changes are asked for from its version on.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.source.addr {
		return
	}
	c.source.cancel()
	c.source = newSource(addr)
}

func (c *Client) currentSource() source {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source
}

// Watch begins to follow changes, or stops. It does not block.
func (c *Client) Watch(on bool) {
	if on {
		c.enqueue(startWatch)
	} else {
		c.enqueue(stopWatch)
	}
}

// Fetch gets the whole list once. It does not block.
func (c *Client) Fetch() { c.enqueue(fetchList) }

func (c *Client) enqueue(r request) {
	select {
	case c.requests <- r:
	default: // as many wait as are of use
	}
}

// Run makes the calls until the context ends. A watch runs from the start on, until it is called off: the
// decision module says when it would call, and the tracker when a call has to be made.
func (c *Client) Run(ctx context.Context) error {
	var watch, fetches errgroup.Group
	stop := func() {}
	defer func() { stop(); _ = watch.Wait(); _ = fetches.Wait() }()
	start := func(from time.Time) {
		stop()
		_ = watch.Wait() // one watch at a time
		watchCtx, cancel := context.WithCancel(ctx)
		stop = cancel
		watch.Go(func() error { c.watch(watchCtx, from); return nil })
	}
	now := time.Now()
	c.tracker.Started(now)
	c.callUnderWay.Store(true) // the first call is made at once, and answers what the module asks for meanwhile
	start(now)
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-c.requests:
			switch {
			case r == fetchList:
				fetches.Go(func() error { c.fetch(ctx); return nil })
			case c.pushed: // the watch goes on as it is
			case r == stopWatch:
				stop()
			case !c.callUnderWay.Load(): // a call under way answers this request too, and would lose its turn
				start(time.Now())
			}
		}
	}
}

// callAt makes one call, until it ends, ctx does, or discovery moves.
func (c *Client) callAt(ctx context.Context, at source, target string, tracker *endpointwatch.Tracker) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(at.ctx, cancel) //nolint:contextcheck // at.ctx ends when discovery moves, ctx with the watch
	defer stop()
	return c.makeCall(ctx, at.addr, target, tracker)
}

// reportFailure notifies the decision module of a call that failed. If it asked for none, its list stays as it is.
func (c *Client) reportFailure(call string, err error) {
	c.log.Info("discovery call failed", "call", call, "err", err)
	if !c.pushed {
		c.sink.UpdateEndpoints(node.EndpointList{Form: dispatch.ListFailed})
	}
}
