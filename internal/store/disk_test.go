package store

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/atomicfile/atomicfiletest"
	"gatetack/internal/testenv"
)

// A store of one member whose disk is full, or loses what it took until it is synced, acknowledges nothing meanwhile,
// keeps what it acknowledged before, and takes writes again by itself once the disk works; a restart finds the same.
func TestLoneMemberOnAFailingDisk(t *testing.T) {
	for _, x := range []struct{ what, device string }{
		{"full", atomicfiletest.FullDevice},
		{"loses unsynced writes", atomicfiletest.UnsyncedDevice},
	} {
		t.Run(x.what, func(t *testing.T) {
			m := cluster(t, 1)[0]
			put(t, m, "before", "x")
			restore, err := atomicfiletest.ReplaceOpenFile(filepath.Join(m.cfg.Dir, "raft.db"), x.device)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if err := m.s.Put(ctx, "job", "lost", []byte("y")); err == nil {
				t.Error("acknowledged by a disk that fails")
			}
			if err := restore(); err != nil {
				t.Fatal(err)
			}
			testenv.Until(t, "it leads again", m.s.Leads)
			put(t, m, "after", "z")
			m.stop()
			m.start(t)
			want(t, m, "before", "x")
			want(t, m, "after", "z")
		})
	}
}

// silentMember takes connections at an address and never answers, as a member does whose process was stopped. It
// returns a channel that is closed once raft has called.
func silentMember(t *testing.T, address string) <-chan struct{} {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	called := make(chan struct{})
	once := sync.OnceFunc(func() { close(called) })
	var mu sync.Mutex
	var taken []net.Conn
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			mu.Lock()
			taken = append(taken, c)
			mu.Unlock()
			g.Go(func() error {
				first := make([]byte, 2) // raft's mark, and the kind of its call
				if _, err := io.ReadFull(c, first); err == nil && first[0] == raftStreamByte {
					once()
				}
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		mu.Lock()
		for _, c := range taken {
			_ = c.Close()
		}
		mu.Unlock()
		_ = g.Wait()
	})
	return called
}

// A member that leads ends while a call to a member that does not answer is under way: the call is given up, however
// long it might take, and no disk is blamed for it.
func TestShutdownWaitsForNoSilentMember(t *testing.T) {
	all := cluster(t, 3)
	put(t, all[0], "before", "x")
	lead := leader(t, all)
	silent := all[0]
	if silent == lead {
		silent = all[1]
	}
	silent.stop()
	called := silentMember(t, silent.cfg.Listen)
	select {
	case <-called:
	case <-time.After(20 * time.Second):
		t.Fatal("raft does not call the silent member")
	}
	// A later call would be under way as well: its limit is an hour.
	ended := make(chan struct{})
	go func() { lead.stop(); close(ended) }()
	testenv.Until(t, "it ends", func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
}
