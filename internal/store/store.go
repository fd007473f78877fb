// Package store is the nodes' own replicated store: hashicorp/raft with its boltdb log, and the state machine of package
// kv. It holds the configuration and what is known of batch jobs. Every member answers; what changes the store, and what
// must not be told stale, goes through the leader.
package store

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"golang.org/x/sync/errgroup"

	"quincereach/internal/http1"
	"quincereach/internal/keys"
	"quincereach/internal/kv"
	"quincereach/internal/limits"
	"quincereach/internal/pace"
)

// Config is one member's.
type Config struct {
	Name    string
	Dir     string
	Listen  string
	Members map[string]string // addresses by name, our own among them, of a store that begins
	Keys    *keys.Ring        // by which members know one another; nil: by nothing
	Join    string            // a member of a store that is there, which this one is to join; empty: it begins with Members
}

// Store is one member.
type Store struct {
	cfg    Config
	lim    limits.Limits
	log    *slog.Logger
	raft   *raft.Raft
	fsm    *fsm
	mux    *mux
	server *http1.Server
	bolt   *boltdb.BoltStore
	trans  *raft.NetworkTransport

	folder string // its identity
	empty  bool   // it held nothing when it was opened

	mu   sync.Mutex
	dead map[raft.ServerID]bool // members whose heartbeats fail, as this one sees it while it leads

	time logTime
}

// ErrNoLeader says that the store has no leader, so that nothing can be written or told for certain.
var ErrNoLeader = errors.New("store: no leader is known")

// Open starts a member. What it held before it reads from its folder.
func Open(cfg Config, lim limits.Limits, slow *pace.Tally, log *slog.Logger) (*Store, error) {
	if cfg.Join == "" && cfg.Members[cfg.Name] != cfg.Listen {
		return nil, fmt.Errorf("store: member %q is not at %s", cfg.Name, cfg.Listen)
	}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var under net.Listener = ln
	if cfg.Keys != nil {
		under = cfg.Keys.Listen(ln)
	}
	lim.Body = max(lim.StoreBody*2, 1<<20) // a call holds a transaction
	s := &Store{cfg: cfg, lim: lim, log: log, fsm: newFSM(lim), mux: newMux(under, cfg.Keys, lim), dead: map[raft.ServerID]bool{}}
	if err := s.open(); err != nil {
		_ = ln.Close()
		if s.bolt != nil {
			_ = s.bolt.Close()
		}
		return nil, fmt.Errorf("store: %w", err)
	}
	sub := lim
	sub.ClientConns, sub.SpareConns = lim.StoreConns, lim.StoreConns/2
	s.server = http1.NewServer(sub, s, slow, log)
	return s, nil
}

func (s *Store) open() error {
	quiet := hclog.FromStandardLogger(slog.NewLogLogger(s.log.Handler(), slog.LevelDebug), &hclog.LoggerOptions{Level: hclog.Warn, DisableTime: true})
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(s.cfg.Name), quiet
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = s.lim.StoreBeat, s.lim.StoreBeat, s.lim.StoreBeat/2
	c.CommitTimeout = s.lim.StoreBeat / 20
	c.SnapshotThreshold, c.TrailingLogs = uint64(s.lim.StoreLog), uint64(s.lim.StoreLog)/4
	var err error
	if s.bolt, err = boltdb.NewBoltStore(filepath.Join(s.cfg.Dir, "raft.db")); err != nil {
		return err
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(s.cfg.Dir, 2, quiet)
	if err != nil {
		return err
	}
	s.trans = raft.NewNetworkTransportWithLogger(s.mux, 2, s.lim.StoreCall, quiet)
	known, err := raft.HasExistingState(s.bolt, s.bolt, snaps)
	if err != nil {
		return err
	}
	if err := s.identity(); err != nil {
		return err
	}
	// An empty folder is silent towards the others until it is known that none is missing: see package member.
	s.empty = !known
	s.mux.open.Store(known)
	s.raft, err = raft.NewRaft(c, s.fsm, s.bolt, s.bolt, snaps, s.trans)
	return err
}

// Run serves until the context ends.
func (s *Store) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.mux.run(ctx) })
	g.Go(func() error { return s.server.Serve(ctx, s.mux.calls) })
	g.Go(func() error { s.observe(ctx); return nil })
	g.Go(func() error { s.expire(ctx); return nil })
	switch {
	case s.empty:
		g.Go(func() error { s.begin(ctx); return nil })
	case s.cfg.Join != "":
		g.Go(func() error { s.join(ctx, s.cfg.Join); return nil })
	}
	g.Go(func() error { s.announce(ctx); return nil })
	g.Go(func() error {
		<-ctx.Done()
		return s.close()
	})
	return g.Wait()
}

func (s *Store) close() error {
	err := s.raft.Shutdown().Error()
	return errors.Join(err, s.trans.Close(), s.bolt.Close())
}

// Leads says whether this member leads.
func (s *Store) Leads() bool { return s.raft.State() == raft.Leader }

// expire has leases end by the log: while this member leads, an empty transaction with its time is written when one is due.
func (s *Store) expire(ctx context.Context) {
	tick := time.NewTicker(s.lim.StoreBeat / 2)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if due := s.fsm.due(); due > 0 && s.Leads() && due <= s.now() {
			if _, err := s.apply(&kv.Txn{}); err != nil {
				s.log.Debug("store: leases that are due", "err", err)
			}
		}
	}
}

// apply writes a transaction as the leader. Its time is the leader's.
func (s *Store) apply(t *kv.Txn) (*kv.Result, error) {
	t.At = s.now()
	data, err := t.Marshal()
	if err != nil {
		return nil, err
	}
	f := s.raft.Apply(data, s.lim.StoreCall)
	if err := f.Error(); err != nil {
		return nil, err
	}
	return f.Response().(*kv.Result), nil
}
