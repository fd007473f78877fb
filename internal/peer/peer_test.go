package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/dispatch"
	"gatetack/internal/testenv"
)

type sink struct {
	mu  sync.Mutex
	got map[uint32]string
}

func (s *sink) PeerMessage(from uint32, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got[from] = string(data)
}

func (s *sink) has(from uint32, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got[from] == text
}

// Messages reach the node to which they are sent, with the index of their sender. Messages from unknown addresses, and
// messages over the limit of 256 bytes for a datagram between nodes, reach no node.
func TestMessagesReachOnlyTheirNode(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	var addrs []string
	var listeners []net.PacketConn
	for range 2 {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, c) // kept open until both ports are known, since a released port may be assigned again
		addrs = append(addrs, c.LocalAddr().String())
	}
	for _, c := range listeners {
		_ = c.Close()
	}
	var sockets []*Socket
	var sinks []*sink
	for i := range 2 {
		k := &sink{got: map[uint32]string{}}
		s, err := Listen(addrs[i], addrs, addrs[1-i], testenv.Limits, k, testenv.DiscardLog)
		if err != nil {
			t.Fatal(err)
		}
		g.Go(func() error { return s.Run(ctx) })
		sockets, sinks = append(sockets, s), append(sinks, k)
	}
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("not within 20 s:", what)
			}
		}
	}
	sockets[0].SendGossip(1, []byte("to one"))
	until("a message to one", func() bool { return sinks[1].has(0, "to one") })
	sockets[1].SendGossip(dispatch.AllPeers, []byte("to all"))
	until("a message to all", func() bool { return sinks[0].has(1, "to all") })
	stranger, err := net.Dial("udp", addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stranger.Close() }()
	_, _ = stranger.Write([]byte("stranger"))
	sockets[1].SendGossip(0, make([]byte, 257))
	sockets[1].SendGossip(9, []byte("unknown node"))
	sockets[1].SendGossip(0, []byte("last"))
	until("the last message", func() bool { return sinks[0].has(1, "last") })
	if len(sinks[0].got) != 1 {
		t.Errorf("node 0 received %v, want messages of node 1 alone", sinks[0].got)
	}
	cancel()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// While a process replaces this one, both listen on the same address: the second listen must not fail because of the
// first.
func TestTwoProcessesListenOnOneAddress(t *testing.T) {
	first, err := Listen("127.0.0.1:0", nil, "", testenv.Limits, &sink{got: map[uint32]string{}}, testenv.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.conn.Close() }()
	at := first.conn.LocalAddr().String()
	second, err := Listen(at, nil, "", testenv.Limits, &sink{got: map[uint32]string{}}, testenv.DiscardLog)
	if err != nil {
		t.Fatalf("a second socket on %s: %v", at, err)
	}
	_ = second.conn.Close()
}
