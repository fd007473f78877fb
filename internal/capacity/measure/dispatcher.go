package measure

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/scale/process"
	"gatetack/internal/testenv"
)

// DispatcherCost is what the built program uses, front, core, decision and carriers together.
type DispatcherCost struct {
	Cores        float64 // processor seconds a second
	BytesIn      float64 // a second, by read calls
	BytesOut     float64 // a second, by write calls
	Calls        float64 // read and write calls a second
	PrivateBytes float64 // of memory of its own

	ClientBytesIn, ClientBytesOut     float64 // a second, of all clients
	ExecutorBytesIn, ExecutorBytesOut float64 // a second, at one executor: starts, callbacks and their answers
	ExecutorConnections               float64 // that stand at one executor
}

// Figures of the small site that a dispatcher is measured at.
const (
	siteExecutors   = 8
	siteSlots       = 64
	siteRun         = 100 * time.Millisecond
	siteSettle      = time.Second
	siteSpan        = 3 * time.Second
	siteDeadline    = 5 * time.Second
	siteConnections = 64
	siteMemoryMB    = 64
	siteSockets     = 1024
	siteClass       = "tile-charge"
)

// Dispatcher measures the built program under so many starts a second, asked for at an even pace whatever its answers are.
func Dispatcher(ctx context.Context, program string, starts int) (DispatcherCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	group := &errgroup.Group{}
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	ports, err := testenv.FreeAddrs(1)
	if err != nil {
		return DispatcherCost{}, err
	}
	list, err := testenv.NewDiscovery(ctx, group)
	if err != nil {
		return DispatcherCost{}, err
	}
	executors := map[string]bool{}
	for i := range siteExecutors {
		executor, err := testenv.NewExecutor(ctx, group, fmt.Sprintf("s-%08x", i+1), ports[0], siteRun)
		if err != nil {
			return DispatcherCost{}, err
		}
		executor.Set(func(b *testenv.Behavior) { b.Slots, b.FreeSlots = siteSlots, siteSlots })
		list.Put(executor, "ready")
		executors[executor.Addr] = true
	}
	return startAndLoad(ctx, program, ports[0], list.Addr, &openLoad{executors: executors, starts: starts})
}

// siteSettings are the small site's, with quotas that no measured load passes.
func siteSettings() string {
	return strings.NewReplacer(`"quotaRps":20.0`, `"quotaRps":2000.0`, `"quotaRps":12.0`, `"quotaRps":2000.0`).Replace(testenv.Settings)
}

// startAndLoad starts the program, loads it and ends it.
func startAndLoad(ctx context.Context, program, listen, discovery string, load *openLoad) (DispatcherCost, error) {
	dir, err := os.MkdirTemp("", "capacity-dispatcher-")
	if err != nil {
		return DispatcherCost{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	config := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"settings":%s}`, listen, discovery, siteMemoryMB, siteSockets, siteSettings())
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return DispatcherCost{}, err
	}
	starter := process.NewStarter()
	defer starter.Close()
	node, err := starter.Start(process.Command{Name: "n0", Program: program, Args: []string{"serve"}, Env: []string{"EDGE_CONFIG=" + config},
		Log: filepath.Join(dir, "log")})
	if err != nil {
		return DispatcherCost{}, err
	}
	defer node.Kill()
	for end := time.Now().Add(memberWait); ; time.Sleep(20 * time.Millisecond) {
		if message, err := testenv.Call(listen, "GET", "/healthz", nil); err == nil && message.Status == 200 {
			break
		}
		if node.HasEnded() || time.Now().After(end) {
			return DispatcherCost{}, fmt.Errorf("measure: %s does not become ready", program)
		}
	}
	return load.measure(ctx, node.Pid, listen)
}

// measure asks for starts, and measures the node once the load has settled.
func (l *openLoad) measure(ctx context.Context, pid int, address string) (DispatcherCost, error) {
	ctx, cancel := context.WithTimeout(ctx, siteSettle+siteSpan)
	defer cancel()
	l.start(ctx, address)
	time.Sleep(siteSettle)
	before, err := process.Measure(pid)
	if err != nil {
		return DispatcherCost{}, err
	}
	servedBefore, began := l.served.Load(), time.Now()
	time.Sleep(siteSpan - siteSettle/2)
	after, err := process.Measure(pid)
	if err != nil {
		return DispatcherCost{}, err
	}
	connections, err := standingConnections(l.executors)
	if err != nil {
		return DispatcherCost{}, err
	}
	span, served := time.Since(began).Seconds(), l.served.Load()-servedBefore
	cancel()
	l.group.Wait()
	if least := 0.9 * float64(l.starts) * span; float64(served) < least {
		return DispatcherCost{}, fmt.Errorf("measure: %d jobs were served in %.1f s, expected %.0f at least", served, span, least)
	}
	cost := DispatcherCost{
		Cores:        (after.CPU - before.CPU).Seconds() / span,
		BytesIn:      float64(after.ReadBytes-before.ReadBytes) / span,
		BytesOut:     float64(after.WrittenBytes-before.WrittenBytes) / span,
		Calls:        float64(after.ReadCalls-before.ReadCalls+after.WriteCalls-before.WriteCalls) / span,
		PrivateBytes: float64(after.PrivateBytes),
	}
	jobs, rate := float64(l.answered.Load()), float64(served)/span
	cost.ClientBytesIn, cost.ClientBytesOut = float64(l.in.Load())/jobs*rate, float64(l.out.Load())/jobs*rate
	// What the node reads and writes beside its clients is its executors', but for the list's beats.
	cost.ExecutorBytesIn = max(0, cost.BytesOut-cost.ClientBytesIn) / siteExecutors
	cost.ExecutorBytesOut = max(0, cost.BytesIn-cost.ClientBytesOut) / siteExecutors
	cost.ExecutorConnections = float64(connections) / siteExecutors
	return cost, nil
}

// openLoad hands in jobs at an even pace over a number of connections.
type openLoad struct {
	starts    int             // a second
	executors map[string]bool // their addresses
	group     sync.WaitGroup
	served    atomic.Int64
	answered  atomic.Int64 // whatever the answer was
	in, out   atomic.Int64 // bytes of connections that were closed
}

func (l *openLoad) start(ctx context.Context, address string) {
	due := make(chan int, l.starts*int((siteSettle+siteSpan)/time.Second+1)) // room for all: what is due waits for nobody
	for range siteConnections {
		l.group.Go(func() { l.connection(ctx, address, due) })
	}
	l.group.Go(func() {
		defer close(due)
		began := time.Now()
		for n := 0; ctx.Err() == nil; n++ {
			time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(l.starts))))
			due <- n
		}
	})
}

// connection hands in what is due, one job after another.
func (l *openLoad) connection(ctx context.Context, address string, due <-chan int) {
	var conn *testenv.Conn
	hangUp := func() {
		if conn == nil {
			return
		}
		if traffic, err := trafficOf(conn.Conn); err == nil {
			l.in.Add(int64(traffic.BytesIn))
			l.out.Add(int64(traffic.BytesOut))
		}
		_ = conn.Close()
		conn = nil
	}
	defer hangUp()
	for n := range due {
		if ctx.Err() != nil {
			return
		}
		if conn == nil {
			var err error
			if conn, err = testenv.Dial(address); err != nil {
				conn = nil
				continue
			}
		}
		message, err := conn.Do("POST", "/"+siteClass+"/cut", []byte("scene"), testenv.JobFields(fmt.Sprintf("ca9ac17e%08x", n), siteDeadline)...)
		if err == nil {
			l.answered.Add(1)
		}
		if err == nil && message.Status == 200 {
			l.served.Add(1)
		}
		if err != nil || message.Close {
			hangUp()
		}
	}
}
