package store

import (
	"strconv"
	"strings"
	"time"
)

// Status describes a member for operators.
type Status struct {
	Name      string            `json:"name"`
	State     string            `json:"state"`
	Leader    string            `json:"leader"`
	Term      uint64            `json:"term"`
	Applied   uint64            `json:"applied"`
	Last      uint64            `json:"last"`
	Contact   float64           `json:"lastContactSeconds"` // since the last contact with the leader, -1 if none
	Stale     bool              `json:"stale"`              // no leader is known: reads may be stale
	Tables    map[string][2]int `json:"tables"`             // values, bytes
	Snapshots uint64            `json:"snapshotIndex"`
	Votes     string            `json:"votes"`
	Disk      string            `json:"disk"`
}

// Status returns the status of this member.
func (s *Store) Status() Status {
	v := s.fsm.view()
	addr, leader := s.raft.LeaderWithID()
	stats := s.raft.Stats()
	term, _ := strconv.ParseUint(stats["term"], 10, 64)
	snap, _ := strconv.ParseUint(stats["last_snapshot_index"], 10, 64)
	out := Status{
		Name:      s.cfg.Name,
		State:     strings.ToLower(s.raft.State().String()),
		Leader:    string(leader),
		Term:      term,
		Applied:   s.raft.AppliedIndex(),
		Last:      s.raft.LastIndex(),
		Contact:   -1,
		Stale:     addr == "",
		Tables:    v.Tables(),
		Snapshots: snap,
		Votes:     s.voteStatus(),
		Disk:      s.disk.status(),
	}
	if at := s.raft.LastContact(); !at.IsZero() {
		out.Contact = time.Since(at).Seconds()
	}
	if s.IsLeader() {
		out.Contact = 0
	}
	return out
}
