// Command batchbench measures the batch front of a built node program: submissions per second, the duration of waits,
// the memory of the node with many recorded jobs, and the effect of a busy batch client on the platform front. It is a
// tool for the developers of the project; the operators' page docs/batch.md shows its tables.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/pflag"
	"golang.org/x/sync/errgroup"

	"gatetack/drmaa2"
	"gatetack/internal/batch"
	"gatetack/internal/jobstore"
	"gatetack/internal/testenv"
)

func main() {
	program := pflag.String("program", "bin/gatetack", "the node's program")
	sizes := pflag.IntSlice("jobs", []int{1000, 100000, 1000000}, "jobs on record")
	clients := pflag.Int("clients", 8, "clients that submit")
	span := pflag.Duration("span", 5*time.Second, "length of each part")
	pflag.Parse()
	fmt.Println("| jobs on record | start s | submissions a second | p50 ms | p99 ms | submit to end p50 ms | p99 ms | page of 500 ms | filter over all ms | memory MB |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range *sizes {
		if err := measureBatchFront(*program, n, *clients, *span); err != nil {
			fmt.Fprintln(os.Stderr, "batchbench:", err)
			os.Exit(1)
		}
	}
	fmt.Println("\n| batch clients beside | in time | refused | p50 ms | p99 ms | submissions a second |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, n := range []int{0, 1, 0, 1} {
		if err := measurePlatformFront(*program, n, *span+3*time.Second); err != nil {
			fmt.Fprintln(os.Stderr, "batchbench:", err)
			os.Exit(1)
		}
	}
}

// testSite is a node with its discovery service and executors.
type testSite struct {
	ctx           context.Context
	g             *errgroup.Group
	cancel        func()
	listen, batch string
	node          *testenv.Node
	startupTime   time.Duration
}

func start(program, dir string) (*testSite, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &testSite{ctx: ctx, g: &errgroup.Group{}, cancel: cancel}
	ports, err := testenv.FreeAddrs(2)
	if err != nil {
		return nil, err
	}
	p.listen, p.batch = ports[0], ports[1]
	list, err := testenv.NewDiscovery(ctx, p.g)
	if err != nil {
		return nil, err
	}
	for i := range 6 {
		b, err := testenv.NewExecutor(ctx, p.g, fmt.Sprintf("s-%08x", i+1), p.listen, 100*time.Millisecond)
		if err != nil {
			return nil, err
		}
		b.Set(func(h *testenv.Behavior) { h.Slots, h.FreeSlots = 4, 4 })
		list.Put(b, "ready")
	}
	startedAt := time.Now()
	p.node, err = testenv.StartNode(testenv.NodeOptions{Program: program, Listen: p.listen, Discovery: list.Addr, MemoryMB: 192, Sockets: 1024,
		ConfigText: "batch:\n  listen: " + p.batch + "\n  dir: " + dir + "\n"})
	p.startupTime = time.Since(startedAt)
	return p, err
}

func (p *testSite) stop() {
	p.node.Stop()
	p.cancel()
	_ = p.g.Wait()
}

// writeEndedJobs writes n ended jobs of an earlier incarnation to the job store.
func writeEndedJobs(dir string, n int) error {
	b, err := jobstore.OpenBolt(dir)
	if err != nil {
		return err
	}
	defer func() { _ = b.Close() }()
	ctx := context.Background()
	zero, result := 0, "tile of a job that ended long ago"
	changes := make([]jobstore.Change, 0, 10000)
	at := time.Now().Add(-time.Hour)
	for i := 1; i <= n; i++ {
		id := fmt.Sprintf("n0.%x.%d", at.UnixMilli(), i)
		v, err := json.Marshal(batch.Record{ID: id, State: batch.Done, ExitStatus: &zero, Machines: []string{"s-00000001"}, Category: "area-render",
			Account: "maavaade", Session: "default", Submitted: at, Dispatched: at, Finished: at, Result: &result})
		if err != nil {
			return err
		}
		changes = append(changes, jobstore.Change{Kind: "job", Key: fmt.Sprintf("n0.%012x.%012x", at.UnixMilli(), i), Value: v})
		if len(changes) == cap(changes) || i == n {
			if err := b.Write(ctx, changes...); err != nil {
				return err
			}
			changes = changes[:0]
		}
	}
	return nil
}

// measureBatchFront measures a node that starts with n ended jobs in its store, and prints a table row.
func measureBatchFront(program string, n, clients int, span time.Duration) error {
	dir, err := os.MkdirTemp("", "batchbench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := writeEndedJobs(dir, n); err != nil {
		return err
	}
	p, err := start(program, dir)
	if err != nil {
		return err
	}
	defer p.stop()
	// Submissions: the jobs are on hold, so that only the front and its job store are measured.
	submit := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var count atomic.Int64
	sctx, cancel := context.WithTimeout(p.ctx, span)
	var g errgroup.Group
	startedAt := time.Now()
	for range clients {
		g.Go(func() error {
			c := drmaa2.New(p.batch, "")
			defer c.Close()
			for sctx.Err() == nil {
				at := time.Now()
				info, _, err := c.RunJob(p.ctx, drmaa2.Template{JobCategory: "area-render", AccountingID: "maavaade", SubmitAsHold: true})
				if err != nil {
					return err
				}
				latency := time.Since(at)
				count.Add(1)
				mu.Lock()
				_ = submit.RecordValue(latency.Microseconds())
				mu.Unlock()
				if err := c.Control(p.ctx, info.JobID, "terminate", false); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err = g.Wait()
	cancel()
	if err != nil {
		return err
	}
	rate := float64(count.Load()) / time.Since(startedAt).Seconds()
	// Waits: measured from the submission to the answer of the wait. A job runs for 100 ms.
	wait := hdrhistogram.New(1, 60_000_000, 3)
	c := drmaa2.New(p.batch, "")
	defer c.Close()
	for end := time.Now().Add(span); time.Now().Before(end); {
		at := time.Now()
		info, _, err := c.RunJob(p.ctx, drmaa2.Template{JobCategory: "area-render", AccountingID: "maavaade"})
		if err != nil {
			return err
		}
		if info, err = c.Wait(p.ctx, false, info.JobID); err != nil || info.JobState != "DONE" {
			return fmt.Errorf("%+v %w", info, err)
		}
		_ = wait.RecordValue(time.Since(at).Microseconds())
	}
	at, k := time.Now(), 0
	if err := c.Jobs(p.ctx, "", false, func(drmaa2.JobInfo) bool { k++; return k < 500 }); err != nil {
		return err
	}
	page := time.Since(at)
	at = time.Now()
	if err := c.Jobs(p.ctx, `state = FAILED and sub = refused`, false, func(drmaa2.JobInfo) bool { return true }); err != nil {
		return err
	}
	all := time.Since(at)
	rssKB, _ := p.node.Usage()
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Printf("| %d | %.2f | %.0f | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f | %.1f |\n", n, p.startupTime.Seconds(), rate, ms(submit, 50), ms(submit, 99),
		ms(wait, 50), ms(wait, 99), float64(page.Microseconds())/1000, float64(all.Microseconds())/1000, float64(rssKB)/1024)
	return nil
}

// measurePlatformFront runs clients of the platform front while n busy batch clients run, and prints a table row.
func measurePlatformFront(program string, n int, span time.Duration) error {
	dir, err := os.MkdirTemp("", "batchbench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p, err := start(program, dir)
	if err != nil {
		return err
	}
	defer p.stop()
	ctx, cancel := context.WithTimeout(p.ctx, span)
	defer cancel()
	var g errgroup.Group
	count := 0
	for range n {
		g.Go(func() error {
			c := drmaa2.New(p.batch, "")
			defer c.Close()
			for ctx.Err() == nil {
				info, _, err := c.RunJob(ctx, drmaa2.Template{JobCategory: "area-render", AccountingID: "maavaade", SubmitAsHold: true})
				if err != nil {
					continue
				}
				count++
				_ = c.Control(ctx, info.JobID, "terminate", false)
			}
			return nil
		})
	}
	load := testenv.Load{Addr: p.listen, Clients: 10, Class: "area-render", Deadline: 25 * time.Second, Objective: 1700 * time.Millisecond, Prefix: "10adc1e0"}
	d := load.Run(ctx)
	_ = g.Wait()
	fmt.Printf("| %d | %d | %d | %.0f | %.0f | %.0f |\n", n, d.WithinObjective, d.Rejected, float64(d.Latency.ValueAtQuantile(50))/1000,
		float64(d.Latency.ValueAtQuantile(99))/1000, float64(count)/span.Seconds())
	return nil
}
