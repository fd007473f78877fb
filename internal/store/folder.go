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

// The folder's identity, and those of the others that this member was told of, stand beside raft's own votes: they are lost
// only together.
const (
	folderKey = "gatetack.folder"
	knownKey  = "gatetack.folder.of."
)

// loadIdentity reads the folder's, or makes it.
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

// handleWitness answers a member that asks which folder is known under its name: what it says is on this member's disk before it
// is answered, if nothing was known before.
func (s *Store) handleWitness(q url.Values) http1.Response {
	name, id := q.Get("name"), q.Get("id")
	if name == "" || id == "" {
		return errorResponse(400, "a name and an identity are needed")
	}
	if name == s.cfg.Name {
		return jsonResponse(200, witnessAnswer{s.folderIdentity, s.progress()})
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
	return jsonResponse(200, witnessAnswer{string(known), s.progress()})
}

// witnessAnswer is what a member answers: which folder it knows under a name, and where it stands itself.
type witnessAnswer struct {
	Known string `json:"known"`
	membership.Progress
}

// knownFolders are the folders that were named.
func knownFolders(answers map[string]witnessAnswer) membership.KnownFolders {
	out := membership.KnownFolders{}
	for name, w := range answers {
		out[name] = w.Known
	}
	return out
}

// askWitnesses has some members say which folder they know under this one's name. Those that do not answer are not in it.
func (s *Store) askWitnesses(ctx context.Context, members map[string]string) map[string]witnessAnswer {
	ctx, cancel := context.WithTimeout(ctx, 2*s.lim.StoreBeat)
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

// beginOrRejoin has a member with an empty folder become one of the store's: it begins it with the others, or, where it has forgotten
// what it held or is to join, is let in anew by those who remember. Until then it gives no vote and takes nothing in.
func (s *Store) beginOrRejoin(ctx context.Context) {
	names := slices.Sorted(maps.Keys(s.cfg.Members))
	for said := false; s.cfg.Join == ""; said = true {
		verdict, missing := membership.DecideBootstrap(s.cfg.Name, s.folderIdentity, names, knownFolders(s.askWitnesses(ctx, s.cfg.Members)))
		if verdict == membership.BeginStore {
			if err := s.bootstrap(); err != nil {
				s.log.Error("store not bootstrapped", "err", err)
				return
			}
			s.log.Info("store bootstrapped", "folder", s.folderIdentity, "members", names)
			s.mux.raftOpen.Store(true)
			return
		}
		if verdict == membership.RejoinStore {
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

// bootstrap begins the store. Every member begins with the same list, so that it does not matter which one is first.
func (s *Store) bootstrap() error {
	return s.raft.BootstrapCluster(raftConfiguration(s.cfg.Members)).Error()
}

// raftConfiguration is a store of members by name, the same for all that have the same members.
func raftConfiguration(members map[string]string) (all raft.Configuration) {
	for _, name := range slices.Sorted(maps.Keys(members)) {
		all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(members[name])})
	}
	return all
}

// announceFolder has the other members know this folder, once each: those of a version that had no identities, or that came later.
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
		wait := 4 * s.lim.StoreBeat
		if err == nil && len(all) > 1 && len(told) >= len(all)-1 {
			wait = 120 * s.lim.StoreBeat
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}
