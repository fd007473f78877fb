package settingsync

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/kv"
	"gatetack/internal/limits"
	"gatetack/internal/membership"
	"gatetack/internal/settings"
	_ "gatetack/internal/testrand"
)

// fakeStore is a store that consists only of the state machine.
type fakeStore struct {
	mu          sync.Mutex
	state       *kv.State
	events      []kv.Event
	first       uint64
	changed     chan struct{}
	unavailable bool   // no leader
	beforeTxn   func() // called before a transaction is applied
	writes      int    // number of writes to the table of settings
}

func (f *fakeStore) written() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes
}

func newFakeStore() *fakeStore {
	b := kv.Bounds{Values: 4096, Bytes: 16 << 20, History: 8, Key: 512, Value: 256 << 10, Ops: 256, Results: 64}
	return &fakeStore{state: kv.New(b), changed: make(chan struct{})}
}

func (f *fakeStore) Changes(after uint64, table string) (out []kv.Event, upTo uint64, lost bool, more <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		if e.Version > after && e.Table == table {
			out = append(out, e)
		}
	}
	return out, f.state.Snapshot().Index(), after < f.first, f.changed
}

func (f *fakeStore) CatchUp(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return errors.New("no leader")
	}
	return nil
}

func (f *fakeStore) HasLeader() bool { return f.CatchUp(context.Background()) == nil }

func (f *fakeStore) setUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = unavailable
}

func (f *fakeStore) View() *kv.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Snapshot()
}

func (f *fakeStore) Txn(_ context.Context, t *kv.Txn) (*kv.Result, error) {
	if f.beforeTxn != nil {
		f.beforeTxn()
	}
	return f.apply(t), nil
}

func (f *fakeStore) apply(t *kv.Txn) *kv.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(t.Ops) > 0 && t.Ops[0].Table == settings.Table {
		f.writes++
	}
	r := f.state.Apply(f.state.Snapshot().Index()+1, t)
	f.events = append(f.events, f.state.Events()...)
	close(f.changed)
	f.changed = make(chan struct{})
	return &r
}

// compact drops all buffered events.
func (f *fakeStore) compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events, f.first = nil, f.state.Snapshot().Index()
}

func (f *fakeStore) Members() (membership.Cluster, error) { return nil, nil }

func testLimits() limits.Limits {
	lim := limits.New(0, 0, 0, 0, 0)
	lim.SettingsPollWait = 40 * time.Millisecond
	lim.SettingsCallTimeout = time.Second
	lim.SettingsBackoff = limits.Backoff{Min: time.Millisecond, Max: 4 * time.Millisecond}
	lim.SettingsRetryBackoff = limits.Backoff{Min: 2 * time.Millisecond, Max: 10 * time.Millisecond}
	return lim
}

func testRules() settings.Rules {
	return settings.Rules{
		Settings: dispatch.Settings{
			Nodes:            1,
			MaxAttempts:      3,
			OverloadMultiple: 2,
			Classes:          []dispatch.Class{{Deadline: 5000, PriorityWeight: 1}},
			Tenants:          []dispatch.Tenant{{ReservedShare: 1, Quota: 10}},
		},
		Classes: []string{"a"},
		Tenants: []string{"t"},
	}
}

func validate(d *settings.Document) error { return settings.Validate(testRules(), d) }

// startService runs a service until the test ends.
func startService(t *testing.T, store *fakeStore) *Service {
	t.Helper()
	s := NewService(
		ServiceConfig{Name: "n0", Store: store, Validate: validate, Limits: testLimits(), Log: slog.New(slog.DiscardHandler)},
	)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error("it ended with", err)
		}
	})
	return s
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for by := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatal("timed out waiting until: " + what)
		}
	}
}

// fakeTarget records the activated documents.
type fakeTarget struct {
	mu           sync.Mutex
	active       []*settings.Document
	rejectReason func(*settings.Document) error
}

func (f *fakeTarget) Activate(_ context.Context, d *settings.Document) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rejectReason != nil {
		if err := f.rejectReason(d); err != nil {
			return err
		}
	}
	f.active = append(f.active, d)
	return nil
}

func (f *fakeTarget) rejectWith(reason func(*settings.Document) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejectReason = reason
}

func (f *fakeTarget) versions() (out []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.active {
		out = append(out, d.Version())
	}
	return out
}

func (f *fakeTarget) latest() uint64 {
	all := f.versions()
	if len(all) == 0 {
		return 0
	}
	return all[len(all)-1]
}

// startFollower runs a follower until the test ends.
func startFollower(t *testing.T, process string, upstream Upstream, target Target, cache Cache) {
	t.Helper()
	active, err := cache.Load()
	if err != nil {
		t.Fatal(err)
	}
	f := NewFollower(
		FollowerConfig{
			Process:     process,
			Incarnation: 1,
			Upstream:    upstream,
			Target:      target,
			Cache:       cache,
			Limits:      testLimits(),
			Log:         slog.New(slog.DiscardHandler),
		},
		active,
	)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error("it ended with", err)
		}
	})
}
