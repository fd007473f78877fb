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

// A store with one member whose disk is full, or loses writes until they are synced, acknowledges no writes meanwhile
// and preserves the acknowledged ones. It accepts writes again without a restart once the disk works, and has the same
// values after a restart.
func TestSingleMemberOnAFailingDisk(t *testing.T) {
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
				t.Error("a write was acknowledged on a failing disk")
			}
			if err := restore(); err != nil {
				t.Fatal(err)
			}
			testenv.Until(t, "the member is the leader again", m.s.IsLeader)
			put(t, m, "after", "z")
			m.stop()
			m.start(t)
			expectValue(t, m, "before", "x")
			expectValue(t, m, "after", "z")
		})
	}
}

// startUnresponsiveMember accepts connections at an address and never responds, like a member whose process is
// suspended. It returns a channel that is closed once raft has called.
func startUnresponsiveMember(t *testing.T, address string) <-chan struct{} {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	called := make(chan struct{})
	once := sync.OnceFunc(func() { close(called) })
	var mu sync.Mutex
	var conns []net.Conn
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			g.Go(func() error {
				first := make([]byte, 2) // the byte that begins a raft stream, and the type of the call
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
		for _, c := range conns {
			_ = c.Close()
		}
		mu.Unlock()
		_ = g.Wait()
	})
	return called
}

// A leader shuts down while its call to an unresponsive member is in flight. The call is aborted regardless of its
// timeout, and the delay is not reported as a stalled disk.
func TestShutdownDoesNotWaitForUnresponsiveMember(t *testing.T) {
	all := cluster(t, 3)
	put(t, all[0], "before", "x")
	lead := leader(t, all)
	unresponsive := all[0]
	if unresponsive == lead {
		unresponsive = all[1]
	}
	unresponsive.stop()
	called := startUnresponsiveMember(t, unresponsive.cfg.Listen)
	select {
	case <-called:
	case <-time.After(20 * time.Second):
		t.Fatal("raft does not call the unresponsive member")
	}
	// At least one call to the unresponsive member is in flight during the shutdown.
	ended := make(chan struct{})
	go func() { lead.stop(); close(ended) }()
	testenv.Until(t, "the leader has shut down", func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
}
