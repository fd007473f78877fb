package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
	"gatetack/internal/lease"
	"gatetack/internal/leaseholder"
	"gatetack/internal/limits"
)

// fleetStore is an in-memory store with the leases and partitions of all nodes. Only the measured node changes its own.
type fleetStore struct {
	mu    sync.Mutex
	state *kv.State
	index uint64
	views int // number of View calls
	txns  int
}

func (s *fleetStore) Txn(_ context.Context, t *kv.Txn) (*kv.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txns++
	s.index++
	t.At = int64(s.index)
	result := s.state.Apply(s.index, t)
	return &result, nil
}

func (s *fleetStore) View() *kv.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views++
	return s.state.Snapshot()
}

func (s *fleetStore) Local(kind, key string) ([]byte, bool) {
	e, ok := s.View().Get(kind, key)
	if !ok {
		return nil, false
	}
	return e.Value, true
}

var errNotUsed = errors.New("measure: operation is not used by the leaseholder loop")

func (s *fleetStore) Write(context.Context, ...jobstore.Change) error { return errNotUsed }
func (s *fleetStore) Get(context.Context, string, string) ([]byte, bool, error) {
	return nil, false, errNotUsed
}
func (s *fleetStore) Page(context.Context, string, string, int) ([]jobstore.Row, error) {
	return nil, errNotUsed
}

// noJobs is a batch front without recorded jobs.
type noJobs struct{}

func (noJobs) OpenPartitions(context.Context, string) ([]string, error) { return nil, nil }
func (noJobs) Adopt(context.Context, string) (int, error)               { return 0, nil }
func (noJobs) Drop(string)                                              {}
func (noJobs) SetIncarnationStart(int64)                                {}
func (noJobs) HasRecords(_ context.Context, _ string) (bool, error)     { return false, nil }

// LeaseCost is the cost of the leaseholder loop on one node.
type LeaseCost struct {
	MicrosPerStep  float64 // processor time; the loop makes 30 steps per lease TTL
	WritesPerLease float64 // writes to the store per lease TTL
}

const (
	stepsPerLease = 30
	leaseTTL      = 300 * time.Millisecond // a tenth of the default TTL, so that a second contains enough steps
	leaseSpan     = 1500 * time.Millisecond
)

// LeaseSteps measures the leaseholder loop of one node in a fleet where each node has a lease and owns one partition.
func LeaseSteps(nodes int) (LeaseCost, error) {
	s := &fleetStore{state: kv.New(kv.Bounds{Key: 512, Value: 1 << 16, Ops: 256, Results: 8192})}
	for i := range nodes - 1 {
		incarnation := lease.Incarnation{Node: fmt.Sprintf("node-%d", i+1), StartedMs: int64(1 + i)}
		record, err := json.Marshal(map[string]any{"born": incarnation.StartedMs, "addr": "10.0.0.1:8443"})
		if err != nil {
			return LeaseCost{}, err
		}
		owner, err := json.Marshal(incarnation)
		if err != nil {
			return LeaseCost{}, err
		}
		if _, err := s.Txn(context.Background(), &kv.Txn{Ops: []kv.Op{
			{Verb: kv.Put, Table: leaseholder.LeaseTable, Key: incarnation.Node, Value: record, Keep: true},
			{Verb: kv.Put, Table: leaseholder.PartitionTable, Key: incarnation.PartitionKey(), Value: owner, Keep: true}}}); err != nil {
			return LeaseCost{}, err
		}
	}
	lim := limits.New(0, 0, 0, 0, 0)
	lim.LeaseTTL = leaseTTL
	o, err := leaseholder.New(s, lease.Incarnation{Node: "node-0", StartedMs: 1}, "10.0.0.1:8443", lim, slog.New(slog.DiscardHandler))
	if err != nil {
		return LeaseCost{}, err
	}
	o.Connect(noJobs{}, nil)
	return s.loop(o)
}

// loop runs the leaseholder for leaseSpan and measures its steps.
func (s *fleetStore) loop(o *leaseholder.Holder) (LeaseCost, error) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseSpan+leaseTTL)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- o.Run(ctx) }()
	time.Sleep(leaseTTL) // by then the node has its lease and owns its partition
	views, txns := s.counts()
	used := processorTime()
	err := <-done
	used = processorTime() - used
	viewsAfter, txnsAfter := s.counts()
	steps := float64(viewsAfter - views)
	if steps < stepsPerLease {
		return LeaseCost{}, fmt.Errorf("measure: the leaseholder loop made %v steps, expected at least %d", steps, stepsPerLease)
	}
	return LeaseCost{MicrosPerStep: used.Seconds() * 1e6 / steps, WritesPerLease: float64(txnsAfter-txns) * stepsPerLease / steps}, err
}

func (s *fleetStore) counts() (views, txns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.views, s.txns
}
