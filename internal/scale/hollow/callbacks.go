package hollow

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// callbacks carries what executors tell to dispatchers, over a few kept connections to each.
type callbacks struct {
	lanes [][]*lane // by dispatcher
}

// lane is one connection's worth of calls: those of one request keep their order.
type lane struct {
	mu      sync.Mutex
	waiting []call
	more    chan struct{}
	conn    *Conn
	addr    string
	traffic *Traffic
}

// call is one callback.
type call struct {
	body     []byte
	life     context.Context // of the executor's life: a lost executor tells nothing
	pass     func(context.Context) error
	answered func()
}

// Each call is tried until it is answered, ten times at most.
const (
	callTries = 10
	callPause = 20 * time.Millisecond
	callLanes = 16 // to each dispatcher
)

func newCallbacks(ctx context.Context, g *errgroup.Group, n *Network, t *Traffic, dispatchers int) *callbacks {
	c := &callbacks{lanes: make([][]*lane, dispatchers)}
	for d := range c.lanes {
		for range callLanes {
			l := &lane{more: make(chan struct{}, 1), addr: n.Dispatcher(d), traffic: t}
			c.lanes[d] = append(c.lanes[d], l)
			g.Go(func() error { l.run(ctx); return nil })
		}
	}
	return c
}

// send queues a call. It does not block.
func (c *callbacks) send(dispatcher int, request uint64, k call) {
	if dispatcher >= len(c.lanes) {
		return
	}
	l := c.lanes[dispatcher][request%callLanes]
	l.mu.Lock()
	l.waiting = append(l.waiting, k)
	l.mu.Unlock()
	select {
	case l.more <- struct{}{}:
	default:
	}
}

func (l *lane) run(ctx context.Context) {
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
			if k.pass(k.life) == nil {
				l.call(ctx, k)
			}
		}
		if len(batch) > 0 {
			continue
		}
		select {
		case <-l.more:
		case <-ctx.Done():
			return
		}
	}
}

// call makes one call until it is answered.
func (l *lane) call(ctx context.Context, k call) {
	for range callTries {
		if ctx.Err() != nil || k.life.Err() != nil {
			return
		}
		if l.once(k) {
			if k.answered != nil {
				k.answered()
			}
			return
		}
		sleep(ctx, callPause)
	}
}

func (l *lane) once(k call) bool {
	if l.conn == nil {
		var err error
		if l.conn, err = Dial(l.addr, l.traffic, RoleCallback); err != nil {
			return false
		}
	}
	m, err := l.conn.Do(time.Now().Add(callWithin), "POST", "/callback", k.body, nil)
	if err != nil || m.Close {
		_ = l.conn.Close()
		l.conn = nil
	}
	return err == nil && (m.Status == 200 || m.Status == 204)
}

// callWithin is how long an executor waits for the answer to a call.
const callWithin = 5 * time.Second

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
