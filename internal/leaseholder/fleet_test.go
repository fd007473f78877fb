package leaseholder

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
	"gatetack/internal/lease"
	"gatetack/internal/limits"
)

var testLimits = limits.New(0, 0, 0, 0, 0)

// sharedStore simulates the replicated store by a single state machine. Faults occur only in its clients.
type sharedStore struct {
	state *kv.State
	index uint64
	nowMs int64 // the leader's clock
}

// fakeMember is the store as seen by one node.
type fakeMember struct {
	*sharedStore
	view           *kv.View // local state, which may be stale
	unreachable    bool     // the member reaches no leader
	losesResponses bool     // transactions are committed, but their results are lost
}

var errNoLeader = errors.New("no leader")

func (m *fakeMember) Txn(_ context.Context, t *kv.Txn) (*kv.Result, error) {
	if m.unreachable {
		return nil, errNoLeader
	}
	t.At = m.nowMs
	m.index++
	result := m.state.Apply(m.index, t)
	if m.losesResponses {
		return nil, errors.New("response lost")
	}
	return &result, nil
}

func (m *fakeMember) View() *kv.View { return m.view }

func (m *fakeMember) Local(kind, key string) ([]byte, bool) {
	entry, ok := m.view.Get(kind, key)
	if !ok {
		return nil, false
	}
	return entry.Value, true
}

func (m *fakeMember) Write(context.Context, ...jobstore.Change) error {
	return errors.New("a Holder must write through transactions")
}

func (m *fakeMember) Get(_ context.Context, kind, key string) ([]byte, bool, error) {
	if m.unreachable {
		return nil, false, errNoLeader
	}
	entry, ok := m.state.Snapshot().Get(kind, key)
	if !ok {
		return nil, false, nil
	}
	return entry.Value, true, nil
}

func (m *fakeMember) Page(context.Context, string, string, int) ([]jobstore.Row, error) {
	return nil, nil
}

// fakeFront replaces the batch front.
type fakeFront struct {
	adopted map[string]bool
	started int64           // start of the incarnation that new jobs belong to
	records map[string]bool // partitions that have records
}

func newFakeFront() *fakeFront { return &fakeFront{adopted: map[string]bool{}} }

func (f *fakeFront) OpenPartitions(context.Context, string) ([]string, error) { return nil, nil }

func (f *fakeFront) Adopt(_ context.Context, key string) (int, error) {
	f.adopted[key] = true
	return 1, nil
}

func (f *fakeFront) Drop(key string) { delete(f.adopted, key) }

func (f *fakeFront) SetIncarnationStart(started int64) { f.started = started }

func (f *fakeFront) HasRecords(_ context.Context, key string) (bool, error) {
	return f.records[key], nil
}

// fleet simulates nodes with one store, step by step with a seeded random generator.
type fleet struct {
	t       *testing.T
	rng     *rand.Rand
	store   *sharedStore
	elapsed time.Duration // time on all clocks; the clock of a node may be ahead
	nodes   []*testNode
	starts  int64
	history []string
}

// testNode is a node of a fleet.
type testNode struct {
	*Holder
	name       string
	member     *fakeMember
	front      *fakeFront
	paused     bool
	clockAhead time.Duration
	calls      []func() // calls to the store in progress
}

func newFleet(t *testing.T, seed int64, n int) *fleet {
	bounds := kv.Bounds{Key: 512, Value: 1 << 16, Ops: 256, Results: 64}
	f := &fleet{t: t, rng: rand.New(rand.NewSource(seed)), store: &sharedStore{state: kv.New(bounds), nowMs: 1 << 40}}
	for i := range n {
		node := &testNode{name: fmt.Sprintf("n%d", i)}
		f.nodes = append(f.nodes, node)
		f.start(node)
	}
	return f
}

// newRestartedFleet returns a fleet with a node that has just restarted, that node, and the partition that its earlier
// incarnation left.
func newRestartedFleet(t *testing.T, n int) (f *fleet, restarted *testNode, left string) {
	f = newFleet(t, 1, n)
	f.steps(40)
	restarted = f.nodes[0]
	left = restarted.self.incarnation.PartitionKey()
	f.start(restarted)
	return f, restarted, left
}

// start starts a new process of a node, without any state of an earlier one.
func (f *fleet) start(node *testNode) {
	f.starts++
	node.member = &fakeMember{sharedStore: f.store, view: f.store.state.Snapshot()}
	node.front = newFakeFront()
	node.paused, node.calls = false, nil
	self := lease.Incarnation{Node: node.name, StartedMs: f.starts}
	holder, err := New(node.member, self, "addr of "+node.name, testLimits, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	node.Holder = holder
	holder.Connect(node.front, nil)
	holder.bootTime = func() time.Duration { return f.elapsed + node.clockAhead }
	holder.spawn = func(call func()) { node.calls = append(node.calls, call) }
}

func (f *fleet) record(format string, args ...any) {
	f.history = append(f.history, fmt.Sprintf("%v ", f.elapsed)+fmt.Sprintf(format, args...))
}

// steps simulates n steps without faults.
func (f *fleet) steps(n int) {
	for range n {
		f.step(false)
	}
}

// step lets time pass, possibly causes a fault, and advances all nodes that are not paused.
func (f *fleet) step(faults bool) {
	passed := time.Duration(f.rng.Intn(100)) * time.Millisecond
	f.elapsed += passed
	f.store.nowMs += passed.Milliseconds()
	if faults && f.rng.Intn(25) == 0 {
		f.fault(f.nodes[f.rng.Intn(len(f.nodes))])
	}
	for _, node := range f.nodes {
		if !node.paused {
			f.advance(node)
		}
	}
}

// fault causes a random fault at a node.
func (f *fleet) fault(node *testNode) {
	switch f.rng.Intn(7) {
	case 0, 1:
		node.paused = !node.paused
		f.record("%s paused %v", node.name, node.paused)
	case 2:
		f.start(node)
		f.record("%s restarted", node.name)
	case 3:
		node.member.unreachable = !node.member.unreachable
		f.record("%s unreachable %v", node.name, node.member.unreachable)
	case 4:
		node.member.losesResponses = !node.member.losesResponses
		f.record("%s loses responses %v", node.name, node.member.losesResponses)
	case 5:
		f.store.nowMs += int64(f.rng.Intn(3600_000))
		f.record("new leader with its clock ahead")
	case 6:
		node.clockAhead += time.Duration(f.rng.Intn(2000)) * time.Millisecond
		f.record("%s slept", node.name)
	}
}

// advance randomly updates a node's local state, runs a step of the node, or completes calls to the store.
func (f *fleet) advance(node *testNode) {
	if f.rng.Intn(3) > 0 {
		node.member.view = f.store.state.Snapshot()
	}
	if f.rng.Intn(3) == 0 {
		node.step(context.Background())
		return
	}
	for len(node.calls) > 0 && f.rng.Intn(4) > 0 {
		i := f.rng.Intn(len(node.calls))
		call := node.calls[i]
		node.calls = slices.Delete(node.calls, i, i+1)
		call()
	}
}

// epoch returns the epoch of a partition in the store, or 0 if the partition does not exist.
func (f *fleet) epoch(key string) uint64 {
	if entry, ok := f.store.state.Snapshot().Get(PartitionTable, key); ok {
		return entry.Version
	}
	return 0
}

// owns reports whether a node believes that it owns a partition.
func (n *testNode) owns(key string) bool {
	_, owned := n.manager.Epoch(key)
	return owned
}
