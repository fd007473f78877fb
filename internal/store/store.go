// Package store implements the replicated store of the nodes with hashicorp/raft, its boltdb log, and the state machine
// of package kv. The store contains settings, leases and the records of batch jobs. Every member accepts calls; writes
// and linearizable reads are handled by the leader.
//
// Open creates a member; Run starts its goroutines and returns after they have ended. Only raft's goroutine writes the
// state, through fsm.
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
	"golang.org/x/sync/errgroup"

	"gatetack/internal/failpoint"
	"gatetack/internal/http1"
	"gatetack/internal/kv"
	"gatetack/internal/limits"
	"gatetack/internal/membership"
	"gatetack/internal/pki"
	"gatetack/internal/slowpeer"
)

// Config configures a member.
type Config struct {
	Name         string
	Dir          string
	Listen       string
	Members      map[string]string // addresses by name of the members of a new store, including this one
	Keys         *pki.Ring         // for mutual TLS between members, nil for none
	Join         string            // address of a member of the store to join, empty to bootstrap one with Members
	WatermarkDir string            // a directory in the machine's memory for the watermark, empty for none
	TrustDisk    bool              // without a watermark, trust that the disk lost nothing

	writeFault func() failpoint.DiskFault // fault to inject into writes of the log, set by tests before the start
}

// Store is one member of the replicated store. It is safe for concurrent use.
type Store struct {
	cfg    Config
	lim    limits.Limits
	log    *slog.Logger
	raft   *raft.Raft
	fsm    *fsm
	mux    *mux
	server *http1.Server
	disk   *disk
	guard  *guard

	folderIdentity   string                // created with the folder's first content
	startedEmpty     bool                  // the folder was empty when it was opened
	folderAtStart    membership.Folder     // what the folder had when it was opened
	watermarkAtStart *membership.Watermark // nil if there was none

	mu           sync.Mutex
	unresponsive map[raft.ServerID]bool // members whose heartbeats fail while this one is the leader

	memberChange chan struct{} // holds one element while a change of the members is decided and applied

	logTime logTime

	services map[string]http1.Handler // by the first path element after /v1, see Mount
}

// ErrNoLeader reports that no leader is known, so that neither writes nor linearizable reads are possible.
var ErrNoLeader error = &NoLeaderError{}

// Open creates a member and opens its folder and its listener.
func Open(cfg Config, lim limits.Limits, slow *slowpeer.Counters, log *slog.Logger) (*Store, error) {
	if cfg.Join == "" && cfg.Members[cfg.Name] != cfg.Listen {
		return nil, &AddressError{cfg.Name, cfg.Listen, cfg.Members[cfg.Name]}
	}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	listener := ln
	if cfg.Keys != nil {
		listener = cfg.Keys.Listen(ln)
	}
	lim.BodyBytes = max(lim.StoreBodyBytes*2, 1<<20) // the body of a call contains a transaction
	s := &Store{
		cfg:          cfg,
		lim:          lim,
		log:          log,
		fsm:          newFSM(lim),
		mux:          newMux(listener, cfg.Keys, lim, log),
		unresponsive: map[raft.ServerID]bool{},
		memberChange: make(chan struct{}, 1),
	}
	if err := s.open(); err != nil {
		_ = ln.Close()
		if s.disk != nil {
			_ = s.disk.Close()
		}
		return nil, fmt.Errorf("store: %w", err)
	}
	serverLimits := lim
	serverLimits.ClientConns, serverLimits.OverflowConns = lim.StoreConns+lim.StoreFollowers, lim.StoreConns/2
	s.server = http1.NewServer(serverLimits, s, slow, log)
	return s, nil
}

func (s *Store) open() error {
	raftLog := hclog.FromStandardLogger(
		slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		&hclog.LoggerOptions{Level: hclog.Warn, DisableTime: true},
	)
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(s.cfg.Name), raftLog
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = s.lim.StoreElectionTimeout,
		s.lim.StoreElectionTimeout, s.lim.StoreElectionTimeout/2
	c.CommitTimeout = s.lim.StoreElectionTimeout / 20
	c.SnapshotThreshold, c.TrailingLogs = uint64(s.lim.StoreSnapshotThreshold), uint64(s.lim.StoreSnapshotThreshold)/4
	soleMember := len(s.cfg.Members) == 1 && s.cfg.Join == ""
	unreadable, err := inspectFolder(s.cfg.Dir, soleMember, s.lim, raftLog, s.log)
	if err != nil {
		return err
	}
	log, err := openLog(filepath.Join(s.cfg.Dir, logFile))
	if err != nil {
		return err
	}
	s.disk = newDisk(log, s.cfg.writeFault)
	if s.disk.SnapshotStore, err = raft.NewFileSnapshotStoreWithLogger(s.cfg.Dir, retainedSnapshots, raftLog); err != nil {
		return err
	}
	exists, err := raft.HasExistingState(s.disk, s.disk, s.disk)
	if err != nil {
		return err
	}
	if err := s.loadIdentity(); err != nil {
		return err
	}
	boot := bootID()
	if s.disk.watermark, s.watermarkAtStart, err = openWatermark(s.cfg.WatermarkDir, s.folderIdentity, boot); err != nil {
		s.log.Warn("store watermark not available", "dir", s.cfg.WatermarkDir, "err", err)
	}
	last, term := s.disk.lastPosition()
	s.folderAtStart = membership.Folder{
		Name:       s.cfg.Name,
		Identity:   s.folderIdentity,
		Last:       last,
		Term:       term,
		Unreadable: unreadable,
		Boot:       boot,
		TrustDisk:  s.cfg.TrustDisk,
	}
	// A member with an empty folder does not take part in raft until it is known that no earlier folder was lost: see
	// package membership.
	s.startedEmpty = !exists
	s.mux.raftOpen.Store(exists)
	s.guard = newGuard(raft.NewNetworkTransportWithLogger(s.mux, 2, s.lim.StoreCallTimeout, raftLog), s.disk,
		s.lim.StoreElectionTimeout)
	if s.startedEmpty { // the member has acknowledged nothing with this folder
		s.guard.setAssessment(membership.Assessment{Complete: true})
		if err := s.disk.watermark.arm(membership.Position{}, 0); err != nil {
			return err
		}
	}
	s.raft, err = raft.NewRaft(c, s.fsm, s.disk, s.disk, s.disk, s.guard)
	return err
}

// Run serves until the context ends.
func (s *Store) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.mux.run(ctx) })
	g.Go(func() error { s.guard.run(ctx); return nil })
	g.Go(func() error { return s.server.Serve(ctx, s.mux.callConns) })
	g.Go(func() error { s.observe(ctx); return nil })
	g.Go(func() error { s.expireLeases(ctx); return nil })
	switch {
	case s.startedEmpty:
		g.Go(func() error { s.bootstrapOrRejoin(ctx); return nil })
	case s.cfg.Join != "":
		g.Go(func() error { s.assess(ctx); return nil })
		g.Go(func() error { s.join(ctx, s.cfg.Join); return nil })
	default:
		g.Go(func() error { s.assess(ctx); return nil })
		g.Go(func() error { s.resumePromotion(ctx); return nil })
	}
	g.Go(func() error { s.announceFolder(ctx); return nil })
	g.Go(func() error {
		<-ctx.Done()
		return s.close()
	})
	return g.Wait()
}

// close shuts the member down. It does not wait for a write that does not return, because the process is about to end.
func (s *Store) close() error {
	stopped := make(chan error, 1)
	shutdown := s.raft.Shutdown()
	go func() { stopped <- shutdown.Error() }()
	s.mux.raftStreams.closeAll()
	var err error
	select {
	case err = <-stopped:
	case <-time.After(s.lim.StoreElectionTimeout):
		stalled, lastError := s.disk.stalled()
		s.disk.release()
		select {
		case err = <-stopped:
		case <-time.After(s.lim.StoreCallTimeout):
			err = errors.Join(&StalledError{stalled}, lastError)
		}
	}
	s.disk.watermark.close()
	return errors.Join(err, s.guard.Close(), s.disk.Close())
}

// IsLeader reports whether this member is the leader.
func (s *Store) IsLeader() bool { return s.raft.State() == raft.Leader }

// expireLeases commits an empty transaction with the current time when a lease expires, while this member is the
// leader.
func (s *Store) expireLeases(ctx context.Context) {
	tick := time.NewTicker(s.lim.StoreElectionTimeout / 2)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if due := s.fsm.nextLeaseExpiry(); due > 0 && s.IsLeader() && due <= s.now() {
			if _, err := s.apply(ctx, &kv.Txn{}); err != nil {
				s.log.Debug("store leases not expired", "err", err)
			}
		}
	}
}

// apply commits a transaction with the leader's time, on the leader. It returns an error if the majority or the disk
// does not acknowledge the transaction within the call timeout; the transaction may still be committed later.
func (s *Store) apply(ctx context.Context, t *kv.Txn) (*kv.Result, error) {
	if wait, _ := s.disk.stalled(); wait > s.lim.StoreElectionTimeout {
		return nil, &StalledError{wait}
	}
	t.At = s.now()
	data, err := t.Marshal()
	if err != nil {
		return nil, err
	}
	f := s.raft.Apply(data, s.lim.StoreCallTimeout)
	if err := s.await(ctx, f.Error); err != nil {
		return nil, err
	}
	return f.Response().(*kv.Result), nil
}

// await waits for a future of raft, whose Error method takes no context.
func (s *Store) await(ctx context.Context, wait func() error) error {
	done := make(chan error, 1)
	go func() { done <- wait() }()
	ctx, cancel := context.WithTimeout(ctx, s.lim.StoreCallTimeout)
	defer cancel()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("store: unknown whether the write was committed: %w", ctx.Err())
	case <-s.disk.closed:
		return raft.ErrRaftShutdown
	}
}
