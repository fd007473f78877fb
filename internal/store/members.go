package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	f := s.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, err
	}
	_, leader := s.raft.LeaderWithID()
	s.mu.Lock()
	defer s.mu.Unlock()
	var all membership.Cluster
	for _, x := range f.Configuration().Servers {
		all = append(all, membership.Server{Name: string(x.ID), Address: string(x.Address), Voter: x.Suffrage == raft.Voter,
			Alive: !s.unresponsive[x.ID], Leader: x.ID == leader})
	}
	return all, nil
}

// handleChange decides about a requested change of the membership and applies it, on the leader.
func (s *Store) handleChange(v gjson.Result) http1.Response {
	all, err := s.Members()
	if err != nil {
		return http1.Text(503, "%v", err)
	}
	name := v.Get("name").String()
	var x membership.Change
	switch verb := v.Get("verb").String(); verb {
	case "join":
		x, err = all.Join(name, v.Get("address").String(), v.Get("anew").Bool())
	case "promote":
		last := s.raft.LastIndex()
		x, err = all.Promote(name, last-min(last, v.Get("applied").Uint()), maxVoterLag, maxVoters)
	case "leave":
		x, err = all.Leave(name)
	case "remove":
		x, err = all.Remove(name, v.Get("force").Bool())
	default:
		err = fmt.Errorf("%q is none of join, promote, leave and remove", verb)
	}
	if err != nil {
		return http1.JSON(409, map[string]string{"error": err.Error()})
	}
	if err := s.applyChange(x); err != nil {
		return http1.Text(503, "%v", err)
	}
	if x.Verb != membership.NoChange {
		s.log.Info("store membership changed", "verb", v.Get("verb").String(), "name", x.Name, "address", x.Address)
	}
	if all, err = s.Members(); err != nil {
		return http1.Text(503, "%v", err)
	}
	return http1.JSON(200, all)
}

func (s *Store) applyChange(x membership.Change) error {
	id, addr, wait := raft.ServerID(x.Name), raft.ServerAddress(x.Address), s.lim.StoreCallTimeout
	defer func() { // earlier heartbeat failures concern another process
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.unresponsive, id)
	}()
	switch x.Verb {
	case membership.AddNonvoter:
		return s.raft.AddNonvoter(id, addr, 0, wait).Error()
	case membership.AddVoter:
		return s.raft.AddVoter(id, addr, 0, wait).Error()
	case membership.Remove:
		return s.raft.RemoveServer(id, 0, wait).Error()
	case membership.Replace:
		return errors.Join(s.raft.RemoveServer(id, 0, wait).Error(), s.raft.AddNonvoter(id, addr, 0, wait).Error())
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

// join requests that this member be added and, once it has caught up, that it become a voter. It repeats the requests
// until this member is a voter or the context ends.
func (s *Store) join(ctx context.Context, to string) {
	for ctx.Err() == nil {
		all, err := s.Members()
		verb, isMember := "join", false
		if err == nil {
			for _, x := range all {
				if x.Name == s.cfg.Name {
					if x.Voter {
						return
					}
					verb, isMember = "promote", true
				}
			}
		}
		if isMember {
			if leader, _ := s.raft.LeaderWithID(); leader != "" {
				to = string(leader)
			}
		}
		m, err := s.requestChange(ctx, to, map[string]any{"verb": verb, "applied": s.raft.AppliedIndex()})
		switch {
		case err != nil:
			s.log.Info("store not joined yet", "by", to, "err", err)
		case m.Status != 200:
			s.log.Warn("store join rejected", "by", to, "status", m.Status, "reason", string(m.Body))
		}
		select {
		case <-time.After(s.lim.StoreElectionTimeout):
		case <-ctx.Done():
		}
	}
}
