package settingsync_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/settings"
	"gatetack/internal/settingsync"
	"gatetack/internal/slowpeer"
	"gatetack/internal/store"
)

const benchMembers = 3

// benchFleet consists of members of a real store and processes that follow them over loopback, all in one process of
// the operating system. A process activates a document by merging it.
type benchFleet struct {
	b        *testing.B
	base     settings.Rules
	services []*settingsync.Service

	lim       limits.Limits
	addresses []string // of the members
	ctx       context.Context
	running   sync.WaitGroup

	mu      sync.Mutex
	missing map[string]bool
	done    chan struct{}
}

// mergingTarget is the target of one process, which merges each document.
type mergingTarget struct {
	name  string
	fleet *benchFleet
}

func (m mergingTarget) Activate(_ context.Context, d *settings.Document) error {
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

// expect resets the fleet so that done is closed once each process has activated a document.
func (f *benchFleet) expect(processes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missing, f.done = map[string]bool{}, make(chan struct{})
	for i := range processes {
		f.missing[fmt.Sprint("p", i)] = true
	}
}

// BenchmarkActivation measures the time from the request of a change at a member until the change is active in all
// processes.
func BenchmarkActivation(b *testing.B) {
	for _, processes := range []int{4, 30, 300} {
		for _, tenants := range []int{4, 450} {
			b.Run(
				fmt.Sprintf("processes=%d/tenants=%d", processes, tenants),
				func(b *testing.B) { benchmarkActivation(b, processes, tenants) },
			)
		}
	}
}

func benchmarkActivation(b *testing.B, processes, tenants int) {
	f := newBenchFleet(b, processes, tenants)
	var took []time.Duration
	for n := 1; b.Loop(); n++ {
		f.expect(processes)
		startedAt := time.Now()
		f.change(n)
		<-f.done
		took = append(took, time.Since(startedAt))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "worst-ms")
	b.ReportMetric(float64(len(took)), "changes")
}

// change sets the quota of one tenant at one of the members.
func (f *benchFleet) change(n int) {
	value := json.RawMessage(fmt.Sprintf(`{"quotaRps":%d}`, n+1))
	request := settingsync.ApplyRequest{
		Changes: []settings.Change{{Key: fmt.Sprint("tenant/t", n%len(f.base.Tenants)), Value: value}},
	}
	if _, err := f.services[n%benchMembers].Apply(f.b.Context(), request); err != nil {
		f.b.Fatal(err)
	}
}

// newBenchFleet starts the members and the processes, and returns once all processes follow the settings.
func newBenchFleet(b *testing.B, processes, tenants int) *benchFleet {
	f := newBenchMembers(b, tenants)
	f.expect(processes)
	for i := range processes {
		name := fmt.Sprint("p", i)
		follower := settingsync.NewFollower(
			settingsync.FollowerConfig{
				Process:     name,
				Incarnation: 1,
				Target:      mergingTarget{name, f},
				Limits:      f.lim,
				Log: slog.New(
					slog.DiscardHandler,
				),
				Upstream: settingsync.NewRemote(f.addresses, f.call, f.lim.SettingsCallTimeout-f.lim.SettingsPollWait),
			},
			settings.NewDocument(),
		)
		f.running.Go(func() { _ = follower.Run(f.ctx) })
	}
	<-f.done
	return f
}

// call makes a call to a member.
func (f *benchFleet) call(ctx context.Context, addr, verb, path string, body []byte) (*http1.Message, error) {
	return store.Call(ctx, addr, verb, path, body, nil, f.lim)
}

// newBenchMembers starts the members and returns once they accept changes.
func newBenchMembers(b *testing.B, tenants int) *benchFleet {
	f := &benchFleet{b: b, base: settings.Rules{Settings: dispatch.Settings{Nodes: 1, MaxAttempts: 3, OverloadMultiple: 2,
		Classes: []dispatch.Class{{Deadline: 5000, PriorityWeight: 1}}}, Classes: []string{"a"}}}
	for i := range tenants {
		f.base.Tenants = append(f.base.Tenants, fmt.Sprint("t", i))
		f.base.Settings.Tenants = append(f.base.Settings.Tenants, dispatch.Tenant{ReservedShare: 1, Quota: 1})
	}
	var cancel context.CancelFunc
	f.ctx, cancel = context.WithCancel(context.Background())
	b.Cleanup(func() { cancel(); f.running.Wait() })
	f.lim = limits.New(4096, 0, 0, 0, 0)
	f.lim.ReserveFollowerConns()
	log := slog.New(slog.DiscardHandler)
	var members map[string]string
	members, f.addresses = memberAddresses(b)
	for name, addr := range members {
		s, err := store.Open(
			store.Config{Name: name, Dir: filepath.Join(b.TempDir(), name), Listen: addr, Members: members},
			f.lim,
			&slowpeer.Counters{},
			log,
		)
		if err != nil {
			b.Fatal(err)
		}
		service := settingsync.NewService(
			settingsync.ServiceConfig{
				Name:     name,
				Store:    s,
				Validate: func(d *settings.Document) error { return settings.Validate(f.base, d) },
				Call:     f.call,
				Limits:   f.lim,
				Log:      log,
			},
		)
		s.Mount(settingsync.Name, service)
		f.services = append(f.services, service)
		f.running.Go(func() { _ = s.Run(f.ctx) })
		f.running.Go(func() { _ = service.Run(f.ctx) })
	}
	for n := 0; ; n++ { // until the store has a leader
		_, err := f.services[0].Apply(
			b.Context(),
			settingsync.ApplyRequest{
				Changes: []settings.Change{{Key: "general", Value: json.RawMessage(`{"overShareWorth":1}`)}},
			},
		)
		if err == nil {
			break
		}
	}
	return f
}

// memberAddresses returns free addresses for the members of a store.
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

// BenchmarkIdlePoll makes polls without an update, each on its own connection, and counts the bytes of HTTP in each
// direction. The time includes both sides. A process makes one such poll per SettingsPollWait.
func BenchmarkIdlePoll(b *testing.B) {
	f := newBenchMembers(b, 4)
	proxy := newCountingProxy(b, f.addresses[0])
	remote := settingsync.NewRemote([]string{proxy.ln.Addr().String()}, f.call, f.lim.SettingsCallTimeout)
	first, err := remote.Poll(b.Context(), settings.Report{Process: "dispatcher-000"}, 0)
	if err != nil {
		b.Fatal(err)
	}
	proxy.up.Store(0)
	proxy.down.Store(0)
	for n := uint64(1); b.Loop(); n++ {
		report := settings.Report{
			Process:         "dispatcher-000",
			Incarnation:     time.Now().UnixMilli(),
			Sequence:        n,
			ReceivedVersion: first.Version,
			ActiveVersion:   first.Version,
		}
		if _, err := remote.Poll(b.Context(), report, 0); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proxy.up.Load())/float64(b.N), "up-B")
	b.ReportMetric(float64(proxy.down.Load())/float64(b.N), "down-B")
}

// countingProxy forwards connections to a member and counts the bytes.
type countingProxy struct {
	ln       net.Listener
	up, down atomic.Int64
}

func newCountingProxy(b *testing.B, target string) *countingProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	p := &countingProxy{ln: ln}
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				_ = from.Close()
				continue
			}
			go countBytes(&p.up, to, from)
			go countBytes(&p.down, from, to)
		}
	}()
	return p
}

// countBytes forwards one direction of a connection until it ends, and counts the bytes.
func countBytes(n *atomic.Int64, to, from net.Conn) {
	copied, _ := io.Copy(to, from)
	n.Add(copied)
	_, _ = to.Close(), from.Close()
}
