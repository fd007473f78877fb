package tcpinfo

import (
	"errors"
	"slices"
	"syscall"
)

// localConnectErrors are those of socket(2) and connect(2) that name a lack on this machine: of ports,
// descriptors, memory, a route or a permission. They say nothing of the other side, to which nothing was sent.
var localConnectErrors = []syscall.Errno{
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN,
	syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENETDOWN, syscall.ENETUNREACH,
	syscall.EACCES, syscall.EPERM,
	syscall.EINTR,
}

// IsLocalConnectError says whether a connection could not be made for a reason on this machine alone.
func IsLocalConnectError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localConnectErrors, errno)
}
