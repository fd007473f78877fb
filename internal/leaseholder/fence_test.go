package leaseholder

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"gatetack/internal/jobstore"
	"gatetack/internal/lease"
	"gatetack/internal/store"
	"gatetack/internal/testenv"
)

// BenchmarkFence writes what a submission does, a job's two records, by sixteen clients to a store of three members on this
// machine's disk: as the store takes it, and under a duty's epoch.
func BenchmarkFence(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	ports, err := testenv.Ports(3)
	if err != nil {
		b.Fatal(err)
	}
	members := map[string]string{"n0": ports[0], "n1": ports[1], "n2": ports[2]}
	var all []*store.Store
	var g sync.WaitGroup
	dir := b.TempDir()
	for name, addr := range members {
		s, err := store.Open(store.Config{Name: name, Dir: filepath.Join(dir, name), Listen: addr, Members: members}, lim, nil, slog.New(slog.DiscardHandler))
		if err != nil {
			b.Fatal(err)
		}
		g.Go(func() { _ = s.Run(ctx) })
		all = append(all, s)
	}
	defer g.Wait()
	defer cancel()
	o, err := New(all[0], "n0", 1, "addr", lim, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	o.Connect(&work{adopted: map[string]bool{}}, nil)
	g.Go(func() { _ = o.Run(ctx) })
	testenv.Until(b, "the duty is held", o.Ready)
	own := lease.Life{Node: "n0", Born: 1}.Partition()
	var n int
	for _, x := range []struct {
		name string
		to   jobstore.Store
	}{{"off", all[0]}, {"on", o}} {
		b.Run(x.name, func(b *testing.B) {
			var mu sync.Mutex
			var took []time.Duration
			var clients sync.WaitGroup
			next := make(chan string)
			for range 16 {
				clients.Go(func() {
					for key := range next {
						began := time.Now()
						err := x.to.Write(ctx, jobstore.Change{Kind: "job", Key: key, Value: make([]byte, 600)}, jobstore.Change{Kind: "open", Key: key, Value: []byte(key)})
						mu.Lock()
						took = append(took, time.Since(began))
						if err != nil {
							b.Error(err)
						}
						mu.Unlock()
					}
				})
			}
			for range b.N {
				n++
				next <- fmt.Sprintf("%s.%08d", own, n)
			}
			close(next)
			clients.Wait()
			slices.Sort(took)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "median-ms")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}
