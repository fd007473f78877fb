package hollow

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/sync/errgroup"
)

// maxDatagram is one byte more than the longest message between dispatchers, so that a longer one is not truncated to a valid length.
const maxDatagram = 257

// Peers forwards messages between dispatchers. A dispatcher reaches each other dispatcher at a separate address, and all others at
// one broadcast address.
type Peers struct {
	network *Network
	traffic *Traffic
	cuts    *Cuts
	region  func(dispatcher int) int
	sockets [][]*net.UDPConn // sockets[i][j] receives messages from dispatcher i to j and sends messages from j to i
	listen  []netip.AddrPort
}

// NewPeers starts to forward messages.
func NewPeers(ctx context.Context, g *errgroup.Group, dispatchers int, region func(int) int, n *Network, t *Traffic, c *Cuts) (*Peers, error) {
	p := &Peers{network: n, traffic: t, cuts: c, region: region}
	for i := range dispatchers {
		at, err := netip.ParseAddrPort(n.PeerListen(i))
		if err != nil {
			return nil, fmt.Errorf("peer address: %w", err)
		}
		p.listen = append(p.listen, at)
		p.sockets = append(p.sockets, make([]*net.UDPConn, dispatchers))
	}
	for i := range dispatchers {
		for j := range dispatchers {
			socket, err := udp(ctx, g, n.Peer(i, j))
			if err != nil {
				return nil, err
			}
			p.sockets[i][j] = socket
		}
	}
	for i := range dispatchers {
		for j, socket := range p.sockets[i] {
			g.Go(func() error { p.carry(socket, i, []int{j}); return nil })
		}
		all, err := udp(ctx, g, n.PeersAll(i))
		if err != nil {
			return nil, err
		}
		g.Go(func() error { p.carry(all, i, others(dispatchers, i)); return nil })
	}
	return p, nil
}

func others(n, but int) (out []int) {
	for i := range n {
		if i != but {
			out = append(out, i)
		}
	}
	return out
}

func udp(ctx context.Context, g *errgroup.Group, addr string) (*net.UDPConn, error) {
	pc, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("messages between dispatchers: %w", err)
	}
	g.Go(func() error {
		<-ctx.Done()
		return pc.Close()
	})
	return pc.(*net.UDPConn), nil
}

// carry forwards the messages that one dispatcher sends to a socket.
func (p *Peers) carry(socket *net.UDPConn, from int, to []int) {
	buf := make([]byte, maxDatagram)
	for {
		n, sender, err := socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			if isClosed(err) {
				return
			}
			continue
		}
		if netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port()) != p.listen[from] {
			continue
		}
		passed := 0
		for _, j := range to {
			if cut, _ := p.cuts.cut(p.region(from), p.region(j), Outward); cut {
				continue // a message across a cut is lost
			}
			if _, err := p.sockets[j][from].WriteToUDPAddrPort(buf[:n], p.listen[j]); err == nil {
				passed++
			}
		}
		p.traffic.datagram(n, passed)
	}
}
