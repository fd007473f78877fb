package executor

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
)

// ConnectError reports that no connection to an executor could be opened. Local is true for a fault of this machine,
// which is no sign of a fault of the executor or of the path to it.
type ConnectError struct {
	Address string
	Local   bool
	Err     error
}

func (e *ConnectError) Error() string {
	if e.Local {
		return fmt.Sprintf(
			"executor: connect to %s: %v; the cause is on this node: check its descriptors, memory, local ports and routes",
			e.Address,
			e.Err,
		)
	}
	return fmt.Sprintf("executor: connect to %s: %v", e.Address, e.Err)
}

func (e *ConnectError) Unwrap() error { return e.Err }

var (
	errConnectionBudget = errors.New("the node's limit of connections to executors is reached")
	errExecutorShare    = errors.New("the executor has reached its share of the node's connections")
)

// localErrnos lists the errors of socket(2) and connect(2) whose cause is on this machine: no descriptor (EMFILE,
// ENFILE), no memory (ENOBUFS, ENOMEM), no free local port (EADDRNOTAVAIL, EAGAIN), no route to the network
// (ENETUNREACH), a rule of the local firewall (EPERM, EACCES), or a signal (EINTR).
//
// The other errors concern the executor or the path to it: nothing listens (ECONNREFUSED), the peer reset the
// connection (ECONNRESET), nothing answered (ETIMEDOUT), or a router or the failed address resolution of a neighbour
// reports that this one host is unreachable (EHOSTUNREACH, ip(7)). A local table can cause EHOSTUNREACH too, by a
// route for that destination alone; then, too, only another executor can be used.
var localErrnos = []syscall.Errno{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
	syscall.EAGAIN,
	syscall.ENETUNREACH,
	syscall.EPERM,
	syscall.EACCES,
	syscall.EINTR,
}

// newConnectError classifies the error of a dial.
func newConnectError(address string, err error) *ConnectError {
	errno := syscall.Errno(0)
	local := errors.As(err, &errno) && slices.Contains(localErrnos, errno)
	return &ConnectError{Address: address, Local: local, Err: err}
}

// isLocalFault reports whether a connection could not be opened because of this machine.
func isLocalFault(err error) bool {
	connect := (*ConnectError)(nil)
	return errors.As(err, &connect) && connect.Local
}

// lacksDescriptors reports whether closing a connection of this process may help.
func lacksDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
