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

// fleetStore is the store as one owner sees it: the leases and duties of all nodes, which stand still but for the owner's own.
type fleetStore struct {
	mu    sync.Mutex
	state *kv.State
	index uint64
	views int // how often it was looked at
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

var errNotUsed = errors.New("measure: the owner's loop needs none of this")

func (s *fleetStore) Write(context.Context, ...jobstore.Change) error { return errNotUsed }
func (s *fleetStore) Get(context.Context, string, string) ([]byte, bool, error) {
	return nil, false, errNotUsed
}
func (s *fleetStore) Page(context.Context, string, string, int) ([]jobstore.Row, error) {
	return nil, errNotUsed
}

// noJobs is a batch front without jobs on record.
type noJobs struct{}

func (noJobs) OpenPartitions(context.Context, string) ([]string, error) { return nil, nil }
func (noJobs) Adopt(context.Context, string) (int, error)               { return 0, nil }
func (noJobs) Drop(string)                                              {}
func (noJobs) SetIncarnationStart(int64)                                {}
func (noJobs) HasRecords(_ context.Context, _ string) (bool, error)     { return false, nil }

// DutyCost is what the owner's loop costs one node.
type DutyCost struct {
	MicrosPerStep float64 // of processor time; it steps thirty times a lease
	WritesPerTerm float64 // to the store, for each time of a lease
}

const (
	stepsPerLease = 30
	dutyLease     = 300 * time.Millisecond // a tenth of the lease in force, so that a second shows enough steps
	dutySpan      = 1500 * time.Millisecond
)

// DutySteps measures the owner's loop of one node among others, each with a lease and one duty.
func DutySteps(nodes int) (DutyCost, error) {
	s := &fleetStore{state: kv.New(kv.Bounds{Key: 512, Value: 1 << 16, Ops: 256, Results: 8192})}
	for i := range nodes - 1 {
		life := lease.Incarnation{Node: fmt.Sprintf("node-%d", i+1), StartedMs: int64(1 + i)}
		record, err := json.Marshal(map[string]any{"born": life.StartedMs, "addr": "10.0.0.1:8443"})
		if err != nil {
			return DutyCost{}, err
		}
		held, err := json.Marshal(life)
		if err != nil {
			return DutyCost{}, err
		}
		if _, err := s.Txn(context.Background(), &kv.Txn{Ops: []kv.Op{
			{Verb: kv.Put, Table: leaseholder.LeaseTable, Key: life.Node, Value: record, Keep: true},
			{Verb: kv.Put, Table: leaseholder.PartitionTable, Key: life.PartitionKey(), Value: held, Keep: true}}}); err != nil {
			return DutyCost{}, err
		}
	}
	lim := limits.New(0, 0, 0, 0, 0)
	lim.LeaseTTL = dutyLease
	o, err := leaseholder.New(s, lease.Incarnation{Node: "node-0", StartedMs: 1}, "10.0.0.1:8443", lim, slog.New(slog.DiscardHandler))
	if err != nil {
		return DutyCost{}, err
	}
	o.Connect(noJobs{}, nil)
	return s.loop(o)
}

// loop runs the owner for a while and counts.
func (s *fleetStore) loop(o *leaseholder.Holder) (DutyCost, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dutySpan+dutyLease)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- o.Run(ctx) }()
	time.Sleep(dutyLease) // it has its lease and its own duty by then
	views, txns := s.counts()
	used := processorTime()
	err := <-done
	used = processorTime() - used
	viewsAfter, txnsAfter := s.counts()
	steps := float64(viewsAfter - views)
	if steps < stepsPerLease {
		return DutyCost{}, fmt.Errorf("measure: the owner's loop made %v steps, expected %d at least", steps, stepsPerLease)
	}
	return DutyCost{MicrosPerStep: used.Seconds() * 1e6 / steps, WritesPerTerm: float64(txnsAfter-txns) * stepsPerLease / steps}, err
}

func (s *fleetStore) counts() (views, txns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.views, s.txns
}
