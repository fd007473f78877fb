package store

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"

	"gatetack/internal/http1"
	"gatetack/internal/membership"
)

// Keys of the folder's identity, and of those of the other members' folders, in raft's own stable store: they are lost
// only together with its votes.
const (
	folderKey = "gatetack.folder"
	knownKey  = "gatetack.folder.of."
)

// loadIdentity reads the folder's identity, or creates it.
func (s *Store) loadIdentity() error {
	id, err := s.disk.Get([]byte(folderKey))
	if errors.Is(err, boltdb.ErrKeyNotFound) {
		id = newIdentity()
		err = s.disk.Set([]byte(folderKey), id)
	}
	s.folderIdentity = string(id)
	return err
}

func newIdentity() []byte {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return []byte(hex.EncodeToString(raw[:]))
}

// handleWitness answers a member that asks which folder is known under its name. If none was, the folder is on this
// member's disk before the answer.
func (s *Store) handleWitness(q url.Values) http1.Response {
	name, id := q.Get("name"), q.Get("id")
	if name == "" || id == "" {
		return errorResponse(400, "a name and an identity are needed")
	}
	if name == s.cfg.Name {
		return http1.JSON(200, witnessAnswer{s.folderIdentity, s.progress()})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, err := s.disk.Get([]byte(knownKey + name))
	if errors.Is(err, boltdb.ErrKeyNotFound) {
		known, err = []byte(id), s.disk.Set([]byte(knownKey+name), []byte(id))
	}
	if err != nil {
		return errorResponse(503, "%v", err)
	}
	return http1.JSON(200, witnessAnswer{string(known), s.progress()})
}

// witnessAnswer is the folder that a member knows under a name, and the member's own position.
type witnessAnswer struct {
	Known string `json:"known"`
	membership.Progress
}

// knownFolders returns the folders of some answers.
func knownFolders(answers map[string]witnessAnswer) membership.KnownFolders {
	out := membership.KnownFolders{}
	for name, w := range answers {
		out[name] = w.Known
	}
	return out
}

// askWitnesses asks members which folder they know under this one's name. The result has those that answered.
func (s *Store) askWitnesses(ctx context.Context, members map[string]string) map[string]witnessAnswer {
	ctx, cancel := context.WithTimeout(ctx, 2*s.lim.StoreElectionTimeout)
	defer cancel()
	var g sync.WaitGroup
	var mu sync.Mutex
	out := map[string]witnessAnswer{}
	path := "/v1/folder?" + url.Values{"name": {s.cfg.Name}, "id": {s.folderIdentity}}.Encode()
	for name, addr := range members {
		if name == s.cfg.Name {
			continue
		}
		g.Go(func() {
			m, err := Call(ctx, addr, "GET", path, nil, s.cfg.Keys, s.lim)
			if err != nil || m.Status != 200 {
				return
			}
			var w witnessAnswer
			if json.Unmarshal(m.Body, &w) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[name] = w
		})
	}
	g.Wait()
	return out
}

// beginOrRejoin makes a member with an empty folder part of the store. It begins the store together with the others
// or, where its folder was lost or it is to join, waits until the others add it. Until then it does not vote and
// accepts no entries.
func (s *Store) beginOrRejoin(ctx context.Context) {
	names := slices.Sorted(maps.Keys(s.cfg.Members))
	for said := false; s.cfg.Join == ""; said = true {
		verdict, missing := membership.DecideBootstrap(
			s.cfg.Name,
			s.folderIdentity,
			names,
			knownFolders(s.askWitnesses(ctx, s.cfg.Members)),
		)
		if verdict == membership.Bootstrap {
			if err := s.bootstrap(); err != nil {
				s.log.Error("store not bootstrapped", "err", err)
				return
			}
			s.log.Info("store bootstrapped", "folder", s.folderIdentity, "members", names)
			s.mux.raftOpen.Store(true)
			return
		}
		if verdict == membership.Rejoin {
			s.log.Warn("store folder empty and known to others, rejoining without a vote", "node", s.cfg.Name)
			break
		}
		if !said {
			s.log.Info("store waiting for witnesses", "missing", missing)
		}
		if !s.sleepHalfBeat(ctx) {
			return
		}
	}
	to := []string{s.cfg.Join}
	if s.cfg.Join == "" {
		to = to[:0]
		for _, name := range names {
			if name != s.cfg.Name {
				to = append(to, s.cfg.Members[name])
			}
		}
	}
	for n := 0; ; n++ {
		at := to[n%len(to)]
		m, err := s.requestChange(ctx, at, map[string]any{"verb": "join", "anew": true})
		if err == nil && m.Status == 200 {
			s.log.Info("store rejoined", "by", at)
			s.mux.raftOpen.Store(true)
			s.join(ctx, at)
			return
		}
		if err == nil {
			err = fmt.Errorf("%d: %s", m.Status, m.Body)
		}
		if n%len(to) == 0 {
			s.log.Info("store not rejoined yet", "by", at, "err", err)
		}
		if !s.sleepHalfBeat(ctx) {
			return
		}
	}
}

// bootstrap begins the store. Every member begins with the same configuration, so that it does not matter which is
// first.
func (s *Store) bootstrap() error {
	return s.raft.BootstrapCluster(raftConfiguration(s.cfg.Members)).Error()
}

// raftConfiguration returns the configuration of a store, the same for all that name the same members.
func raftConfiguration(members map[string]string) (all raft.Configuration) {
	for _, name := range slices.Sorted(maps.Keys(members)) {
		all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(members[name])})
	}
	return all
}

// announceFolder makes this folder known to the other members, once each: also to those that join later, or that ran a
// version without identities.
func (s *Store) announceFolder(ctx context.Context) {
	told := map[string]bool{}
	for {
		left := map[string]string{}
		all, err := s.Members()
		for _, x := range all {
			if !told[x.Name] && x.Name != s.cfg.Name {
				left[x.Name] = x.Address
			}
		}
		for name := range s.askWitnesses(ctx, left) {
			told[name] = true
		}
		wait := 4 * s.lim.StoreElectionTimeout
		if err == nil && len(all) > 1 && len(told) >= len(all)-1 {
			wait = 120 * s.lim.StoreElectionTimeout
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}
