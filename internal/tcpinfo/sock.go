// Package tcpinfo asks the kernel about TCP connections: what was written and not yet read by the peer's machine, whether
// an idle connection still stands, and how much the kernel may hold. A write that has returned says only that the bytes
// are in this machine's buffers; a peer that reads one byte a second looks, to the writer, like any other.
package tcpinfo

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Info is what the kernel tells of a connection (TCP_INFO, SIOCOUTQ: tcp(7)).
type Info struct {
	Queued int           // bytes written that the peer's machine has not acknowledged, sent or not
	Unsent int           // of them, those not sent: its window is closed, or the path is slow
	Acked  uint64        // bytes acknowledged since the connection was made
	Trip   time.Duration // smoothed round trip
	Probes int           // unanswered probes of a closed window in a row
}

// Queued is how many bytes written to a connection its peer's machine has not acknowledged. Zero where the kernel is
// not asked about such a connection, as for one in memory.
func Queued(c net.Conn) int {
	n := 0
	control(c, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return n
}

// Of asks for all of it; ok is false where the kernel does not tell.
func Of(c net.Conn) (info Info, ok bool) {
	control(c, func(fd int) {
		t, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		n, _ := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		info = Info{Queued: n, Unsent: int(t.Notsent_bytes), Acked: t.Bytes_acked,
			Trip: time.Duration(t.Rtt) * time.Microsecond, Probes: int(t.Probes)}
		ok = true
	})
	return info, ok
}

// Bound limits what the kernel buffers for a connection, in bytes each way; 0 leaves a direction to the kernel. The
// kernel doubles the figure for its own keeping (socket(7)), and no longer tunes the buffer by itself.
func Bound(c net.Conn, send, receive int) {
	if t, ok := c.(*net.TCPConn); ok {
		if send > 0 {
			_ = t.SetWriteBuffer(send)
		}
		if receive > 0 {
			_ = t.SetReadBuffer(receive)
		}
	}
}

// Forget bounds how long the kernel goes on sending what a closed connection still holds (TCP_USER_TIMEOUT, tcp(7);
// RFC 5482): closing frees the descriptor, not the bytes.
func Forget(c net.Conn, after time.Duration) {
	control(c, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
	})
}

// Quiet says that the other side has neither closed a connection nor written to it.
func Quiet(c net.Conn) bool {
	alive := false
	control(c, func(fd int) { alive = !Readable(uintptr(fd)) })
	return alive
}

// Readable looks whether a read would return, with bytes or the connection's end.
func Readable(fd uintptr) bool {
	var b [1]byte
	_, err := receive(int(fd), b[:], unix.MSG_PEEK)
	return !errors.Is(err, unix.EAGAIN)
}

// Take reads into b what has come on a connection, without waiting and whatever its deadlines are, and tells how much that was.
func Take(c net.Conn, b []byte) int {
	n := 0
	control(c, func(fd int) { n, _ = receive(fd, b, 0) })
	return max(n, 0)
}

// receive receives without waiting, and again where a signal came between.
func receive(fd int, b []byte, flags int) (n int, err error) {
	for {
		if n, _, err = unix.Recvfrom(fd, b, flags|unix.MSG_DONTWAIT); err != unix.EINTR {
			return n, err
		}
	}
}

func control(c net.Conn, f func(fd int)) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := s.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}
