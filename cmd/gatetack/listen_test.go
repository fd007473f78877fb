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

// A passed listening socket is taken as it is, and connections to it reach the node; a descriptor that is no listening
// socket, or not open, is an error at the start that names it, never a listener of its own.
//
// The test failed at times: it passed the number of a descriptor that an os.File of its own closed as well, and the
// second close ended whatever had got the number meanwhile (in a trial that opened a file between the two closes, 100
// of 100 files were lost). The program has one owner of what it is passed, and so has the test now.
func TestPassedSocketIsServedAndAnyOtherDescriptorIsAnError(t *testing.T) {
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
	ln, err := listen(&config.Config{Listen: passed.Addr().String(), PassedSocket: passOn(t, f)}, testenv.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if ln.Addr().String() != passed.Addr().String() {
		t.Fatalf("listens at %s, the passed socket at %s", ln.Addr(), passed.Addr())
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
	for _, fd := range []int{passOn(t, plain), 1 << 20} {
		if ln, err := listen(&config.Config{Listen: "127.0.0.1:1", PassedSocket: fd}, testenv.DiscardLog); err == nil {
			_ = ln.Close()
			t.Errorf("descriptor %d taken for a listening socket", fd)
		} else if !strings.Contains(err.Error(), "EDGE_PASSED_SOCKET") {
			t.Errorf("descriptor %d: %v does not name the variable", fd, err)
		}
	}
}

// passOn gives a descriptor of a file's that whoever it is passed to owns.
func passOn(t *testing.T, file *os.File) int {
	t.Helper()
	descriptor, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return descriptor
}
