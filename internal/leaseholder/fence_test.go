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

// benchmarkClients is the number of clients that write concurrently.
const benchmarkClients = 16

// BenchmarkFence writes the two records of a submitted job to a store of three members on this machine's disk, without
// fencing and under the epoch of a partition.
func BenchmarkFence(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	member := startMembers(ctx, b, &running)
	self := lease.Incarnation{Node: "n0", StartedMs: 1}
	holder, err := New(member, self, "addr", testLimits, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	holder.Connect(newFakeFront(), nil)
	running.Go(func() { _ = holder.Run(ctx) })
	testenv.Until(b, "the partition is owned", holder.Ready)
	var n int
	for _, variant := range []struct {
		name  string
		store jobstore.Store
	}{{"off", member}, {"on", holder}} {
		b.Run(variant.name, func(b *testing.B) {
			benchmarkWrites(ctx, b, variant.store, func() string {
				n++
				return fmt.Sprintf("%s.%08d", self.PartitionKey(), n)
			})
		})
	}
}

// startMembers starts a store of three members and returns one of them.
func startMembers(ctx context.Context, b *testing.B, running *sync.WaitGroup) *store.Store {
	ports, err := testenv.FreeAddrs(3)
	if err != nil {
		b.Fatal(err)
	}
	members := map[string]string{"n0": ports[0], "n1": ports[1], "n2": ports[2]}
	var started []*store.Store
	dir := b.TempDir()
	for name, addr := range members {
		config := store.Config{Name: name, Dir: filepath.Join(dir, name), Listen: addr, Members: members}
		member, err := store.Open(config, testLimits, nil, slog.New(slog.DiscardHandler))
		if err != nil {
			b.Fatal(err)
		}
		running.Go(func() { _ = member.Run(ctx) })
		started = append(started, member)
	}
	return started[0]
}

// benchmarkWrites writes b.N jobs with benchmarkClients clients and reports the rate and latency of the writes.
func benchmarkWrites(ctx context.Context, b *testing.B, to jobstore.Store, nextKey func() string) {
	var mu sync.Mutex
	var latencies []time.Duration
	var clients sync.WaitGroup
	keys := make(chan string)
	for range benchmarkClients {
		clients.Go(func() {
			for key := range keys {
				startedAt := time.Now()
				err := to.Write(ctx, jobstore.Change{Kind: "job", Key: key, Value: make([]byte, 600)},
					jobstore.Change{Kind: "open", Key: key, Value: []byte(key)})
				mu.Lock()
				latencies = append(latencies, time.Since(startedAt))
				if err != nil {
					b.Error(err)
				}
				mu.Unlock()
			}
		})
	}
	for range b.N {
		keys <- nextKey()
	}
	close(keys)
	clients.Wait()
	slices.Sort(latencies)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
}
