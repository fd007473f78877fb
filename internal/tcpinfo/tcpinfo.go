// Package tcpinfo gets information about TCP connections from the kernel: how many written bytes the peer's kernel has
// not acknowledged, whether data has arrived on an idle connection, and whether a connect failed because of this
// machine. It has no state and no goroutines.
//
// A write that returns shows only that the bytes are in this machine's buffers: to the writer, a peer that reads one
// byte per second looks like any other.
package tcpinfo

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Info is what the kernel reports about a connection (TCP_INFO, SIOCOUTQ: tcp(7)).
type Info struct {
	Unacknowledged   int           // bytes written that the peer's kernel has not acknowledged, sent or not
	Unsent           int           // those of them not sent yet, because the peer's window is closed or the path is slow
	Acknowledged     uint64        // bytes acknowledged since the connection was opened
	RTT              time.Duration // smoothed round-trip time
	ZeroWindowProbes int           // consecutive unanswered probes of a closed window
}

// Unacknowledged returns how many bytes written to a connection the peer's kernel has not acknowledged. It returns 0
// if the kernel has no information, for example for an in-memory connection.
func Unacknowledged(c net.Conn) int {
	n := 0
	control(c, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return n
}

// Get returns the kernel's information about a connection; ok is false if it has none.
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

// SetBuffers limits the kernel's buffers for a connection, in bytes per direction; 0 leaves a direction unchanged. The
// kernel doubles the value to allow for its own overhead (socket(7)), and no longer tunes the buffer automatically.
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

// SetUserTimeout limits how long the kernel waits for acknowledgements before it aborts a connection, including a
// closed one with unsent bytes (TCP_USER_TIMEOUT, tcp(7); RFC 5482): closing a connection frees its descriptor but not
// these bytes.
func SetUserTimeout(c net.Conn, after time.Duration) {
	control(c, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
	})
}

// NothingToRead reports whether the peer has neither closed a connection nor sent anything on it.
func NothingToRead(c net.Conn) bool {
	nothing := false
	control(c, func(fd int) { nothing = !Readable(uintptr(fd)) })
	return nothing
}

// Readable reports whether a read would return at once, with data or the end of the connection.
func Readable(fd uintptr) bool {
	var b [1]byte
	_, err := receive(int(fd), b[:], unix.MSG_PEEK)
	return !errors.Is(err, unix.EAGAIN)
}

// ReadReceived reads the data already received on a connection into b, regardless of its deadlines, and returns the
// number of bytes. It does not block.
func ReadReceived(c net.Conn, b []byte) int {
	n := 0
	control(c, func(fd int) { n, _ = receive(fd, b, 0) })
	return max(n, 0)
}

// receive calls recvfrom(2) without blocking, and repeats the call if a signal interrupts it.
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
