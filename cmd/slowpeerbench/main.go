// Command slowpeerbench measures the effect of slow peers on other clients: it starts a built node program with test
// executors and a test discovery service, runs clients against it, and adds slow peers of each kind. It is a tool for
// the developers of the project; the operators' page docs/slow-peers.md shows its tables.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/spf13/pflag"
	"github.com/tidwall/gjson"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/testenv"
)

type options struct {
	program, log            string
	executors, clients      int
	memory, sockets, result int
	run, span               time.Duration
	rounds                  int
	peers                   []int
	kinds                   []string
}

func main() {
	var o options
	f := pflag.CommandLine
	f.StringVar(&o.program, "program", "bin/gatetack", "the node's program")
	f.StringVar(&o.log, "log", "", "keep the node's log here")
	f.IntVar(&o.executors, "boxes", 6, "stand-ins for executors; each tells of 4 free slots")
	f.IntVar(&o.clients, "clients", 10, "clients that hand in one job after another")
	f.IntVar(&o.memory, "memory-mb", 32, "memory the node is told to keep to")
	f.IntVar(&o.sockets, "sockets", 256, "descriptors it may have")
	f.IntVar(&o.result, "result", 60000, "bytes of a result")
	f.DurationVar(&o.run, "run", 200*time.Millisecond, "running time of a job")
	f.DurationVar(&o.span, "span", 8*time.Second, "length of a play")
	f.IntVar(&o.rounds, "rounds", 2, "plays of each case")
	f.IntSliceVar(&o.peers, "peers", []int{20, 100, 300}, "numbers of slow peers")
	f.StringSliceVar(&o.kinds, "kinds", nil, "cases: none, a kind of slow client, mixed, box-202, box-mute, box-unread; all if empty")
	pflag.Parse()
	if err := measure(&o); err != nil {
		fmt.Fprintln(os.Stderr, "slowpeers:", err)
		os.Exit(1)
	}
}

func measure(o *options) error {
	kinds := o.kinds
	if len(kinds) == 0 {
		kinds = []string{"none", "box-202", "box-mute", "box-unread"}
		for _, k := range testenv.SlowKinds {
			kinds = append(kinds, string(k))
		}
		kinds = append(kinds, string(testenv.FastReader), "mixed")
	}
	fmt.Println("| case | peers | in time | served | refused | failed | p50 ms | p99 ms | memory MB | descriptors | answered | let go | still there | slow |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, kind := range kinds {
		peers := o.peers
		if kind == "none" || strings.HasPrefix(kind, "box-") {
			peers = []int{0}
		}
		for _, n := range peers {
			for range o.rounds {
				if err := runCase(o, kind, n); err != nil {
					return fmt.Errorf("%s with %d: %w", kind, n, err)
				}
			}
		}
	}
	return nil
}

// runCase starts a node with its executors, runs the clients and the slow peers of one case, and prints a table row.
func runCase(o *options, kind string, peers int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := &errgroup.Group{}
	defer func() { cancel(); _ = g.Wait() }()
	ports, err := testenv.FreeAddrs(1)
	if err != nil {
		return err
	}
	list, err := testenv.NewDiscovery(ctx, g)
	if err != nil {
		return err
	}
	for i := range o.executors {
		b, err := testenv.NewExecutor(ctx, g, fmt.Sprintf("s-%08x", i+1), ports[0], o.run)
		if err != nil {
			return err
		}
		b.Set(func(h *testenv.Behavior) { h.Slots, h.FreeSlots, h.ResultBytes = 4, 4, o.result })
		if i == 0 && strings.HasPrefix(kind, "box-") {
			var up, down testenv.Script
			switch kind {
			case "box-202": // accepts jobs, sends the 202 at one byte per second and makes no callbacks
				down.Rate = 1
				b.Set(func(h *testenv.Behavior) { h.NoCallbacks = true })
			case "box-mute":
				down.StallAfter = 1
				b.Set(func(h *testenv.Behavior) { h.NoCallbacks = true })
			case "box-unread":
				up.StallAfter = 1
			default:
				return fmt.Errorf("unknown case %q", kind)
			}
			slow, err := testenv.NewSlowProxy(ctx, g, b.Addr, up, down, 1)
			if err != nil {
				return err
			}
			b.Addr = slow.Addr
		}
		list.Put(b, "ready")
	}
	node, err := testenv.StartNode(testenv.NodeOptions{Program: o.program, Listen: ports[0], Discovery: list.Addr, MemoryMB: o.memory, Sockets: o.sockets, LogPath: o.log})
	if err != nil {
		return err
	}
	defer node.Stop()
	pctx, stop := context.WithTimeout(ctx, o.span)
	defer stop()
	var mu sync.Mutex
	var results []testenv.SlowPeerResult
	var slow errgroup.Group
	for i := range peers {
		k := testenv.SlowKind(kind)
		if kind == "mixed" {
			k = testenv.SlowKinds[i%len(testenv.SlowKinds)]
		}
		slow.Go(func() error {
			e := testenv.SlowPeer(pctx, ports[0], k, i, 25*time.Second)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, e)
			return nil
		})
	}
	load := testenv.Load{Addr: ports[0], Clients: o.clients, Class: "area-render", Deadline: 25 * time.Second, Objective: 1900 * time.Millisecond,
		Prefix: "10adc1e0"}
	var done *testenv.LoadResult
	var clients errgroup.Group
	clients.Go(func() error { done = load.Run(pctx); return nil })
	maxRSS, maxFDs := 0, 0
	for pctx.Err() == nil {
		rss, fds := node.Usage()
		maxRSS, maxFDs = max(maxRSS, rss), max(maxFDs, fds)
		time.Sleep(50 * time.Millisecond)
	}
	_, slowCounts := slowPeerCounts(ports[0])
	node.Stop() // ends requests that are still open
	_ = clients.Wait()
	_ = slow.Wait()
	answered, closed, open := 0, 0, 0
	for _, e := range results {
		switch {
		case e.Status > 0:
			answered++
		case e.Closed:
			closed++
		default:
			open++
		}
	}
	ms := func(q float64) float64 { return float64(done.Latency.ValueAtQuantile(q)) / 1000 }
	fmt.Printf("| %s | %d | %d | %d | %d | %d | %.0f | %.0f | %.1f | %d | %d | %d | %d | %s |\n", kind, peers, done.WithinObjective, done.Served,
		done.Rejected, done.Failed, ms(50), ms(99), float64(maxRSS)/1024, maxFDs, answered, closed, open, slowCounts)
	return nil
}

// slowPeerCounts returns the counts of the node, and those of slow peers that are not zero as text.
func slowPeerCounts(addr string) (gjson.Result, string) {
	m, err := testenv.Call(addr, "GET", "/counts", nil)
	if err != nil {
		return gjson.Result{}, err.Error()
	}
	all := gjson.ParseBytes(m.Body)
	var out []string
	all.Get("slow").ForEach(func(k, v gjson.Result) bool {
		if v.Int() > 0 {
			out = append(out, k.String()+" "+v.String())
		}
		return true
	})
	return all, strings.Join(out, ", ")
}
