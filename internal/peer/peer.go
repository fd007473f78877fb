// Package peer carries short messages between nodes over UDP, best effort.
package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
)

// Sink takes what other nodes tell.
type Sink interface {
	Peer(from uint32, data []byte)
}

// Socket is the node's place among its peers.
type Socket struct {
	conn  datagramConn
	lim   limits.Limits
	sink  Sink
	log   *slog.Logger
	peers []netip.AddrPort
	all   netip.AddrPort
	out   chan message
}

// datagramConn is the part of a UDP socket that is used here.
type datagramConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// readBackoff is the pause after a read that failed for want of memory, or for a reason that recv(2) does not name.
const readBackoff = time.Millisecond

type message struct {
	to   netip.AddrPort
	data []byte
}

// Listen opens the node's socket. Peers stand at their numbers.
func Listen(addr string, peers []string, all string, lim limits.Limits, sink Sink, log *slog.Logger) (*Socket, error) {
	s := &Socket{lim: lim, sink: sink, log: log, out: make(chan message, lim.Tells)}
	var err error
	for _, p := range peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		s.peers = append(s.peers, a)
	}
	if all != "" {
		if s.all, err = netip.ParseAddrPort(all); err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
	}
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	// While a process replaces this one, both stand on the same address for some seconds: the port is shared, and
	// the kernel deals out the datagrams between them.
	shared := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var opt error
		err := raw.Control(func(fd uintptr) { opt = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(err, opt)
	}}
	pc, err := shared.ListenPacket(context.Background(), "udp", at.String())
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	udp, ok := pc.(*net.UDPConn)
	if !ok {
		return nil, fmt.Errorf("peers: %T is no UDP socket", pc)
	}
	s.conn = udp
	return s, nil
}

// Tell sends a message to one node or to all. It does not block: what the socket does not take is lost, as it
// may be on the way.
func (s *Socket) Tell(to uint16, data []byte) {
	if len(data) > s.lim.PeerBytes {
		s.log.Error("a message to peers is too long and is not sent", "bytes", len(data))
		return
	}
	m := message{s.all, data}
	if to != dispatch.AllPeers {
		if int(to) >= len(s.peers) {
			return
		}
		m.to = s.peers[to]
	}
	if !m.to.IsValid() {
		return
	}
	select {
	case s.out <- m:
	default:
	}
}

// Run reads and writes until the context ends.
func (s *Socket) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return s.conn.Close()
	})
	g.Go(func() error {
		for {
			select {
			case m := <-s.out:
				s.write(ctx, m)
			case <-ctx.Done():
				return nil
			}
		}
	})
	g.Go(func() error {
		buf := make([]byte, s.lim.PeerBytes+1)
		for {
			n, from, err := s.conn.ReadFromUDPAddrPort(buf)
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				s.log.Debug("peer read failed", "err", err)
				if !isSendersError(err) {
					time.Sleep(readBackoff)
				}
				continue
			}
			from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
			if i := s.number(from); i >= 0 && n <= s.lim.PeerBytes {
				s.sink.Peer(uint32(i), append([]byte(nil), buf[:n]...))
			}
		}
	})
	return g.Wait()
}

// write sends one message. What the socket does not take is lost, as it may be on the way, whatever the reason: no memory (ENOBUFS), a
// firewall of this machine (EPERM), no route, or an answer to an earlier datagram that nobody listens there (ECONNREFUSED).
func (s *Socket) write(ctx context.Context, m message) {
	for {
		_, err := s.conn.WriteToUDPAddrPort(m.data, m.to)
		if errors.Is(err, syscall.EINTR) && ctx.Err() == nil {
			continue
		}
		if err != nil && ctx.Err() == nil {
			s.log.Debug("peer write failed", "peer", m.to, "err", err)
		}
		return
	}
}

// isSendersError says whether a read failed for an earlier datagram of ours, whose error the network gave back (udp(7)), or for a signal.
// Each such error comes once, so the next read can follow at once.
func isSendersError(err error) bool {
	for _, errno := range []syscall.Errno{syscall.ECONNREFUSED, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EINTR} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

func (s *Socket) number(from netip.AddrPort) int {
	for i, p := range s.peers {
		if p == from {
			return i
		}
	}
	return -1
}
