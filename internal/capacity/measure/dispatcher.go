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
	"gatetack/internal/standin"
)

// DispatcherCost is what the built program uses, front, core, decision and carriers together.
type DispatcherCost struct {
	Cores        float64 // processor seconds a second
	BytesIn      float64 // a second, by read calls
	BytesOut     float64 // a second, by write calls
	Calls        float64 // read and write calls a second
	PrivateBytes float64 // of memory of its own
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
	ports, err := standin.Ports(1)
	if err != nil {
		return DispatcherCost{}, err
	}
	list, err := standin.NewList(ctx, group)
	if err != nil {
		return DispatcherCost{}, err
	}
	for i := range siteExecutors {
		executor, err := standin.NewBox(ctx, group, fmt.Sprintf("s-%08x", i+1), ports[0], siteRun)
		if err != nil {
			return DispatcherCost{}, err
		}
		executor.Set(func(b *standin.Behaviour) { b.Slots, b.Free = siteSlots, siteSlots })
		list.Put(executor, "ready")
	}
	const memoryMB, sockets = 64, 1024
	return startAndLoad(ctx, program, ports[0], list.Addr, starts, memoryMB, sockets)
}

// siteSettings are the small site's, with quotas that no measured load passes.
func siteSettings() string {
	return strings.NewReplacer(`"quotaRps":20.0`, `"quotaRps":2000.0`, `"quotaRps":12.0`, `"quotaRps":2000.0`).Replace(standin.Settings)
}

// startAndLoad starts the program, loads it and ends it.
func startAndLoad(ctx context.Context, program, listen, discovery string, starts, memoryMB, sockets int) (DispatcherCost, error) {
	dir, err := os.MkdirTemp("", "capacity-dispatcher-")
	if err != nil {
		return DispatcherCost{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	config := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"settings":%s}`, listen, discovery, memoryMB, sockets, siteSettings())
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
		if message, err := standin.Call(listen, "GET", "/healthz", nil); err == nil && message.Status == 200 {
			break
		}
		if node.Gone() || time.Now().After(end) {
			return DispatcherCost{}, fmt.Errorf("measure: %s does not become ready", program)
		}
	}
	return underLoad(ctx, node.Pid, listen, starts)
}

// underLoad asks for starts, and measures the node once the load has settled.
func underLoad(ctx context.Context, pid int, address string, starts int) (DispatcherCost, error) {
	ctx, cancel := context.WithTimeout(ctx, siteSettle+siteSpan)
	defer cancel()
	var load openLoad
	load.start(ctx, address, starts)
	time.Sleep(siteSettle)
	before, err := process.Measure(pid)
	if err != nil {
		return DispatcherCost{}, err
	}
	servedBefore, began := load.served.Load(), time.Now()
	time.Sleep(siteSpan - siteSettle/2)
	after, err := process.Measure(pid)
	if err != nil {
		return DispatcherCost{}, err
	}
	span, served := time.Since(began).Seconds(), load.served.Load()-servedBefore
	cancel()
	load.group.Wait()
	if least := 0.9 * float64(starts) * span; float64(served) < least {
		return DispatcherCost{}, fmt.Errorf("measure: %d jobs were served in %.1f s, expected %.0f at least", served, span, least)
	}
	return DispatcherCost{
		Cores:        (after.CPU - before.CPU).Seconds() / span,
		BytesIn:      float64(after.ReadBytes-before.ReadBytes) / span,
		BytesOut:     float64(after.WrittenBytes-before.WrittenBytes) / span,
		Calls:        float64(after.ReadCalls-before.ReadCalls+after.WriteCalls-before.WriteCalls) / span,
		PrivateBytes: float64(after.PrivateBytes),
	}, nil
}

// openLoad hands in jobs at an even pace over a number of connections.
type openLoad struct {
	group  sync.WaitGroup
	served atomic.Int64
}

func (l *openLoad) start(ctx context.Context, address string, starts int) {
	due := make(chan int, starts*int((siteSettle+siteSpan)/time.Second+1))
	for range siteConnections {
		l.group.Go(func() { l.connection(ctx, address, due) })
	}
	l.group.Go(func() {
		defer close(due)
		ticker := time.NewTicker(time.Second / time.Duration(starts))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
				due <- n
			case <-ctx.Done():
				return
			}
		}
	})
}

// connection hands in what is due, one job after another.
func (l *openLoad) connection(ctx context.Context, address string, due <-chan int) {
	var conn *standin.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for n := range due {
		if ctx.Err() != nil {
			return
		}
		if conn == nil {
			var err error
			if conn, err = standin.Dial(address); err != nil {
				conn = nil
				continue
			}
		}
		message, err := conn.Do("POST", "/"+siteClass+"/cut", []byte("scene"), standin.Job(fmt.Sprintf("ca9ac17e%08x", n), siteDeadline)...)
		if err != nil || message.Close {
			_ = conn.Close()
			conn = nil
		}
		if err == nil && message.Status == 200 {
			l.served.Add(1)
		}
	}
}
