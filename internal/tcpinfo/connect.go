package tcpinfo

import (
	"errors"
	"slices"
	"syscall"
)

// localConnectErrors lists the errors of socket(2) and connect(2) that report a shortage or restriction of this
// machine: of ports, descriptors, memory, a route or a permission. They are no sign of a fault of the peer, to which
// nothing was sent.
var localConnectErrors = []syscall.Errno{
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN,
	syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENETDOWN, syscall.ENETUNREACH,
	syscall.EACCES, syscall.EPERM,
	syscall.EINTR,
}

// IsLocalConnectError reports whether a connection failed because of this machine alone.
func IsLocalConnectError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localConnectErrors, errno)
}
