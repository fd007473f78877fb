// Package tcpinfo asks the kernel about TCP connections: how much of what was written the peer's machine has not
// acknowledged, whether something has come on an idle one, and why one could not be made. It has no state and no
// goroutines.
//
// A write that returned says only that the bytes are in this machine's buffers: to the writer, a peer that reads
// one byte a second looks like any other.
package tcpinfo

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Info is what the kernel knows of a connection (TCP_INFO, SIOCOUTQ: tcp(7)).
type Info struct {
	Unacknowledged   int           // bytes written that the peer's machine has not acknowledged, sent or not
	Unsent           int           // of them, those not sent: its window is closed, or the path is slow
	Acknowledged     uint64        // bytes acknowledged since the connection was made
	RTT              time.Duration // smoothed round trip
	ZeroWindowProbes int           // unanswered probes of a closed window in a row
}

// Unacknowledged is how many bytes written to a connection its peer's machine has not acknowledged. It is zero
// where the kernel knows nothing of the connection, as of one in memory.
func Unacknowledged(c net.Conn) int {
	n := 0
	control(c, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return n
}

// Get returns all of it; ok is false where the kernel knows nothing of the connection.
func Get(c net.Conn) (info Info, ok bool) {
	control(c, func(fd int) {
		t, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		n, _ := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		info = Info{Unacknowledged: n, Unsent: int(t.Notsent_bytes), Acknowledged: t.Bytes_acked,
			RTT: time.Duration(t.Rtt) * time.Microsecond, ZeroWindowProbes: int(t.Probes)}
		ok = true
	})
	return info, ok
}

// SetBuffers limits what the kernel buffers for a connection, in bytes each way; 0 leaves a direction to the
// kernel. The kernel doubles the figure for its own keeping (socket(7)), and no longer tunes the buffer by
// itself.
func SetBuffers(c net.Conn, send, receive int) {
	if t, ok := c.(*net.TCPConn); ok {
		if send > 0 {
			_ = t.SetWriteBuffer(send)
		}
		if receive > 0 {
			_ = t.SetReadBuffer(receive)
		}
	}
}

// SetUserTimeout bounds how long the kernel waits for acknowledgements before it gives the connection up, a
// closed one with unsent bytes too (TCP_USER_TIMEOUT, tcp(7); RFC 5482): closing frees the descriptor, not the
// bytes.
func SetUserTimeout(c net.Conn, after time.Duration) {
	control(c, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
	})
}

// NothingToRead says that the other side has neither closed a connection nor written to it.
func NothingToRead(c net.Conn) bool {
	nothing := false
	control(c, func(fd int) { nothing = !Readable(uintptr(fd)) })
	return nothing
}

// Readable says whether a read would return, with bytes or the connection's end.
func Readable(fd uintptr) bool {
	var b [1]byte
	_, err := receive(int(fd), b[:], unix.MSG_PEEK)
	return !errors.Is(err, unix.EAGAIN)
}

// ReadReceived reads into b what has come on a connection, whatever its deadlines, and returns how much that
// was. It does not wait.
func ReadReceived(c net.Conn, b []byte) int {
	n := 0
	control(c, func(fd int) { n, _ = receive(fd, b, 0) })
	return max(n, 0)
}

// receive makes one receive call that does not wait, and makes it again if a signal interrupts it.
func receive(fd int, b []byte, flags int) (n int, err error) {
	for {
		if n, _, err = unix.Recvfrom(fd, b, flags|unix.MSG_DONTWAIT); !errors.Is(err, unix.EINTR) {
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
