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

// guard stands between raft and its transport. It holds this member's votes to what it may have forgotten (package membership,
// Recall), those that it asks for included, and it keeps a leader whose disk does not answer from telling the others that it
// leads: raft writes to its own log in the loop that would give up the lead, and its heartbeats go on beside it.
type guard struct {
	*raft.NetworkTransport
	disk         *disk
	maxWriteTime time.Duration // that a write may take while this member leads
	calls        chan raft.RPC

	mu       sync.Mutex
	complete bool
	floor    membership.VoteFloor
}

// errVote says why a vote is not asked for, or not given.
var errVote = &VoteError{}

func newGuard(t *raft.NetworkTransport, d *disk, most time.Duration) *guard {
	return &guard{NetworkTransport: t, disk: d, maxWriteTime: most, calls: make(chan raft.RPC)}
}

// Consumer gives raft the calls of the others that it may see.
func (g *guard) Consumer() <-chan raft.RPC { return g.calls }

// run hands calls on until the context ends.
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

// rejectVote answers a call for a vote that may not be given.
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

// assessment tells how this member's votes stand.
func (g *guard) assessment() (sure bool, floor membership.VoteFloor) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.complete, g.floor
}

// RequestVote asks for a vote, as one that has all that it may have forgotten would.
func (g *guard) RequestVote(id raft.ServerID, to raft.ServerAddress, req *raft.RequestVoteRequest, resp *raft.RequestVoteResponse) error {
	if !g.mayVote(req.Term, req.LastLogTerm, req.LastLogIndex) {
		return errVote
	}
	return g.NetworkTransport.RequestVote(id, to, req, resp)
}

// RequestPreVote likewise.
func (g *guard) RequestPreVote(id raft.ServerID, to raft.ServerAddress, req *raft.RequestPreVoteRequest, resp *raft.RequestPreVoteResponse) error {
	if !g.mayVote(req.Term, req.LastLogTerm, req.LastLogIndex) {
		return errVote
	}
	return g.NetworkTransport.RequestPreVote(id, to, req, resp)
}

// checkDisk is why nothing is told to the others, if the disk does not answer.
func (g *guard) checkDisk() error {
	if g.disk.abandoned.Load() {
		return &StalledError{}
	}
	if d, _ := g.disk.stalled(); d > g.maxWriteTime && failpoint.Without != failpoint.Stalled {
		return &StalledError{d}
	}
	return nil
}

// AppendEntries tells another member what was written, and that this one leads.
func (g *guard) AppendEntries(id raft.ServerID, to raft.ServerAddress, req *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) error {
	if err := g.checkDisk(); err != nil {
		return err
	}
	return g.NetworkTransport.AppendEntries(id, to, req, resp)
}

// AppendEntriesPipeline likewise, many at a time.
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

// AppendEntries adds a call.
func (p *pipeline) AppendEntries(req *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) (raft.AppendFuture, error) {
	if err := p.g.checkDisk(); err != nil {
		return nil, err
	}
	return p.AppendPipeline.AppendEntries(req, resp)
}

// InstallSnapshot sends one.
func (g *guard) InstallSnapshot(id raft.ServerID, to raft.ServerAddress, req *raft.InstallSnapshotRequest, resp *raft.InstallSnapshotResponse, data io.Reader) error {
	if err := g.checkDisk(); err != nil {
		return err
	}
	return g.NetworkTransport.InstallSnapshot(id, to, req, resp, data)
}

// assess finds out, for a member that held something when it was opened, whether it may have forgotten. Until that is known it
// gives no vote.
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
		if !r.Complete { // no mark makes it needless to ask
			r = membership.Assess(s.folderAtStart, s.watermarkAtStart, all, s.askProgress(ctx, at))
		}
		s.guard.setAssessment(r)
		if r.Regressed && said == "" {
			s.log.Warn("store member lost acknowledged entries, restricting its votes", "last", s.folderAtStart.Last,
				"acknowledged", r.Floor.Last, "voted_term", r.Floor.Term)
		}
		if r.Complete {
			if err := s.disk.watermark.arm(laterPosition(s.folderAtStart.Last, r.Floor.Last), max(s.folderAtStart.Term, r.Floor.Term)); err != nil {
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

// sleepHalfBeat waits for half a beat before something is tried again; false once it is no longer wanted.
func (s *Store) sleepHalfBeat(ctx context.Context) bool {
	select {
	case <-time.After(s.lim.StoreBeat / 2):
		return true
	case <-ctx.Done():
		return false
	}
}

// addressElsewhere is the address that the members have for this one, if it is another than it listens at.
func (s *Store) addressElsewhere() string {
	all, _ := s.Members()
	for _, x := range all {
		if x.Name == s.cfg.Name && x.Address != s.cfg.Listen {
			return x.Address
		}
	}
	return ""
}

// askProgress asks the others where they stand.
func (s *Store) askProgress(ctx context.Context, at map[string]string) map[string]membership.Progress {
	out := map[string]membership.Progress{}
	for name, a := range s.askWitnesses(ctx, at) {
		out[name] = a.Progress
	}
	return out
}

// addresses are those of all members that the folder or the file names, this one's included.
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

// progress is where this member stands.
func (s *Store) progress() membership.Progress {
	last, term := s.disk.lastPosition()
	return membership.Progress{Last: last, Term: term}
}

// end is how far the log on the disk goes, snapshots included, and the last term in which a vote may have been given.
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

// voteStatus tells operators how this member's vote stands.
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

// status tells them how the disk does.
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
