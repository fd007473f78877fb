package measure

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Traffic is what went over connections, as the kernel counts it.
type Traffic struct {
	BytesOut    uint64 `json:"bytes_out"`
	BytesIn     uint64 `json:"bytes_in"`
	SegmentsOut uint64 `json:"segments_out"`
	SegmentsIn  uint64 `json:"segments_in"`
}

func (t *Traffic) add(info *unix.TCPInfo) {
	t.BytesOut += info.Bytes_sent
	t.BytesIn += info.Bytes_received
	t.SegmentsOut += uint64(info.Segs_out)
	t.SegmentsIn += uint64(info.Segs_in)
}

// trafficOf is what went over one connection.
func trafficOf(c net.Conn) (Traffic, error) {
	var sum Traffic
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return sum, fmt.Errorf("measure: a connection of %T, not of TCP", c)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return sum, err
	}
	var info *unix.TCPInfo
	var asked error
	if err := raw.Control(func(fd uintptr) { info, asked = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return sum, err
	}
	if asked != nil {
		return sum, asked
	}
	sum.add(info)
	return sum, nil
}

// ownSockets calls each for all TCP sockets of this process. Those that are closed meanwhile are passed over.
func ownSockets(each func(fd int, info *unix.TCPInfo)) error {
	const folder = "/proc/self/fd"
	names, err := os.ReadDir(folder)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	for _, name := range names {
		link, err := os.Readlink(filepath.Join(folder, name.Name()))
		if err != nil || !strings.HasPrefix(link, "socket:") {
			continue
		}
		fd, err := strconv.Atoi(name.Name())
		if err != nil {
			continue
		}
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			each(fd, info)
		}
	}
	return nil
}

// openTraffic adds up what went over this process's open TCP connections.
func openTraffic() (Traffic, error) {
	var sum Traffic
	err := ownSockets(func(_ int, info *unix.TCPInfo) { sum.add(info) })
	return sum, err
}

// standingConnections counts this process's connections whose own address is one of some.
func standingConnections(addresses map[string]bool) (int, error) {
	n := 0
	err := ownSockets(func(fd int, info *unix.TCPInfo) {
		const established = 1
		own, err := unix.Getsockname(fd)
		if v4, ok := own.(*unix.SockaddrInet4); err == nil && ok && info.State == established &&
			addresses[netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), uint16(v4.Port)).String()] {
			n++
		}
	})
	return n, err
}
