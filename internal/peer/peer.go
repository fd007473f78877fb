// Package peer exchanges short messages between nodes over UDP. Delivery is best effort. A Socket owns a reading and a
// writing goroutine, and Run waits for them.
package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
)

// unknownPeer is the index of an address that belongs to no peer.
const unknownPeer = -1

// readBackoff is the pause after a read that failed for lack of memory, or with an error that recv(2) does not list.
const readBackoff = time.Millisecond

// Sink receives the messages of other nodes.
type Sink interface {
	// PeerMessage takes a message of the node with the index from. It owns the data.
	PeerMessage(from uint32, data []byte)
}

// Socket sends and receives messages. A node's index is its position in the list of peers.
type Socket struct {
	conn      datagramConn
	limits    limits.Limits
	sink      Sink
	log       *slog.Logger
	peers     []netip.AddrPort
	broadcast netip.AddrPort // reaches all nodes; invalid if there is none
	outgoing  chan outgoingMessage
}

// datagramConn is the part of a UDP socket that Socket uses.
type datagramConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

type outgoingMessage struct {
	to   netip.AddrPort
	data []byte
}

// AddressError reports which setting contains an address that cannot be used.
type AddressError struct {
	Setting string
	Err     error
}

func (e *AddressError) Error() string { return e.Setting + ": " + e.Err.Error() }

func (e *AddressError) Unwrap() error { return e.Err }

// Listen opens the node's socket at addr. Broadcast is the address that reaches all peers, or "".
func Listen(
	addr string, peers []string, broadcast string, lim limits.Limits, sink Sink, log *slog.Logger,
) (*Socket, error) {
	s := &Socket{limits: lim, sink: sink, log: log, outgoing: make(chan outgoingMessage, lim.QueuedPeerMessages)}
	for _, p := range peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, &AddressError{"peers", err}
		}
		s.peers = append(s.peers, a)
	}
	if broadcast != "" {
		var err error
		if s.broadcast, err = netip.ParseAddrPort(broadcast); err != nil {
			return nil, &AddressError{"peers_all", err}
		}
	}
	local, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, &AddressError{"peer_listen", err}
	}
	if s.conn, err = listenShared(local); err != nil {
		return nil, &AddressError{"peer_listen", err}
	}
	return s, nil
}

// listenShared opens a UDP socket on a port that other processes may share: while a process replaces this one, both
// have the port open for some seconds, and the kernel distributes the datagrams between them.
func listenShared(local netip.AddrPort) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.Join(err, optionErr)
	}}
	conn, err := config.ListenPacket(context.Background(), "udp", local.String())
	if err != nil {
		return nil, err
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		return nil, fmt.Errorf("got a %T, expected a UDP socket", conn)
	}
	return udp, nil
}

// SendGossip sends a message to one node, or to all with dispatch.AllPeers. It does not block: a message that does not
// fit into the queue is dropped.
func (s *Socket) SendGossip(to uint16, data []byte) {
	if len(data) > s.limits.PeerBytes {
		s.log.Error("peer message too long, not sent", "bytes", len(data), "max", s.limits.PeerBytes)
		return
	}
	address := s.address(to)
	if !address.IsValid() {
		return
	}
	select {
	case s.outgoing <- outgoingMessage{address, data}:
	default:
	}
}

// address returns the address of a node; it is invalid if the node is unknown.
func (s *Socket) address(to uint16) netip.AddrPort {
	switch {
	case to == dispatch.AllPeers:
		return s.broadcast
	case int(to) < len(s.peers):
		return s.peers[to]
	}
	return netip.AddrPort{}
}

// Run sends and receives until the context ends.
func (s *Socket) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return s.conn.Close()
	})
	g.Go(func() error { s.writeLoop(ctx); return nil })
	g.Go(func() error { s.readLoop(ctx); return nil })
	return g.Wait()
}

func (s *Socket) writeLoop(ctx context.Context) {
	for {
		select {
		case m := <-s.outgoing:
			s.write(ctx, m)
		case <-ctx.Done():
			return
		}
	}
}

// write sends one message. If the send fails, the message is lost, whatever the reason: no memory (ENOBUFS), the local
// firewall (EPERM), no route, or an ICMP error for an earlier datagram (ECONNREFUSED).
func (s *Socket) write(ctx context.Context, m outgoingMessage) {
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

func (s *Socket) readLoop(ctx context.Context) {
	buffer := make([]byte, s.limits.PeerBytes+1) // one byte more, to detect messages that are too long
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Debug("peer read failed", "err", err)
			if !isAsyncSendError(err) {
				time.Sleep(readBackoff)
			}
			continue
		}
		if peer := s.peerIndex(from); peer != unknownPeer && n <= s.limits.PeerBytes {
			s.sink.PeerMessage(uint32(peer), slices.Clone(buffer[:n]))
		}
	}
}

// isAsyncSendError reports whether a read failed because of an ICMP error for an earlier datagram of this node
// (udp(7)), or because of a signal. Each such error is reported once, so the next read can follow at once.
func isAsyncSendError(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.ECONNREFUSED, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EINTR,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// peerIndex returns the index of the node at an address, or unknownPeer.
func (s *Socket) peerIndex(from netip.AddrPort) int {
	return slices.Index(s.peers, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
}
