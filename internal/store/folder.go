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

// Keys in raft's stable store of the identity of this folder and, followed by a member's name, of those of other
// folders. They share a file with raft's votes and can be lost only together with them.
const (
	folderKey = "gatetack.folder"
	knownKey  = "gatetack.folder.of."
)

// loadIdentity reads the identity of the folder or creates one.
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

// handleWitness responds to a member that asks which folder identity is known under its name. If none is known, the
// identity from the request is stored on this member's disk before the response.
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

// witnessAnswer is the folder identity that a member knows under a name, with the member's own progress.
type witnessAnswer struct {
	Known string `json:"known"`
	membership.Progress
}

// knownFolders returns the folder identities in answers.
func knownFolders(answers map[string]witnessAnswer) membership.KnownFolders {
	out := membership.KnownFolders{}
	for name, w := range answers {
		out[name] = w.Known
	}
	return out
}

// askWitnesses asks members which folder identity they know under this member's name. The result contains the answers
// by member.
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

// bootstrapOrRejoin makes a member with an empty folder part of the store. It bootstraps the store together with the
// others or, if its folder was lost or it is configured to join, waits until the others add it. Until then it does not
// vote and accepts no entries.
func (s *Store) bootstrapOrRejoin(ctx context.Context) {
	names := slices.Sorted(maps.Keys(s.cfg.Members))
	for logged := false; s.cfg.Join == ""; logged = true {
		decision, missing := membership.DecideBootstrap(
			s.cfg.Name,
			s.folderIdentity,
			names,
			knownFolders(s.askWitnesses(ctx, s.cfg.Members)),
		)
		if decision == membership.Bootstrap {
			if err := s.bootstrap(); err != nil {
				s.log.Error("store not bootstrapped", "err", err)
				return
			}
			s.log.Info("store bootstrapped", "folder", s.folderIdentity, "members", names)
			s.mux.raftOpen.Store(true)
			return
		}
		if decision == membership.Rejoin {
			s.log.Warn("store folder empty and known to others, rejoining without a vote", "node", s.cfg.Name)
			break
		}
		if !logged {
			s.log.Info("store waiting for witnesses", "missing", missing)
		}
		if !s.sleepBeforeRetry(ctx) {
			return
		}
	}
	targets := []string{s.cfg.Join}
	if s.cfg.Join == "" {
		targets = targets[:0]
		for _, name := range names {
			if name != s.cfg.Name {
				targets = append(targets, s.cfg.Members[name])
			}
		}
	}
	for n := 0; ; n++ {
		target := targets[n%len(targets)]
		m, err := s.requestChange(ctx, target, map[string]any{"verb": "join", "anew": true})
		if err == nil && m.Status == 200 {
			s.log.Info("store rejoined", "by", target)
			s.mux.raftOpen.Store(true)
			s.join(ctx, target)
			return
		}
		if err == nil {
			err = fmt.Errorf("%d: %s", m.Status, m.Body)
		}
		if n%len(targets) == 0 {
			s.log.Info("store not rejoined yet", "by", target, "err", err)
		}
		if !s.sleepBeforeRetry(ctx) {
			return
		}
	}
}

// bootstrap bootstraps the store. Every member does so with the same configuration, so that the order does not matter.
func (s *Store) bootstrap() error {
	return s.raft.BootstrapCluster(raftConfiguration(s.cfg.Members)).Error()
}

// raftConfiguration returns the raft configuration of a store. It is equal for equal members.
func raftConfiguration(members map[string]string) (configuration raft.Configuration) {
	for _, name := range slices.Sorted(maps.Keys(members)) {
		configuration.Servers = append(
			configuration.Servers,
			raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(members[name])},
		)
	}
	return configuration
}

// announceFolder makes the identity of this folder known to each of the other members, including those that join later
// or ran a version without identities.
func (s *Store) announceFolder(ctx context.Context) {
	announced := map[string]bool{}
	for {
		remaining := map[string]string{}
		all, err := s.Members()
		for _, x := range all {
			if !announced[x.Name] && x.Name != s.cfg.Name {
				remaining[x.Name] = x.Address
			}
		}
		for name := range s.askWitnesses(ctx, remaining) {
			announced[name] = true
		}
		wait := 4 * s.lim.StoreElectionTimeout
		if err == nil && len(all) > 1 && len(announced) >= len(all)-1 {
			wait = 120 * s.lim.StoreElectionTimeout
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}
