package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/tcpinfo"
)

const get = "GET / HTTP/1.1\r\n\r\n"

// A disconnect is detected while a request is handled even if bytes precede it: half a request, several requests, more
// than the ring holds, or more than one read returns.
func TestHandlerContextEndsOnDisconnectBehindBytes(t *testing.T) {
	for _, behind := range []int{1, 200, lim.RingBytes, lim.RingBytes + 1, 300 << 10} {
		t.Run(fmt.Sprint(behind, " bytes"), func(t *testing.T) {
			addr, started, waitForDisconnect := serveUntilDisconnect(t)
			c := dial(t, addr)
			_, _ = io.WriteString(c, get)
			<-started // the request is in progress: the following bytes are pipelined behind it
			if _, err := io.WriteString(c, strings.Repeat(get, behind/len(get)+1)[:behind]); err != nil {
				t.Fatal(err)
			}
			_ = c.Close()
			waitForDisconnect()
			if len(started) > 0 {
				t.Error("a request of a disconnected client was handled")
			}
		})
	}
}

// Requests pipelined behind a request in progress are answered in order, without waiting for more bytes. This includes
// a request whose rest arrives later.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	started, release := make(chan bool, 100), make(chan bool)
	s, addr := serve(t, lim, func(context.Context, *Message) Response {
		started <- true
		<-release
		return Response{Status: 200}
	})
	c := dial(t, addr)
	in := bufio.NewReader(c)
	answered := func() {
		t.Helper()
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if line == "\r\n" {
				return
			}
		}
	}
	_, _ = io.WriteString(c, get)
	<-started
	_, _ = io.WriteString(c, get+get+get[:7])
	waitFor(t, "the server has read the bytes", func() bool { return pipelinedBytesRead(s) })
	for range 3 {
		release <- true
		answered()
	}
	_, _ = io.WriteString(c, get[7:])
	release <- true
	answered()
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached within 20 s:", what)
		}
	}
}

// A client gets the complete last response of a connection and then EOF, not a reset, although it sent more bytes than
// the server read, both before and after the response.
func TestLastResponseIsNotReset(t *testing.T) {
	for _, x := range []struct {
		what, request string
		status        int
	}{
		{"a request with Connection: close", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", 200},
		{"a malformed request", "BAD\r\n\r\n", 400},
	} {
		t.Run(x.what, func(t *testing.T) {
			_, addr := serve(t, lim, func(context.Context, *Message) Response {
				return Response{Status: 200, Body: []byte(strings.Repeat("x", 1000))}
			})
			c := dial(t, addr)
			if _, err := io.WriteString(c, x.request+strings.Repeat("y", 2*lim.RingBytes)); err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(c)
			line, err := in.ReadString('\n')
			if err != nil || !strings.Contains(line, fmt.Sprint(x.status)) {
				t.Fatalf("got status line %q, %v", line, err)
			}
			if _, err := io.WriteString(c, strings.Repeat("z", 2*lim.RingBytes)); err != nil { // crosses the FIN
				t.Errorf("write after the response: %v", err)
			}
			if _, err = io.Copy(io.Discard, in); errors.Is(err, syscall.ECONNRESET) || err != nil {
				t.Errorf("the connection ended with %v, want EOF", err)
			}
		})
	}
}

// A request that arrives after the last response of its connection is not handled: the client resends it on another
// connection, and it would run twice.
func TestRequestsAfterLastResponseAreNotHandled(t *testing.T) {
	started := make(chan bool, 10)
	_, addr := serve(t, lim, func(context.Context, *Message) Response {
		started <- true
		return Response{Status: 200, Close: true}
	})
	c := dial(t, addr)
	_, _ = io.WriteString(c, get+get)
	if all, err := io.ReadAll(c); err != nil || strings.Count(string(all), "200 OK") != 1 {
		t.Errorf("error %v, got %q, want one response with status 200", err, all)
	}
	if len(started) != 1 {
		t.Errorf("%d requests were handled, want 1", len(started))
	}
}

// CloseIdle keeps a connection with bytes in the kernel that nobody has read yet. In this test nobody reads them.
func TestCloseIdleKeepsConnectionsWithUnreadBytes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	s := NewServer(lim, nil, nil, quietLog)
	var server [2]*conn
	for i := range server {
		c := dial(t, ln.Addr().String())
		nc, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		server[i] = newConn(nc, &lim)
		s.admit(server[i])
		if i == 0 {
			_, _ = io.WriteString(c, get[:1])
			waitFor(t, "the byte has arrived", func() bool { return !tcpinfo.NothingToRead(nc) })
		}
	}
	s.CloseIdle()
	if server[0].phase != idle || server[1].phase != retiring {
		t.Errorf("phases %d and %d, want idle and retiring", server[0].phase, server[1].phase)
	}
}

// If all connections up to the overflow reserve have a request in progress, a new connection is rejected as soon as its
// request arrives, instead of waiting until another one closes. A connection without a request does not block the
// rejections, and nothing is rejected while an idle connection can be evicted.
func TestConnectionOverReserveIsRejectedAtOnce(t *testing.T) {
	small := lim
	small.ClientConns, small.OverflowConns, small.RejectConns, small.LingerTimeout = 1, 1, 1, 50*time.Millisecond
	hold, started := make(chan bool), make(chan bool, 4)
	defer close(hold)
	s, addr := serve(t, small, func(context.Context, *Message) Response {
		started <- true
		<-hold
		return Response{Status: 200}
	})
	resting := dial(t, addr) // is evicted
	_, _ = io.WriteString(resting, "G")
	// While the byte is unread, the connection is not evictable, and the second of the others would be rejected.
	waitFor(t, "the byte is read", func() bool { return phases(s)[reading] == 1 })
	for range 2 {
		c := dial(t, addr)
		_, _ = io.WriteString(c, get)
		<-started
	}
	_ = dial(t, addr) // sends nothing
	for range 3 {
		c := dial(t, addr)
		_, _ = io.WriteString(c, get)
		all, err := io.ReadAll(c)
		if err != nil || !strings.Contains(string(all), " 503 ") || !strings.Contains(string(all), "Connection: close") {
			t.Fatalf("error %v, got %q, want status 503 and Connection: close", err, all)
		}
	}
	if len(started) != 0 {
		t.Error("a rejected request was handled")
	}
}
