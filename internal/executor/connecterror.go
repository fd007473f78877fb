package executor

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
)

// ConnectError says that no connection to an executor could be opened. Local tells a fault of this machine, which is no
// sign of the executor, from one of the executor or of the path to it.
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
	errConnectionBudget = errors.New("all connections that this node may have to executors are in use")
	errExecutorShare    = errors.New("the executor has its share of this node's connections")
)

// localErrnos are the errors of socket(2) and connect(2) whose cause is on this machine: no descriptor (EMFILE,
// ENFILE), no memory (ENOBUFS, ENOMEM), no free local port (EADDRNOTAVAIL, EAGAIN), no route to the network
// (ENETUNREACH), a local firewall's rule (EPERM, EACCES), or a signal (EINTR).
//
// The others speak of the executor or of the path to it: nobody listens (ECONNREFUSED), the other side reset the
// connection (ECONNRESET), nothing answered (ETIMEDOUT), or a router or the failed address resolution of a neighbour
// says that this one host can't be reached (EHOSTUNREACH, ip(7)). A local table may give EHOSTUNREACH as well, by a
// route for that destination alone; then too only another executor helps.
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

// newConnectError classifies what a dial failed with.
func newConnectError(address string, err error) *ConnectError {
	errno := syscall.Errno(0)
	local := errors.As(err, &errno) && slices.Contains(localErrnos, errno)
	return &ConnectError{Address: address, Local: local, Err: err}
}

// isLocalFault says whether a connection could not be opened because of this machine.
func isLocalFault(err error) bool {
	connect := (*ConnectError)(nil)
	return errors.As(err, &connect) && connect.Local
}

// lacksDescriptors says whether closing a connection of this process may help.
func lacksDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
