package store

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"gatetack/internal/failpoint"
	"gatetack/internal/membership"
)

// guard is raft's transport. It restricts the votes that this member gives and asks for to what package membership
// allows (Assess), and it stops the messages of a leader whose disk does not answer: raft writes to its own log in the
// loop that would step down, and its heartbeats go on beside it.
type guard struct {
	*raft.NetworkTransport
	disk         *disk
	maxWriteTime time.Duration // of a write, while this member leads
	calls        chan raft.RPC

	mu       sync.Mutex
	complete bool
	floor    membership.VoteFloor
}

// errVote reports why a vote is not asked for, or not given.
var errVote = &VoteError{}

func newGuard(t *raft.NetworkTransport, d *disk, most time.Duration) *guard {
	return &guard{NetworkTransport: t, disk: d, maxWriteTime: most, calls: make(chan raft.RPC)}
}

// Consumer returns the calls of other members that raft may see.
func (g *guard) Consumer() <-chan raft.RPC { return g.calls }

// run forwards calls until the context ends.
func (g *guard) run(ctx context.Context) {
	for {
		select {
		case rpc := <-g.NetworkTransport.Consumer():
			if g.rejectVote(rpc) {
				continue
			}
			select {
			case g.calls <- rpc:
			case <-ctx.Done():
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// rejectVote answers a request for a vote that must not be given, and reports whether it did.
func (g *guard) rejectVote(rpc raft.RPC) bool {
	head := raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax}
	switch c := rpc.Command.(type) {
	case *raft.RequestVoteRequest:
		if !g.mayVote(c.Term, c.LastLogTerm, c.LastLogIndex) {
			rpc.Respond(&raft.RequestVoteResponse{RPCHeader: head}, nil)
			return true
		}
	case *raft.RequestPreVoteRequest:
		if !g.mayVote(c.Term, c.LastLogTerm, c.LastLogIndex) {
			rpc.Respond(&raft.RequestPreVoteResponse{RPCHeader: head}, nil)
			return true
		}
	}
	return false
}

func (g *guard) mayVote(term, lastTerm, lastIndex uint64) bool {
	if failpoint.Without == failpoint.Floor {
		return true
	}
	if g.disk.abandoned.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.complete && g.floor.Allows(term, membership.Position{Term: lastTerm, Index: lastIndex})
}

func (g *guard) setAssessment(r membership.Assessment) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.complete, g.floor = r.Complete, r.Floor
}

// assessment returns what this member's votes are restricted to.
func (g *guard) assessment() (complete bool, floor membership.VoteFloor) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.complete, g.floor
}

// RequestVote asks for a vote, unless this member may have lost more than it has.
func (g *guard) RequestVote(
	id raft.ServerID,
	to raft.ServerAddress,
	req *raft.RequestVoteRequest,
	resp *raft.RequestVoteResponse,
) error {
	if !g.mayVote(req.Term, req.LastLogTerm, req.LastLogIndex) {
		return errVote
	}
	return g.NetworkTransport.RequestVote(id, to, req, resp)
}

// RequestPreVote asks for a pre-vote under the same restriction.
func (g *guard) RequestPreVote(
	id raft.ServerID,
	to raft.ServerAddress,
	req *raft.RequestPreVoteRequest,
	resp *raft.RequestPreVoteResponse,
) error {
	if !g.mayVote(req.Term, req.LastLogTerm, req.LastLogIndex) {
		return errVote
	}
	return g.NetworkTransport.RequestPreVote(id, to, req, resp)
}

// checkDisk returns an error if the disk does not answer: other members are then told nothing.
func (g *guard) checkDisk() error {
	if g.disk.abandoned.Load() {
		return &StalledError{}
	}
	if d, _ := g.disk.stalled(); d > g.maxWriteTime && failpoint.Without != failpoint.Stalled {
		return &StalledError{d}
	}
	return nil
}

// AppendEntries sends entries and heartbeats.
func (g *guard) AppendEntries(
	id raft.ServerID,
	to raft.ServerAddress,
	req *raft.AppendEntriesRequest,
	resp *raft.AppendEntriesResponse,
) error {
	if err := g.checkDisk(); err != nil {
		return err
	}
	return g.NetworkTransport.AppendEntries(id, to, req, resp)
}

// AppendEntriesPipeline sends entries without waiting for each response.
func (g *guard) AppendEntriesPipeline(id raft.ServerID, to raft.ServerAddress) (raft.AppendPipeline, error) {
	if err := g.checkDisk(); err != nil {
		return nil, err
	}
	p, err := g.NetworkTransport.AppendEntriesPipeline(id, to)
	if err != nil {
		return nil, err
	}
	return &pipeline{p, g}, nil
}

type pipeline struct {
	raft.AppendPipeline
	g *guard
}

// AppendEntries adds a call to the pipeline.
func (p *pipeline) AppendEntries(
	req *raft.AppendEntriesRequest,
	resp *raft.AppendEntriesResponse,
) (raft.AppendFuture, error) {
	if err := p.g.checkDisk(); err != nil {
		return nil, err
	}
	return p.AppendPipeline.AppendEntries(req, resp)
}

// InstallSnapshot sends a snapshot.
func (g *guard) InstallSnapshot(
	id raft.ServerID,
	to raft.ServerAddress,
	req *raft.InstallSnapshotRequest,
	resp *raft.InstallSnapshotResponse,
	data io.Reader,
) error {
	if err := g.checkDisk(); err != nil {
		return err
	}
	return g.NetworkTransport.InstallSnapshot(id, to, req, resp, data)
}

// assess finds out whether this member, whose folder was not empty, may have lost what it acknowledged. Until that is
// known it does not vote.
func (s *Store) assess(ctx context.Context) {
	for said := false; s.addressElsewhere() != ""; said = true {
		if !said {
			s.log.Warn("store member known at another address, not voting; its folder may be a copy",
				"listen", s.cfg.Listen, "known", s.addressElsewhere(), "do", "stop the other process, or set store.join")
		}
		if !s.sleepHalfBeat(ctx) {
			return
		}
	}
	for said := ""; ; {
		at := s.addresses()
		all := slices.Sorted(maps.Keys(at))
		r := membership.Assess(s.folderAtStart, s.watermarkAtStart, all, nil)
		if !r.Complete { // the watermark does not suffice
			r = membership.Assess(s.folderAtStart, s.watermarkAtStart, all, s.askProgress(ctx, at))
		}
		s.guard.setAssessment(r)
		if r.Regressed && said == "" {
			s.log.Warn("store member lost acknowledged entries, restricting its votes", "last", s.folderAtStart.Last,
				"acknowledged", r.Floor.Last, "voted_term", r.Floor.Term)
		}
		if r.Complete {
			if err := s.disk.watermark.arm(
				laterPosition(s.folderAtStart.Last, r.Floor.Last),
				max(s.folderAtStart.Term, r.Floor.Term),
			); err != nil {
				s.log.Warn("store watermark not written", "err", err)
			}
			if len(r.Missing) == 0 && !r.Regressed {
				s.log.Debug("store member may vote", "last", s.folderAtStart.Last, "floor", r.Floor.Last)
			}
			return
		}
		if text := fmt.Sprint(r.Missing); text != said {
			said = text
			s.log.Info("store member not voting, waiting for the positions of others", "missing", r.Missing)
		}
		if !s.sleepHalfBeat(ctx) {
			return
		}
	}
}

// sleepHalfBeat waits before another attempt. It returns false when the context ends.
func (s *Store) sleepHalfBeat(ctx context.Context) bool {
	select {
	case <-time.After(s.lim.StoreElectionTimeout / 2):
		return true
	case <-ctx.Done():
		return false
	}
}

// addressElsewhere returns the address under which the members know this one, empty if it is the one that it listens
// at.
func (s *Store) addressElsewhere() string {
	all, _ := s.Members()
	for _, x := range all {
		if x.Name == s.cfg.Name && x.Address != s.cfg.Listen {
			return x.Address
		}
	}
	return ""
}

// askProgress gets the positions of the other members.
func (s *Store) askProgress(ctx context.Context, at map[string]string) map[string]membership.Progress {
	out := map[string]membership.Progress{}
	for name, a := range s.askWitnesses(ctx, at) {
		out[name] = a.Progress
	}
	return out
}

// addresses returns the addresses of all members that the folder or the configuration names, with this one's.
func (s *Store) addresses() map[string]string {
	out := maps.Clone(s.cfg.Members)
	if out == nil {
		out = map[string]string{}
	}
	all, _ := s.Members()
	for _, x := range all {
		out[x.Name] = x.Address
	}
	return out
}

// progress returns the position of this member.
func (s *Store) progress() membership.Progress {
	last, term := s.disk.lastPosition()
	return membership.Progress{Last: last, Term: term}
}

// lastPosition returns the end of the log, snapshots included, and the last term in which a vote may have been given.
func (d *disk) lastPosition() (last membership.Position, term uint64) {
	if index, err := d.LastIndex(); err == nil && index > 0 {
		var l raft.Log
		if d.GetLog(index, &l) == nil {
			last = membership.Position{Term: l.Term, Index: l.Index}
		}
	}
	if metas, err := d.List(); err == nil {
		for _, m := range metas {
			if p := (membership.Position{Term: m.Term, Index: m.Index}); last.Less(p) {
				last = p
			}
		}
	}
	for _, key := range []string{"CurrentTerm", "LastVoteTerm"} {
		if t, err := d.GetUint64([]byte(key)); err == nil {
			term = max(term, t)
		}
	}
	return last, term
}

func laterPosition(p, q membership.Position) membership.Position {
	if p.Less(q) {
		return q
	}
	return p
}

// voteStatus describes this member's votes for operators.
func (s *Store) voteStatus() string {
	sure, floor := s.guard.assessment()
	last, _ := s.disk.lastPosition()
	switch {
	case !sure:
		return "gives none yet: it asks others where they stand"
	case last.Less(floor.Last):
		return "for who has " + floor.Last.String() + ": it had acknowledged that, and has " + last.String()
	}
	return "as any"
}

// status describes the disk for operators.
func (d *disk) status() string {
	wait, err := d.stalled()
	switch {
	case wait > 100*time.Millisecond:
		return "no answer for " + wait.Round(100*time.Millisecond).String()
	case err != nil:
		return err.Error()
	}
	return "answers"
}
