package http1

import (
	"io"
	"net"
	"testing"

	"gatetack/internal/sock"
)

// A connection whose request its reader has taken, and which is not parsed yet, makes no place for another.
func TestUnparsedConnectionMakesNoPlace(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	small := lim
	small.ClientConns = 1
	s := NewServer(small, nil, nil, quietLog)
	admit := func() (net.Conn, *conn) {
		t.Helper()
		client := dial(t, ln.Addr().String())
		taken, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := newConn(taken, lim.Ring, lim.Pace.ClientIn, lim.Pace.ClientOut, 0)
		s.admit(c)
		return client, c
	}
	client, oldest := admit()
	go oldest.read(func() {})
	defer close(oldest.want)
	oldest.ask()
	if _, err := io.WriteString(client, get); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the reader has told", func() bool { return len(oldest.got) == 1 })
	if !sock.Quiet(oldest.Conn) {
		t.Fatal("bytes are left in the kernel")
	}
	_, _ = admit()
	if oldest.phase == closed {
		t.Error("shut with a whole request in its ring")
	}
}
