package store

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
	"github.com/tidwall/gjson"

	"gatetack/internal/http1"
	"gatetack/internal/membership"
)

const (
	maxVoters   = 5  // each further voter makes writes wait for more disks
	maxVoterLag = 64 // maximum lag, in log entries, of a non-voter that becomes a voter
)

// observe tracks the members whose heartbeats fail while this member is the leader.
func (s *Store) observe(ctx context.Context) {
	observations := make(chan raft.Observation, 64)
	o := raft.NewObserver(observations, false, func(o *raft.Observation) bool {
		switch o.Data.(type) {
		case raft.FailedHeartbeatObservation, raft.ResumedHeartbeatObservation, raft.LeaderObservation:
			return true
		}
		return false
	})
	s.raft.RegisterObserver(o)
	defer s.raft.DeregisterObserver(o)
	for {
		select {
		case o := <-observations:
			s.mu.Lock()
			switch x := o.Data.(type) {
			case raft.FailedHeartbeatObservation:
				s.unresponsive[x.PeerID] = true
			case raft.ResumedHeartbeatObservation:
				delete(s.unresponsive, x.PeerID)
			case raft.LeaderObservation:
				clear(s.unresponsive)
			}
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// Members returns all members as this member knows them. Only the leader knows which of them are alive.
func (s *Store) Members() (membership.Cluster, error) {
	all, _, err := s.configuration()
	return all, err
}

// configuration returns the members and the index of raft's configuration that lists them.
func (s *Store) configuration() (membership.Cluster, uint64, error) {
	f := s.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, 0, err
	}
	_, leader := s.raft.LeaderWithID()
	s.mu.Lock()
	defer s.mu.Unlock()
	var all membership.Cluster
	for _, x := range f.Configuration().Servers {
		all = append(all, membership.Server{Name: string(x.ID), Address: string(x.Address), Voter: x.Suffrage == raft.Voter,
			Alive: !s.unresponsive[x.ID], Leader: x.ID == leader})
	}
	return all, f.Index(), nil
}

// handleChange decides about a requested change of the membership and applies it, on the leader. Changes are handled
// one at a time: two that are safe alone may cost the store its quorum together.
func (s *Store) handleChange(ctx context.Context, v gjson.Result) http1.Response {
	waiting, cancel := context.WithTimeout(ctx, s.lim.StoreCallTimeout)
	defer cancel()
	select {
	case s.memberChange <- struct{}{}:
		defer func() { <-s.memberChange }()
	case <-waiting.Done():
		return notAccepted(http1.Text(503, "another change of the members is in progress"))
	}
	all, index, err := s.configuration()
	if err != nil {
		return http1.Text(503, "%v", err)
	}
	x, err := s.decideChange(all, v)
	if err != nil {
		return http1.JSON(409, map[string]string{"error": err.Error()})
	}
	if x.Verb == membership.NoChange { // nothing is committed that would show that this member still leads
		if err := s.await(ctx, s.raft.VerifyLeader().Error); err != nil {
			return http1.Text(503, "%v", err)
		}
	}
	if err := s.applyChange(x, index); err != nil {
		return http1.Text(writeStatus(err), "%v", err)
	}
	if x.Verb != membership.NoChange {
		s.log.Info("store membership changed", "verb", v.Get("verb").String(), "name", x.Name, "address", x.Address)
	}
	if all, err = s.Members(); err != nil {
		return http1.Text(503, "%v", err)
	}
	return http1.JSON(200, all)
}

// decideChange decides about a requested change of the membership.
func (s *Store) decideChange(all membership.Cluster, v gjson.Result) (x membership.Change, err error) {
	name := v.Get("name").String()
	switch verb := v.Get("verb").String(); verb {
	case verbJoin:
		x, err = all.Join(name, v.Get("address").String(), v.Get("anew").Bool())
	case verbPromote:
		last := s.raft.LastIndex()
		x, err = all.Promote(name, last-min(last, v.Get("applied").Uint()), maxVoterLag, maxVoters)
	case "leave":
		x, err = all.Leave(name)
	case "remove":
		x, err = all.Remove(name, v.Get("force").Bool())
	default:
		err = fmt.Errorf("%q is none of join, promote, leave and remove", verb)
	}
	return x, err
}

// applyChange applies a change that was decided for the configuration at an index. Raft rejects it if the configuration
// has changed since.
func (s *Store) applyChange(x membership.Change, index uint64) error {
	id, addr, wait := raft.ServerID(x.Name), raft.ServerAddress(x.Address), s.lim.StoreCallTimeout
	defer func() { // earlier heartbeat failures concern another process
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.unresponsive, id)
	}()
	switch x.Verb {
	case membership.AddNonvoter:
		return s.raft.AddNonvoter(id, addr, index, wait).Error()
	case membership.AddVoter:
		return s.raft.AddVoter(id, addr, index, wait).Error()
	case membership.Remove:
		return s.raft.RemoveServer(id, index, wait).Error()
	case membership.Replace:
		removal := s.raft.RemoveServer(id, index, wait)
		if err := removal.Error(); err != nil {
			return err
		}
		if err := s.raft.AddNonvoter(id, addr, removal.Index(), wait).Error(); err != nil {
			return &PartialChangeError{x.Name, err}
		}
	}
	return nil
}

// requestChange sends a member a request to change the membership of this one.
func (s *Store) requestChange(ctx context.Context, to string, call map[string]any) (*http1.Message, error) {
	call["name"], call["address"] = s.cfg.Name, s.cfg.Listen
	body, _ := json.Marshal(call)
	ctx, cancel := context.WithTimeout(ctx, s.lim.StoreCallTimeout)
	defer cancel()
	return Call(ctx, to, "POST", "/v1/members", body, s.cfg.Keys, s.lim)
}

// Verbs of changes that a member requests for itself.
const (
	verbJoin    = "join"
	verbPromote = "promote"
)

// join requests that this member be added to the store of another one and, once it has caught up, become a voter. It
// repeats the requests until the leader lists this member as a voter or the context ends.
func (s *Store) join(ctx context.Context, to string) { s.requestVote(ctx, verbJoin, to) }

// resumePromotion requests a vote for a member that was restarted with its folder: it may have been added again without
// a vote before the restart.
func (s *Store) resumePromotion(ctx context.Context) { s.requestVote(ctx, verbPromote, "") }

// requestVote repeats requests for a vote until the leader lists this member as a voter or the context ends. This
// member's own copy of the configuration does not count, because it may come from a part of the log that is out of
// date. A join goes to the given member; a promotion goes to the leader, once it is known.
func (s *Store) requestVote(ctx context.Context, verb, to string) {
	first, rejectedLevel := verb, slog.LevelWarn
	for ctx.Err() == nil {
		if verb == verbPromote {
			leader, _ := s.raft.LeaderWithID()
			to = cmp.Or(string(leader), to)
		}
		self, err := s.requestOwnMembership(ctx, verb, to)
		switch {
		case err == nil && self.Voter:
			return
		case err == nil:
			verb = verbPromote
		case errors.Is(err, errChangeRejected):
			verb = first
			s.log.Log(ctx, rejectedLevel, "store join rejected", "by", to, "err", err)
			rejectedLevel = slog.LevelDebug
		case to != "":
			s.log.Info("store not joined yet", "by", to, "err", err)
		}
		select {
		case <-time.After(s.lim.StoreElectionTimeout):
		case <-ctx.Done():
		}
	}
}

// errChangeRejected is returned for a change of the membership that the leader rejects.
var errChangeRejected = errors.New("store: change of the members rejected")

// requestOwnMembership requests a change of the membership of this member and returns it as the leader lists it then.
func (s *Store) requestOwnMembership(ctx context.Context, verb, to string) (membership.Server, error) {
	if to == "" {
		return membership.Server{}, ErrNoLeader
	}
	m, err := s.requestChange(ctx, to, map[string]any{"verb": verb, "applied": s.raft.AppliedIndex()})
	if err != nil {
		return membership.Server{}, err
	}
	switch m.Status {
	case 200:
	case 409:
		return membership.Server{}, fmt.Errorf("%w: %s", errChangeRejected, m.Body)
	default:
		return membership.Server{}, fmt.Errorf("store: change of the members: %d: %s", m.Status, m.Body)
	}
	var all membership.Cluster
	if err := json.Unmarshal(m.Body, &all); err != nil {
		return membership.Server{}, err
	}
	self, ok := all.Find(s.cfg.Name)
	if !ok {
		return membership.Server{}, fmt.Errorf("%w: not listed", errChangeRejected)
	}
	return self, nil
}
