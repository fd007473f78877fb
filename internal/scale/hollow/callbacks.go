package hollow

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// callbacks sends the executors' callbacks to dispatchers over a few persistent connections to each.
type callbacks struct {
	streams [][]*callbackStream // by dispatcher
}

// callbackStream is the queue of callbacks of one connection. All callbacks of a request use the same stream, so they stay in order.
type callbackStream struct {
	mu      sync.Mutex
	waiting []call
	wake    chan struct{}
	conn    *Conn
	addr    string
	traffic *Traffic
}

// call is one callback.
type call struct {
	body           []byte
	incarnationCtx context.Context // ends with the executor's incarnation: a killed executor makes no callbacks
	waitForLink    func(context.Context) error
	onAnswered     func()
}

// Retries of a callback that is not answered, and the number of connections.
const (
	maxCallAttempts      = 10
	callRetryInterval    = 20 * time.Millisecond
	streamsPerDispatcher = 16 // number of connections to each dispatcher
)

func newCallbacks(ctx context.Context, g *errgroup.Group, n *Network, t *Traffic, dispatchers int) *callbacks {
	c := &callbacks{streams: make([][]*callbackStream, dispatchers)}
	for d := range c.streams {
		for range streamsPerDispatcher {
			l := &callbackStream{wake: make(chan struct{}, 1), addr: n.Dispatcher(d), traffic: t}
			c.streams[d] = append(c.streams[d], l)
			g.Go(func() error { l.run(ctx); return nil })
		}
	}
	return c
}

// send queues a callback. It does not block.
func (c *callbacks) send(dispatcher int, request uint64, k call) {
	if dispatcher >= len(c.streams) {
		return
	}
	l := c.streams[dispatcher][request%streamsPerDispatcher]
	l.mu.Lock()
	l.waiting = append(l.waiting, k)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *callbackStream) run(ctx context.Context) {
	defer func() {
		if l.conn != nil {
			_ = l.conn.Close()
		}
	}()
	for {
		l.mu.Lock()
		batch := l.waiting
		l.waiting = nil
		l.mu.Unlock()
		for _, k := range batch {
			if k.waitForLink(k.incarnationCtx) == nil {
				l.call(ctx, k)
			}
		}
		if len(batch) > 0 {
			continue
		}
		select {
		case <-l.wake:
		case <-ctx.Done():
			return
		}
	}
}

// call makes one callback and retries it until it is answered.
func (l *callbackStream) call(ctx context.Context, k call) {
	for range maxCallAttempts {
		if ctx.Err() != nil || k.incarnationCtx.Err() != nil {
			return
		}
		if l.tryCall(k) {
			if k.onAnswered != nil {
				k.onAnswered()
			}
			return
		}
		sleep(ctx, callRetryInterval)
	}
}

func (l *callbackStream) tryCall(k call) bool {
	if l.conn == nil {
		var err error
		if l.conn, err = Dial(l.addr, l.traffic, RoleCallback); err != nil {
			return false
		}
	}
	m, err := l.conn.Do(time.Now().Add(callTimeout), "POST", "/callback", k.body, nil)
	if err != nil || m.Close {
		_ = l.conn.Close()
		l.conn = nil
	}
	return err == nil && (m.Status == 200 || m.Status == 204)
}

// callTimeout is how long an executor waits for the answer to a callback.
const callTimeout = 5 * time.Second

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
