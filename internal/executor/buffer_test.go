package executor

import "golang.org/x/sys/unix"

func setReceiveBuffer(fd uintptr, n int) error {
	return unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n)
}
