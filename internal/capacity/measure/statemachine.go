package measure

import (
	"fmt"
	"io"
	"runtime"

	"gatetack/internal/kv"
	"gatetack/internal/limits"
)

// stateMachine is the state machine of the store without a log, with the records of the running tasks.
type stateMachine struct {
	state      *kv.State
	index      uint64
	valueBytes int
	oldest     int // number of the oldest running task
	next       int // number of the next task
}

// newStateMachine returns a state machine with the bounds of the store, except for the size of a table.
func newStateMachine(tasks, valueBytes int) (*stateMachine, error) {
	lim := limits.New(0, 0, 0, 0, 0)
	s := &stateMachine{valueBytes: valueBytes,
		state: kv.New(kv.Bounds{History: 8, Key: 512, Value: lim.StoreBodyBytes, Ops: 256, Results: 8192})}
	for range tasks {
		if err := s.startTask(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// apply applies a transaction.
func (s *stateMachine) apply(ops ...kv.Op) error {
	s.index++
	result := s.state.Apply(s.index, &kv.Txn{At: int64(s.index), ID: fmt.Sprintf("measured-%012d", s.index), Ops: ops})
	if !result.OK() {
		return fmt.Errorf("measure: transaction failed: %+v", result)
	}
	return nil
}

func taskKey(n int) string { return fmt.Sprintf("measured.0000019abcde.%012x", n) }

func (s *stateMachine) putRecord(key string, keep bool) kv.Op {
	return kv.Op{Verb: kv.Put, Table: recordsTable, Key: key, Value: make([]byte, s.valueBytes), Keep: keep}
}

func put(table, key, value string) kv.Op {
	return kv.Op{Verb: kv.Put, Table: table, Key: key, Value: []byte(value), Keep: true}
}

// startTask makes the writes of a task up to its start: its submission, its intent and its start.
func (s *stateMachine) startTask() error {
	key := taskKey(s.next)
	s.next++
	if err := s.apply(s.putRecord(key, true), put(openTable, key, key)); err != nil {
		return err
	}
	if err := s.apply(s.putRecord(key, true), put(openTable, key, key), put(sentTable, key, key)); err != nil {
		return err
	}
	return s.apply(s.putRecord(key, true), put(openTable, key, key), put(sentTable, key, key))
}

// endTask writes the end of the oldest task and deletes its record, as the store does at its limit of ended records.
func (s *stateMachine) endTask() error {
	key := taskKey(s.oldest)
	s.oldest++
	if err := s.apply(s.putRecord(key, false), kv.Op{Verb: kv.Delete, Table: openTable, Key: key}, kv.Op{Verb: kv.Delete, Table: sentTable, Key: key}); err != nil {
		return err
	}
	return s.apply(kv.Op{Verb: kv.Delete, Table: recordsTable, Key: key})
}

// StateMachineCost is the cost of the state machine.
type StateMachineCost struct {
	MicrosPerTask  float64 // processor time of all writes of one task
	BytesPerState  float64 // live memory
	SnapshotMillis float64 // processor time of one snapshot
}

// StateMachineAt measures the state machine with the given number of running tasks and bytes per record.
func StateMachineAt(tasks, valueBytes int) (StateMachineCost, error) {
	empty := heapBytes()
	s, err := newStateMachine(tasks, valueBytes)
	if err != nil {
		return StateMachineCost{}, err
	}
	cost := StateMachineCost{BytesPerState: float64(heapBytes()) - float64(empty)}
	const tasksPerRound = 50
	used, err := perOperation(func() error {
		for range tasksPerRound {
			if err := s.startTask(); err != nil {
				return err
			}
			if err := s.endTask(); err != nil {
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
