package peer

import (
	"context"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/testenv"
)

// faultyConn is a socket whose first reads and writes fail with the given errors.
type faultyConn struct {
	datagramConn
	mu     sync.Mutex
	reads  []syscall.Errno
	writes []syscall.Errno
}

// next removes and returns the first error of a queue.
func (c *faultyConn) next(queue *[]syscall.Errno) (syscall.Errno, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(*queue) == 0 {
		return 0, false
	}
	errno := (*queue)[0]
	*queue = (*queue)[1:]
	return errno, true
}

func (c *faultyConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	if errno, fails := c.next(&c.reads); fails {
		return 0, netip.AddrPort{}, &net.OpError{Op: "read", Err: os.NewSyscallError("recvfrom", errno)}
	}
	return c.datagramConn.ReadFromUDPAddrPort(b)
}

func (c *faultyConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if errno, fails := c.next(&c.writes); fails {
		return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("sendto", errno)}
	}
	return c.datagramConn.WriteToUDPAddrPort(b, to)
}

// Errors of single datagrams stop neither the reads nor the writes of a node. A write that a signal interrupts is
// repeated.
func TestDatagramErrorsStopNeitherReadsNorWrites(t *testing.T) {
	errnos := []syscall.Errno{
		syscall.ENOBUFS, syscall.EPERM, syscall.ECONNREFUSED, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
		syscall.ENOMEM, syscall.EAGAIN, syscall.EMSGSIZE, syscall.EINTR,
	}
	var addrs []string
	var sockets []*Socket
	var sinks []*sink
	for range 2 {
		k := &sink{got: map[uint32]string{}}
		s, err := Listen("127.0.0.1:0", nil, "", testenv.Limits, k, testenv.DiscardLog)
		if err != nil {
			t.Fatal(err)
		}
		addrs, sockets, sinks = append(addrs, s.conn.LocalAddr().String()), append(sockets, s), append(sinks, k)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	defer func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	}()
	faulty := make([]*faultyConn, len(sockets))
	for i, s := range sockets {
		for _, a := range addrs {
			s.peers = append(s.peers, netip.MustParseAddrPort(a))
		}
		faulty[i] = &faultyConn{datagramConn: s.conn, reads: slices.Clone(errnos), writes: slices.Clone(errnos)}
		s.conn = faulty[i]
		g.Go(func() error { return s.Run(ctx) })
	}
	// Each message is lost, except the one whose write fails with EINTR.
	for _, errno := range errnos {
		sockets[0].SendGossip(1, []byte(errno.Error()))
	}
	interrupted := syscall.EINTR.Error()
	testenv.Until(t, "the message whose write was interrupted", func() bool { return sinks[1].has(0, interrupted) })
	sockets[0].SendGossip(1, []byte("last"))
	testenv.Until(t, "the last message", func() bool { return sinks[1].has(0, "last") })
	if _, left := faulty[0].next(&faulty[0].writes); left {
		t.Error("not all writes were made")
	}
	if _, left := faulty[1].next(&faulty[1].reads); left {
		t.Error("not all reads were made")
	}
}

// A read error caused by an earlier datagram leads to no pause. Other errors, such as a lack of memory, do, since the
// loop would spin otherwise.
func TestAsyncSendErrorsCauseNoPause(t *testing.T) {
	for errno, want := range map[syscall.Errno]bool{
		syscall.ECONNREFUSED: true, syscall.EHOSTUNREACH: true, syscall.ENETUNREACH: true, syscall.EINTR: true,
		syscall.ENOMEM: false, syscall.ENOBUFS: false, syscall.EIO: false,
	} {
		if got := isAsyncSendError(&net.OpError{Op: "read", Err: os.NewSyscallError("recvfrom", errno)}); got != want {
			t.Errorf("%v: counts as an error of an earlier send: %v", errno, got)
		}
	}
	if readBackoff <= 0 || readBackoff > 10*time.Millisecond {
		t.Errorf("the pause after other errors is %v, want more than 0 and at most 10ms", readBackoff)
	}
}
