package measure

import (
	"fmt"
	"io"
	"runtime"

	"gatetack/internal/kv"
	"gatetack/internal/limits"
)

// stateMachine is the store's state machine alone, without a log, with the records of so many tasks that run.
type stateMachine struct {
	state *kv.State
	index uint64
	value int
	first int // the oldest task that runs
	next  int // the number of the next one
}

// newStateMachine makes one whose bounds are the store's, but for how much a table may hold.
func newStateMachine(tasks, value int) (*stateMachine, error) {
	lim := limits.New(0, 0, 0, 0, 0)
	s := &stateMachine{value: value,
		state: kv.New(kv.Bounds{History: 8, Key: 512, Value: lim.StoreBodyBytes, Ops: 256, Results: 8192})}
	for range tasks {
		if err := s.begin(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// apply makes a transaction under the duty's epoch.
func (s *stateMachine) apply(ops ...kv.Op) error {
	s.index++
	result := s.state.Apply(s.index, &kv.Txn{At: int64(s.index), ID: fmt.Sprintf("measured-%012d", s.index), Ops: ops})
	if !result.OK() {
		return fmt.Errorf("measure: a transaction was refused: %+v", result)
	}
	return nil
}

func taskKey(n int) string { return fmt.Sprintf("measured.0000019abcde.%012x", n) }

func (s *stateMachine) record(key string, keep bool) kv.Op {
	return kv.Op{Verb: kv.Put, Table: recordsTable, Key: key, Value: make([]byte, s.value), Keep: keep}
}

func put(table, key, value string) kv.Op {
	return kv.Op{Verb: kv.Put, Table: table, Key: key, Value: []byte(value), Keep: true}
}

// begin writes what stands of a task that runs: its submission, its intent and its start.
func (s *stateMachine) begin() error {
	key := taskKey(s.next)
	s.next++
	if err := s.apply(s.record(key, true), put(openTable, key, key)); err != nil {
		return err
	}
	if err := s.apply(s.record(key, true), put(openTable, key, key), put(sentTable, key, key)); err != nil {
		return err
	}
	return s.apply(s.record(key, true), put(openTable, key, key), put(sentTable, key, key))
}

// end writes the end of the oldest task, and lets its record go as the store's bound does.
func (s *stateMachine) end() error {
	key := taskKey(s.first)
	s.first++
	if err := s.apply(s.record(key, false), kv.Op{Verb: kv.Delete, Table: openTable, Key: key}, kv.Op{Verb: kv.Delete, Table: sentTable, Key: key}); err != nil {
		return err
	}
	return s.apply(kv.Op{Verb: kv.Delete, Table: recordsTable, Key: key})
}

// StateMachineCost is what the state machine takes.
type StateMachineCost struct {
	MicrosPerTask  float64 // of processor time, for all writes of one task
	BytesPerState  float64 // of memory
	SnapshotMillis float64 // of processor time, for one snapshot
}

// StateMachineAt measures the state machine with so many tasks that run, each with a record of so many bytes.
func StateMachineAt(tasks, value int) (StateMachineCost, error) {
	empty := heapBytes()
	s, err := newStateMachine(tasks, value)
	if err != nil {
		return StateMachineCost{}, err
	}
	cost := StateMachineCost{BytesPerState: float64(heapBytes()) - float64(empty)}
	const tasksPerRound = 50
	used, err := perOperation(func() error {
		for range tasksPerRound {
			if err := s.begin(); err != nil {
				return err
			}
			if err := s.end(); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return cost, err
	}
	cost.MicrosPerTask = used.Seconds() * 1e6 / tasksPerRound
	used, err = perOperation(func() error { return s.state.Snapshot().Write(io.Discard) })
	cost.SnapshotMillis = used.Seconds() * 1e3
	runtime.KeepAlive(s)
	return cost, err
}
