// Package discovery asks for the list of executors and follows its changes.
package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/dispatch"
	"gatetack/internal/endpointwatch"
	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/slowpeer"
)

// Sink takes lists, and hears of each call for one that failed.
type Sink interface {
	List(node.List)
	ListCallFailed()
	ListConfirmed() // nothing has changed since the last line of the watch
}

// Client speaks to discovery.
type Client struct {
	limits    limits.Limits
	pushed    bool // changes come unasked: the carrier follows them from its start on, whatever the module asks for
	sink      Sink
	slowPeers *slowpeer.Tally
	log       *slog.Logger
	requests  chan request
	dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	sleep     func(context.Context, time.Duration)
	index     atomic.Uint64 // of the list last held

	clock        endpointwatch.Tracker // that of the watch which runs: one at a time
	callUnderWay atomic.Bool           // a call of it is under way

	mu     sync.Mutex
	source source
}

// place is where discovery is. Its context ends when discovery moves: a call that this cuts is made again there.
type source struct {
	addr   string
	ctx    context.Context
	cancel context.CancelFunc
}

func newSource(addr string) source {
	ctx, cancel := context.WithCancel(context.Background())
	return source{addr, ctx, cancel}
}

type request struct{ watch, on bool }

// New makes a client that knows the list up to a version. Pushed says that the settings have lists come unasked: then the
// address is that of an agent on the node's own machine, which tells what it was sent to whoever watches, at no cost, and
// the module asks for nothing. A watch on it is kept from the start on.
func New(addr string, index uint64, pushed bool, lim limits.Limits, sink Sink, slow *slowpeer.Tally, log *slog.Logger) *Client {
	c := &Client{limits: lim, pushed: pushed, sink: sink, slowPeers: slow, log: log, requests: make(chan request, 16), source: newSource(addr)}
	c.dial = (&net.Dialer{Timeout: lim.ListCall}).DialContext
	c.sleep = sleep
	c.clock.Timeouts = lim.Staleness
	c.index.Store(index)
	return c
}

// Move goes on at another address, at once: what the old one still has open may tell nothing more, while drains
// count as told. The list stands, and changes are asked for from its version on.
func (c *Client) Move(addr string) {
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

// Watch begins to follow changes, or stops it. It does not block.
func (c *Client) Watch(on bool) { c.enqueue(request{true, on}) }

// Fetch asks for the whole list once.
func (c *Client) Fetch() { c.enqueue(request{}) }

func (c *Client) enqueue(k request) {
	select {
	case c.requests <- k:
	default: // sixteen calls are waiting: one more would bring nothing new
	}
}

// Run makes the calls until the context ends. One watch runs at a time, and from the start on until it is called off: the module
// says when it would call, and the clock when it must.
func (c *Client) Run(ctx context.Context) error {
	var watch, fetches errgroup.Group
	stop := func() {}
	defer func() { stop(); _ = watch.Wait(); _ = fetches.Wait() }()
	begin := func(at time.Time) {
		stop()
		_ = watch.Wait() // one watch at a time
		wctx, cancel := context.WithCancel(ctx)
		stop = cancel
		watch.Go(func() error {
			c.watch(wctx, at)
			return nil
		})
	}
	now := time.Now()
	c.clock.Started(now)
	c.callUnderWay.Store(true) // the first call is made at once, and answers what the module asks for meanwhile
	begin(now)
	for {
		select {
		case <-ctx.Done():
			return nil
		case k := <-c.requests:
			switch {
			case k.watch && c.pushed: // it is followed as it is
			case k.watch && k.on && c.callUnderWay.Load(): // it answers this one too; another would lose its turn
			case k.watch && k.on:
				begin(time.Now())
			case k.watch:
				stop()
			default:
				fetches.Go(func() error {
					c.fetch(ctx)
					return nil
				})
			}
		}
	}
}

func (c *Client) reportFailure(what string, err error) {
	c.log.Info("discovery", "call", what, "err", err)
	if c.pushed {
		return // who did not ask is told of no failure: the old list stands
	}
	c.sink.List(node.List{Form: dispatch.ListFailed})
}

// watch follows changes from a moment on until it is called off. When calls are given up, which of their ends the module is told
// of, and when the next is made at the latest, package told decides.
func (c *Client) watch(ctx context.Context, from time.Time) {
	for at := c.currentSource(); c.waitBeforeCall(ctx, at, time.Until(from)); {
		at = c.currentSource()
		from = c.call(ctx, at)
	}
}

// rest waits before a call, or until the list has moved since the last: then the next is made there at once. False once no more
// are wanted.
func (c *Client) waitBeforeCall(ctx context.Context, at source, d time.Duration) bool {
	select {
	case <-time.After(d):
	case <-at.ctx.Done():
	case <-ctx.Done():
	}
	if at.ctx.Err() != nil {
		c.clock.SourceMoved(time.Now())
	}
	return ctx.Err() == nil
}

// call follows changes for as long as one call stands, and says when the next is made.
func (c *Client) call(ctx context.Context, at source) time.Time {
	here, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(at.ctx, cancel)
	c.callUnderWay.Store(true)
	defer c.callUnderWay.Store(false)
	c.clock.CallStarted(time.Now())
	err := c.makeCall(here, at.addr, "/v1/servers?stream=1&index="+strconv.FormatUint(c.index.Load(), 10), &c.clock)
	stop()
	cancel()
	now := time.Now()
	if at.ctx.Err() != nil {
		return now // rest notes it
	}
	next := c.clock.CallEnded(now, callEnd(err), rand.Float64())
	if ctx.Err() != nil {
		return now
	}
	if err == nil {
		err = errors.New("it ended")
	}
	c.sink.ListCallFailed()
	if !next.Owned {
		c.callUnderWay.Store(false) // before the module hears of it: what it asks for then is another call
		c.reportFailure("watch", err)
	} else {
		c.log.Info("discovery", "call", "watch", "err", err, "begun", "anew", "in", next.At.Sub(now).Round(time.Millisecond))
	}
	// The agent of a pushed list bears any number of calls: it is called again soon, and sooner only where the clock must.
	if again := now.Add(c.limits.PushAgain); c.pushed && (!next.Owned || !next.At.Before(again)) {
		return again
	}
	return next.At
}

// endOf says how a call ended that had this error.
func callEnd(err error) endpointwatch.CallEnd {
	switch {
	case errors.Is(err, errRejected):
		return endpointwatch.CallRejected
	case errors.Is(err, errWithinLine):
		return endpointwatch.CallCut
	case isTimeout(err):
		return endpointwatch.CallSilent
	}
	return endpointwatch.CallClosed
}

func isTimeout(err error) bool {
	timeout := net.Error(nil)
	return errors.As(err, &timeout) && timeout.Timeout()
}

// fetch asks for the whole list once, and again wherever discovery moves meanwhile. One that was called off ends in silence.
func (c *Client) fetch(ctx context.Context) {
	for ctx.Err() == nil {
		at := c.currentSource()
		here, cancel := context.WithCancel(ctx)
		stop := context.AfterFunc(at.ctx, cancel)
		err := c.makeCall(here, at.addr, "/v1/servers", nil)
		stop()
		cancel()
		if err != nil && at.ctx.Err() != nil {
			continue
		}
		if err != nil && ctx.Err() == nil {
			c.reportFailure("list", err)
		}
		return
	}
}

var errRejected, errWithinLine = errors.New("refused"), errors.New("within a line")

// list makes a call and hands on each line of its answer. Silence is a failure: a machine that was cut off leaves a
// connection open and tells nothing. How much of it, a watch's clock says; a call for the whole list has none.
func (c *Client) makeCall(ctx context.Context, addr, target string, clock *endpointwatch.Tracker) error {
	by := func() time.Time { return time.Now().Add(c.limits.ListCall) }
	if clock != nil {
		by = clock.SilenceDeadline
	}
	dialed, err := c.connect(ctx, addr, clock)
	if err != nil {
		return fmt.Errorf("connecting: %w", err)
	}
	conn := http1.NewMinRateConn(dialed, c.limits.Pace.ListIn, c.limits.Pace.BoxOut)
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	w := http1.NewWriter(conn, c.limits.Ring)
	fields := []http1.Field{{Name: "Host", Value: addr}}
	if clock == nil {
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	conn.BoundReads(by())
	conn.BoundWrites(time.Now().Add(c.limits.ListCall))
	if err := w.Request("GET", target, fields, nil); err != nil {
		return fmt.Errorf("asking: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("asking: %w", err)
	}
	in, p := http1.NewRing(c.limits.Ring), http1.NewParser(c.limits, true)
	lines := lineSplitter{maxBytes: c.limits.WatchLine, takeLine: func(b []byte) error {
		err := c.takeLine(b)
		if clock != nil && err == nil {
			clock.UpdateReceived(time.Now())
		}
		return err
	}}
	p.BodySink = func(b []byte) error {
		if h := p.Head(); h.Status != 200 {
			return fmt.Errorf("%w with %d", errRejected, h.Status)
		}
		return lines.feed(b)
	}
	for {
		m, err := p.Feed(in)
		if m == nil && err == nil {
			// Between lines silence counts, and within one the rate: a line that drips would else start the time of
			// silence anew with each byte, and what it tells, a drain perhaps, counts as told long before it is whole.
			if lines.started() || p.Started() && p.Head() == nil {
				conn.ExpectBytes()
			} else {
				conn.ExpectNone()
			}
			if _, err = in.Fill(conn); err == nil {
				if clock != nil {
					clock.BytesReceived(time.Now())
				}
				conn.BoundReads(by())
			}
			if slow := (*slowpeer.Slow)(nil); errors.As(err, &slow) {
				c.slowPeers.Add(slowpeer.ListDrips)
				c.log.Info("slow list", "kind", slowpeer.ListDrips.String(), "from", addr, "why", slow)
			}
			if err != nil {
				if m, _ = p.End(); m == nil {
					if lines.started() && !isTimeout(err) {
						return fmt.Errorf("reading: %w: %w", errWithinLine, err)
					}
					return fmt.Errorf("reading: %w", err)
				}
			}
		}
		if err != nil && m == nil {
			return err
		}
		if m != nil {
			if m.Status != 200 {
				return fmt.Errorf("%w with %d", errRejected, m.Status)
			}
			return lines.finish()
		}
	}
}

// line takes one line of an answer; an empty one says that the watch lives and that nothing has changed.
func (c *Client) takeLine(b []byte) error {
	b = bytes.TrimSpace(b)
	if len(b) == 0 {
		c.sink.ListConfirmed()
		return nil
	}
	if !gjson.ValidBytes(b) {
		return errors.New("a line that is not JSON")
	}
	l, err := node.ParseList(gjson.ParseBytes(b))
	if err != nil {
		return err
	}
	c.index.Store(l.Index)
	c.sink.List(l)
	return nil
}
