package store

import (
	"github.com/hashicorp/raft"

	"gatetack/internal/kv"
)

// Recovered returns the state that this member's folder holds: its applied state, followed by the entries of its log.
// The last of them may not be committed, because a member learns from the leader alone which are. A restarted member
// that has no leader can read from it what it knew before.
func (s *Store) Recovered() *kv.View {
	state := s.fsm.view().Fork(stateBounds(s.lim))
	first, err := s.disk.FirstIndex()
	if err != nil {
		return state.Snapshot()
	}
	last, err := s.disk.LastIndex()
	if err != nil {
		return state.Snapshot()
	}
	for index := max(first, state.Snapshot().Index()+1); first > 0 && index <= last; index++ {
		var entry raft.Log
		if s.disk.GetLog(index, &entry) != nil {
			break // moved into a snapshot meanwhile, or damaged: what was read so far is returned
		}
		if entry.Type != raft.LogCommand {
			continue
		}
		if txn, err := decodeTxn(entry.Data); err == nil {
			state.Apply(entry.Index, txn)
		}
	}
	return state.Snapshot()
}
