package tcpinfo

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// Errors of this machine are distinguished from answers of the peer or of the path to it, however the error is
// wrapped.
func TestIsLocalConnectError(t *testing.T) {
	for errno, want := range map[syscall.Errno]bool{
		syscall.EADDRNOTAVAIL: true, syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true,
		syscall.ENETUNREACH: true, syscall.ENETDOWN: true, syscall.EAGAIN: true, syscall.EPERM: true, syscall.EINTR: true,
		syscall.ECONNREFUSED: false, syscall.ECONNRESET: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false,
	} {
		err := fmt.Errorf("connecting: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)})
		if got := IsLocalConnectError(err); got != want {
			t.Errorf("%v: local %v", errno, got)
		}
	}
	if IsLocalConnectError(nil) || IsLocalConnectError(errors.New("EMFILE")) {
		t.Error("an error without an errno counts as local")
	}
}
