package main

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"gatetack/internal/config"
	"gatetack/internal/testenv"
)

// A passed listening socket is used, and connections to it reach the node. A descriptor that is not open or not a
// listening socket causes an error at the start that names the variable; the node does not open its own socket instead.
//
// Each descriptor that the test passes has a single owner. If an os.File of the test closed it as well, the second
// close would hit whatever file got the same number in between: this made the test flaky, and in a trial that opened a
// file between the two closes, 100 of 100 files were lost.
func TestPassedSocketIsServedAndOtherDescriptorsAreRejected(t *testing.T) {
	passed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = passed.Close() }()
	f, err := passed.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	ln, err := listen(&config.Config{Listen: passed.Addr().String(), PassedSocket: duplicateDescriptor(t, f)},
		testenv.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if ln.Addr().String() != passed.Addr().String() {
		t.Fatalf("listener address %s, want that of the passed socket, %s", ln.Addr(), passed.Addr())
	}
	go func() {
		if c, err := net.Dial("tcp", passed.Addr().String()); err == nil {
			_ = c.Close()
		}
	}()
	if c, err := ln.Accept(); err != nil {
		t.Fatalf("accept on the passed socket: %v", err)
	} else {
		_ = c.Close()
	}
	plain, err := os.CreateTemp(t.TempDir(), "plain")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = plain.Close() }()
	for _, fd := range []int{duplicateDescriptor(t, plain), 1 << 20} {
		if ln, err := listen(&config.Config{Listen: "127.0.0.1:1", PassedSocket: fd}, testenv.DiscardLog); err == nil {
			_ = ln.Close()
			t.Errorf("descriptor %d was accepted as a listening socket", fd)
		} else if !strings.Contains(err.Error(), "EDGE_PASSED_SOCKET") {
			t.Errorf("descriptor %d: error %v does not name the variable", fd, err)
		}
	}
}

// duplicateDescriptor returns a duplicate of a file's descriptor, which its receiver owns.
func duplicateDescriptor(t *testing.T, file *os.File) int {
	t.Helper()
	descriptor, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return descriptor
}
