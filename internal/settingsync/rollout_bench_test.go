package settingsync_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"gatetack/brain"
	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/pace"
	"gatetack/internal/settings"
	"gatetack/internal/settingsync"
	"gatetack/internal/store"
)

const benchMembers = 3

// benchFleet is members of a real store and processes that follow them over loopback, all in one process of the operating system. What
// a process does with a document is to merge it.
type benchFleet struct {
	b        *testing.B
	base     settings.Rules
	services []*settingsync.Service

	mu      sync.Mutex
	missing map[string]bool
	done    chan struct{}
}

// merging is a process.
type merging struct {
	name  string
	fleet *benchFleet
}

func (m merging) PutInForce(_ context.Context, d *settings.Document) error {
	if _, err := settings.Merge(m.fleet.base, d); err != nil {
		return err
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if !m.fleet.missing[m.name] {
		return nil
	}
	if delete(m.fleet.missing, m.name); len(m.fleet.missing) == 0 {
		close(m.fleet.done)
	}
	return nil
}

// expect makes done be closed once each process has put a document in force.
func (f *benchFleet) expect(processes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missing, f.done = map[string]bool{}, make(chan struct{})
	for i := range processes {
		f.missing[fmt.Sprint("p", i)] = true
	}
}

// BenchmarkInForce measures the time from when a member is asked for a change until the last of all processes has it in force.
func BenchmarkInForce(b *testing.B) {
	for _, processes := range []int{4, 30, 300} {
		for _, tenants := range []int{4, 450} {
			b.Run(fmt.Sprintf("processes=%d/tenants=%d", processes, tenants), func(b *testing.B) { benchmarkInForce(b, processes, tenants) })
		}
	}
}

func benchmarkInForce(b *testing.B, processes, tenants int) {
	f := newBenchFleet(b, processes, tenants)
	var took []time.Duration
	for n := 1; b.Loop(); n++ {
		f.expect(processes)
		began := time.Now()
		f.change(n)
		<-f.done
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "worst-ms")
	b.ReportMetric(float64(len(took)), "changes")
}

// change sets one tenant's quota at one of the members.
func (f *benchFleet) change(n int) {
	value := json.RawMessage(fmt.Sprintf(`{"quotaRps":%d}`, n+1))
	request := settingsync.ApplyRequest{Changes: []settings.Change{{Key: fmt.Sprint("tenant/t", n%len(f.base.Tenants)), Value: value}}}
	if _, err := f.services[n%benchMembers].Apply(f.b.Context(), request); err != nil {
		f.b.Fatal(err)
	}
}

func newBenchFleet(b *testing.B, processes, tenants int) *benchFleet {
	f := &benchFleet{b: b, base: settings.Rules{Settings: brain.Settings{Balancers: 1, MaxAttempts: 3, FallMultiple: 2,
		Classes: []brain.Class{{Deadline: 5000, Worth: 1}}}, Classes: []string{"a"}}}
	for i := range tenants {
		f.base.Tenants = append(f.base.Tenants, fmt.Sprint("t", i))
		f.base.Settings.Tenants = append(f.base.Settings.Tenants, brain.Tenant{Portion: 1, Quota: 1})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() { cancel(); running.Wait() })
	lim := limits.New(4096, 0, 0, 0, 0)
	lim.ServeFollowers()
	log := slog.New(slog.DiscardHandler)
	call := func(ctx context.Context, addr, verb, path string, body []byte) (*http1.Message, error) {
		return store.Call(ctx, addr, verb, path, body, nil, lim)
	}
	members, addresses := memberAddresses(b)
	for name, addr := range members {
		s, err := store.Open(store.Config{Name: name, Dir: filepath.Join(b.TempDir(), name), Listen: addr, Members: members}, lim, &pace.Tally{}, log)
		if err != nil {
			b.Fatal(err)
		}
		service := settingsync.NewService(settingsync.ServiceConfig{Name: name, Store: s, Base: func() settings.Rules { return f.base },
			Call: call, Limits: lim, Log: log})
		s.Mount(settingsync.Name, service)
		f.services = append(f.services, service)
		running.Go(func() { _ = s.Run(ctx) })
		running.Go(func() { _ = service.Run(ctx) })
	}
	for n := 0; ; n++ { // until the store has a leader
		_, err := f.services[0].Apply(b.Context(), settingsync.ApplyRequest{Changes: []settings.Change{{Key: "general", Value: json.RawMessage(`{"overShareWorth":1}`)}}})
		if err == nil {
			break
		}
	}
	f.expect(processes)
	for i := range processes {
		name := fmt.Sprint("p", i)
		follower := settingsync.NewFollower(settingsync.FollowerConfig{Process: name, Life: 1, Target: merging{name, f}, Limits: lim, Log: log,
			Upstream: settingsync.NewRemote(addresses, call, lim.SettingsCall-lim.SettingsPoll)}, settings.NewDocument())
		running.Go(func() { _ = follower.Run(ctx) })
	}
	<-f.done // all follow by now
	return f
}

// memberAddresses finds ports for the members of a store.
func memberAddresses(b *testing.B) (members map[string]string, addresses []string) {
	members = map[string]string{}
	for i := range benchMembers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		members[fmt.Sprint("n", i)] = ln.Addr().String()
		addresses = append(addresses, ln.Addr().String())
		_ = ln.Close()
	}
	return members, addresses
}
