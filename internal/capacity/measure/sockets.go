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

// Traffic is the traffic of connections as counted by the kernel.
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

// trafficOf returns the traffic of one connection.
func trafficOf(c net.Conn) (Traffic, error) {
	var sum Traffic
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return sum, fmt.Errorf("measure: connection is a %T, expected a TCP connection", c)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return sum, err
	}
	var info *unix.TCPInfo
	var optionErr error
	if err := raw.Control(func(fd uintptr) { info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return sum, err
	}
	if optionErr != nil {
		return sum, optionErr
	}
	sum.add(info)
	return sum, nil
}

// ownSockets calls each for all TCP sockets of this process. It skips sockets that are closed in the meantime.
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

// openTraffic returns the total traffic of the open TCP connections of this process.
func openTraffic() (Traffic, error) {
	var sum Traffic
	err := ownSockets(func(_ int, info *unix.TCPInfo) { sum.add(info) })
	return sum, err
}

// establishedConnections counts the established connections of this process whose local address is in addresses.
func establishedConnections(addresses map[string]bool) (int, error) {
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
