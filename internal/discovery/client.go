// Package discovery gets the endpoint list from discovery and watches its changes. It follows the decisions of package
// endpointwatch and of the dispatch module, and has no rules of its own about when to call.
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

// Sink receives endpoint lists. Its methods are not called concurrently, except for the results of a Fetch.
type Sink interface {
	// UpdateEndpoints takes a snapshot or a delta, or the failure of a call that the dispatch module asked for.
	UpdateEndpoints(node.EndpointList)
	// ListCallFailed is called when a call of a watch has ended, whoever asked for it.
	ListCallFailed()
	// ListConfirmed is called when a watch reports that nothing has changed since its last line.
	ListConfirmed()
}

// maxPendingRequests is how many requests of the dispatch module may wait for Run. Further requests would have no
// additional effect.
const maxPendingRequests = 16

// Client calls discovery. Run owns its goroutines: one for the watch, and one for each fetch.
type Client struct {
	limits    limits.Limits
	pushed    bool // discovery pushes changes, see New
	sink      Sink
	slowPeers *slowpeer.Counters
	log       *slog.Logger
	requests  chan request

	dial  func(ctx context.Context, network, addr string) (net.Conn, error)
	sleep func(context.Context, time.Duration)

	index          atomic.Uint64         // of the list received last
	tracker        endpointwatch.Tracker // of the watch; at most one watch runs at a time
	callInProgress atomic.Bool           // the watch has a call in progress

	mu     sync.Mutex // guards source
	source source
}

// source is an address of discovery. Its context ends when the address is replaced.
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

// request is a request of the dispatch module.
type request uint8

const (
	startWatch request = iota
	stopWatch
	fetchList
)

// New returns a client that has the list up to index. If pushed is true, changes are pushed to an agent on this
// machine, and addr is the agent's address; calls to it cost nothing. The client then watches the agent from the
// start, and the dispatch module requests nothing.
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
		dial:      (&net.Dialer{Timeout: lim.ListCallTimeout}).DialContext,
		sleep:     sleep,
		source:    newSource(addr),
	}
	c.tracker.Timeouts = lim.ListTimeouts
	c.index.Store(index)
	return c
}

// SetAddress switches to another address of discovery at once. Calls at the old address may not receive anything more,
// while drains count as notified. The list is kept, and changes are requested from its index on.
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

// Watch starts or stops the watch. It does not block.
func (c *Client) Watch(on bool) {
	if on {
		c.enqueue(startWatch)
	} else {
		c.enqueue(stopWatch)
	}
}

// Fetch requests the whole list once. It does not block.
func (c *Client) Fetch() { c.enqueue(fetchList) }

func (c *Client) enqueue(r request) {
	select {
	case c.requests <- r:
	default: // the queue already contains as many requests as have an effect
	}
}

// Run makes the calls until the context ends. The watch runs from the start until it is stopped: the dispatch module
// decides when it would call, and the tracker when a call must be made at the latest.
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
	c.callInProgress.Store(true) // the first call is made at once, and also answers what the module requests meanwhile
	start(now)
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-c.requests:
			switch {
			case r == fetchList:
				fetches.Go(func() error { c.fetch(ctx); return nil })
			case c.pushed: // the watch continues
			case r == stopWatch:
				stop()
			case !c.callInProgress.Load(): // a call in progress answers this request too; restarted, it would lose its turn
				start(time.Now())
			}
		}
	}
}

// callAt makes one call, until it ends, ctx ends, or the address of discovery is replaced.
func (c *Client) callAt(ctx context.Context, at source, target string, tracker *endpointwatch.Tracker) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(at.ctx, cancel) //nolint:contextcheck // at.ctx ends with the address, ctx with the watch
	defer stop()
	return c.makeCall(ctx, at.addr, target, tracker)
}

// reportFailure notifies the dispatch module of a failed call. With a pushed list the module has asked for no call,
// and is not notified.
func (c *Client) reportFailure(call string, err error) {
	c.log.Info("discovery call failed", "call", call, "err", err)
	if !c.pushed {
		c.sink.UpdateEndpoints(node.EndpointList{Form: dispatch.ListFailed})
	}
}
