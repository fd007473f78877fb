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

// guard is raft's transport. It restricts the votes that this member gives and requests to those that
// membership.Assess allows. It also stops the messages of a leader whose disk does not respond: raft writes to its log
// in the same loop that would step down, while heartbeats continue in other goroutines.
type guard struct {
	*raft.NetworkTransport
	disk         *disk
	maxWriteTime time.Duration // after this duration of a write, no messages are sent to other members
	calls        chan raft.RPC // calls of other members that are forwarded to raft

	mu       sync.Mutex
	complete bool
	floor    membership.VoteFloor
}

// errVoteWithheld is the error for a vote that is not requested.
var errVoteWithheld = &VoteError{}

func newGuard(t *raft.NetworkTransport, d *disk, maxWriteTime time.Duration) *guard {
	return &guard{NetworkTransport: t, disk: d, maxWriteTime: maxWriteTime, calls: make(chan raft.RPC)}
}

// Consumer returns the calls of other members that are forwarded to raft.
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

// rejectVote rejects a request for a vote that this member must not give. It returns true if it responded.
func (g *guard) rejectVote(rpc raft.RPC) bool {
	header := raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax}
	switch c := rpc.Command.(type) {
	case *raft.RequestVoteRequest:
		if !g.mayVote(c.Term, c.LastLogTerm, c.LastLogIndex) {
			rpc.Respond(&raft.RequestVoteResponse{RPCHeader: header}, nil)
			return true
		}
	case *raft.RequestPreVoteRequest:
		if !g.mayVote(c.Term, c.LastLogTerm, c.LastLogIndex) {
			rpc.Respond(&raft.RequestPreVoteResponse{RPCHeader: header}, nil)
			return true
		}
	}
	return false
}

// mayVote reports whether this member may vote, in a term, for a candidate whose log ends at a position.
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

// assessment returns whether the assessment of this member is complete, and its vote floor.
func (g *guard) assessment() (complete bool, floor membership.VoteFloor) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.complete, g.floor
}

// RequestVote requests a vote, unless the log of this member ends before its own vote floor.
func (g *guard) RequestVote(
	id raft.ServerID,
	to raft.ServerAddress,
	req *raft.RequestVoteRequest,
	resp *raft.RequestVoteResponse,
) error {
	if !g.mayVote(req.Term, req.LastLogTerm, req.LastLogIndex) {
		return errVoteWithheld
	}
	return g.NetworkTransport.RequestVote(id, to, req, resp)
}

// RequestPreVote requests a pre-vote under the same restriction.
func (g *guard) RequestPreVote(
	id raft.ServerID,
	to raft.ServerAddress,
	req *raft.RequestPreVoteRequest,
	resp *raft.RequestPreVoteResponse,
) error {
	if !g.mayVote(req.Term, req.LastLogTerm, req.LastLogIndex) {
		return errVoteWithheld
	}
	return g.NetworkTransport.RequestPreVote(id, to, req, resp)
}

// checkDisk returns an error if the disk does not respond, in which case no messages are sent to other members.
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

// AppendEntriesPipeline opens a pipeline that sends entries without waiting for each response.
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

// pipeline checks the disk before each call.
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

// assess determines whether this member, whose folder was not empty, may have lost acknowledged entries. Until that is
// known it does not vote.
func (s *Store) assess(ctx context.Context) {
	for logged := false; s.otherAddress() != ""; logged = true {
		if !logged {
			s.log.Warn("store member known at another address, not voting; its folder may be a copy",
				"listen", s.cfg.Listen, "known", s.otherAddress(), "do", "stop the other process, or set store.join")
		}
		if !s.sleepBeforeRetry(ctx) {
			return
		}
	}
	for loggedMissing := ""; ; {
		addresses := s.addresses()
		all := slices.Sorted(maps.Keys(addresses))
		r := membership.Assess(s.folderAtStart, s.watermarkAtStart, all, nil)
		if !r.Complete { // there is no usable watermark
			r = membership.Assess(s.folderAtStart, s.watermarkAtStart, all, s.askProgress(ctx, addresses))
		}
		s.guard.setAssessment(r)
		if r.Regressed && loggedMissing == "" {
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
		if text := fmt.Sprint(r.Missing); text != loggedMissing {
			loggedMissing = text
			s.log.Info("store member not voting, waiting for the positions of others", "missing", r.Missing)
		}
		if !s.sleepBeforeRetry(ctx) {
			return
		}
	}
}

// sleepBeforeRetry waits for half of the election timeout. It returns false if the context ends.
func (s *Store) sleepBeforeRetry(ctx context.Context) bool {
	select {
	case <-time.After(s.lim.StoreElectionTimeout / 2):
		return true
	case <-ctx.Done():
		return false
	}
}

// otherAddress returns the address of this member in the configuration of the store, or an empty string if that is the
// address at which it listens.
func (s *Store) otherAddress() string {
	all, _ := s.Members()
	for _, x := range all {
		if x.Name == s.cfg.Name && x.Address != s.cfg.Listen {
			return x.Address
		}
	}
	return ""
}

// askProgress requests the progress of the other members. The result contains the answers by member.
func (s *Store) askProgress(ctx context.Context, addresses map[string]string) map[string]membership.Progress {
	out := map[string]membership.Progress{}
	for name, a := range s.askWitnesses(ctx, addresses) {
		out[name] = a.Progress
	}
	return out
}

// addresses returns the addresses, by name, of all members in the configuration of this node and in that of the store.
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

// progress returns the progress of this member.
func (s *Store) progress() membership.Progress {
	last, term := s.disk.lastPosition()
	return membership.Progress{Last: last, Term: term}
}

// lastPosition returns the later of the end of the log and the end of the snapshots, and the last term in which a vote
// may have been given.
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
	complete, floor := s.guard.assessment()
	last, _ := s.disk.lastPosition()
	switch {
	case !complete:
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
