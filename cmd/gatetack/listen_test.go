package main

import (
	"net"
	"os"
	"strings"
	"testing"

	"gatetack/internal/config"
	"gatetack/internal/testenv"
)

// A passed listening socket is taken as it is, and connections to it reach the node; a descriptor that is no listening
// socket, or not open, is an error at the start that names it, never a listener of its own.
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
	ln, err := listen(&config.Config{Listen: passed.Addr().String(), Passed: int(f.Fd())}, testenv.Quiet)
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
	for _, fd := range []int{int(plain.Fd()), 1 << 20} {
		if ln, err := listen(&config.Config{Listen: "127.0.0.1:1", Passed: fd}, testenv.Quiet); err == nil {
			_ = ln.Close()
			t.Errorf("descriptor %d taken for a listening socket", fd)
		} else if !strings.Contains(err.Error(), "EDGE_PASSED_SOCKET") {
			t.Errorf("descriptor %d: %v does not name the variable", fd, err)
		}
	}
}
