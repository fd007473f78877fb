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

// DispatcherCost is the resource use of the built node program: front, core, decision module and connections
// to executors.
type DispatcherCost struct {
	Cores        float64 // processor seconds per second
	BytesIn      float64 // per second, by read calls
	BytesOut     float64 // per second, by write calls
	Calls        float64 // read and write calls per second
	PrivateBytes float64 // private memory

	ClientBytesIn, ClientBytesOut     float64 // per second, of all clients
	ExecutorBytesIn, ExecutorBytesOut float64 // per second, at one executor: starts, callbacks and their answers
	ExecutorConnections               float64 // established connections at one executor
}

// Sizes of the small site in which a dispatcher is measured.
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

// Dispatcher measures the node program under an open-loop load with the given number of task starts per second.
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
	return startAndLoad(ctx, program, ports[0], list.Addr, &openLoopLoad{executors: executors, starts: starts})
}

// siteSettings returns the settings of the small site, with quotas above every measured load.
func siteSettings() string {
	return strings.NewReplacer(`"quotaRps":20.0`, `"quotaRps":2000.0`, `"quotaRps":12.0`, `"quotaRps":2000.0`).Replace(testenv.Settings)
}

// startAndLoad starts the node program, measures it under the load and kills it.
func startAndLoad(ctx context.Context, program, listen, discovery string, load *openLoopLoad) (DispatcherCost, error) {
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
			return DispatcherCost{}, fmt.Errorf("measure: %s did not become ready in time", program)
		}
	}
	return load.measure(ctx, node.Pid, listen)
}

// measure starts the load and measures the node after the settling time.
func (l *openLoopLoad) measure(ctx context.Context, pid int, address string) (DispatcherCost, error) {
	ctx, cancel := context.WithTimeout(ctx, siteSettle+siteSpan)
	defer cancel()
	l.start(ctx, address)
	time.Sleep(siteSettle)
	before, err := process.Measure(pid)
	if err != nil {
		return DispatcherCost{}, err
	}
	servedBefore, startedAt := l.served.Load(), time.Now()
	time.Sleep(siteSpan - siteSettle/2)
	after, err := process.Measure(pid)
	if err != nil {
		return DispatcherCost{}, err
	}
	connections, err := establishedConnections(l.executors)
	if err != nil {
		return DispatcherCost{}, err
	}
	span, served := time.Since(startedAt).Seconds(), l.served.Load()-servedBefore
	cancel()
	l.group.Wait()
	if minServed := 0.9 * float64(l.starts) * span; float64(served) < minServed {
		return DispatcherCost{}, fmt.Errorf("measure: %d jobs were served in %.1f s, expected at least %.0f", served, span, minServed)
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
	// The traffic of the node that is not with its clients is with its executors, except for the heartbeats of the
	// endpoint list.
	cost.ExecutorBytesIn = max(0, cost.BytesOut-cost.ClientBytesIn) / siteExecutors
	cost.ExecutorBytesOut = max(0, cost.BytesIn-cost.ClientBytesOut) / siteExecutors
	cost.ExecutorConnections = float64(connections) / siteExecutors
	return cost, nil
}

// openLoopLoad submits jobs at a constant rate over a number of connections.
type openLoopLoad struct {
	starts    int             // per second
	executors map[string]bool // their addresses
	group     sync.WaitGroup
	served    atomic.Int64
	answered  atomic.Int64 // with any status
	in, out   atomic.Int64 // bytes on closed connections
}

func (l *openLoopLoad) start(ctx context.Context, address string) {
	due := make(chan int, l.starts*int((siteSettle+siteSpan)/time.Second+1)) // room for all jobs, so that the pacing never blocks
	for range siteConnections {
		l.group.Go(func() { l.connection(ctx, address, due) })
	}
	l.group.Go(func() {
		defer close(due)
		startedAt := time.Now()
		for n := 0; ctx.Err() == nil; n++ {
			time.Sleep(time.Until(startedAt.Add(time.Duration(n) * time.Second / time.Duration(l.starts))))
			due <- n
		}
	})
}

// connection submits the jobs that are due, one after another.
func (l *openLoopLoad) connection(ctx context.Context, address string, due <-chan int) {
	var conn *testenv.Conn
	closeConn := func() {
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
	defer closeConn()
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
			closeConn()
		}
	}
}
