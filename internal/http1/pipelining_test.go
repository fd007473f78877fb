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

// A client's end is seen while its request is handled though bytes stand before it: half a request, some
// requests, more than the ring holds, more than the kernel hands over at a time.
func TestHandlerContextEndsWhenClientLeavesBehindBytes(t *testing.T) {
	for _, behind := range []int{1, 200, lim.RingBytes, lim.RingBytes + 1, 300 << 10} {
		t.Run(fmt.Sprint(behind, " bytes"), func(t *testing.T) {
			addr, began, left := serveUntilGone(t)
			c := dial(t, addr)
			_, _ = io.WriteString(c, get)
			<-began // from here on the request is handled: what follows stands behind it
			if _, err := io.WriteString(c, strings.Repeat(get, behind/len(get)+1)[:behind]); err != nil {
				t.Fatal(err)
			}
			_ = c.Close()
			left()
			if len(began) > 0 {
				t.Error("a request of a client that has gone was handled")
			}
		})
	}
}

// What came behind a request that is still handled is answered in its turn, without a wait for more: whole
// requests, and one whose rest comes later.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	began, on := make(chan bool, 100), make(chan bool)
	s, addr := serve(t, lim, func(context.Context, *Message) Response {
		began <- true
		<-on
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
	<-began
	_, _ = io.WriteString(c, get+get+get[:7])
	waitFor(t, "the server has the bytes", func() bool { return takenIn(s) })
	for range 3 {
		on <- true
		answered()
	}
	_, _ = io.WriteString(c, get[7:])
	on <- true
	answered()
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain:", what)
		}
	}
}

// The last answer of a connection comes whole, and then its end and no reset, though the client had sent more
// than was read: before the answer, and after it.
func TestLastAnswerIsNotReset(t *testing.T) {
	for _, x := range []struct {
		what, request string
		status        int
	}{
		{"a request that asks for the end", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", 200},
		{"a bad request", "BAD\r\n\r\n", 400},
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
				t.Fatalf("%q %v", line, err)
			}
			if _, err := io.WriteString(c, strings.Repeat("z", 2*lim.RingBytes)); err != nil { // crosses the end
				t.Errorf("what the client sent on: %v", err)
			}
			if _, err = io.Copy(io.Discard, in); errors.Is(err, syscall.ECONNRESET) || err != nil {
				t.Errorf("the connection ended with %v", err)
			}
		})
	}
}

// A request that comes after its connection's last answer is not handled: its client sends it elsewhere, and it
// would run twice.
func TestRequestsAfterTheLastAnswerAreNotHandled(t *testing.T) {
	began := make(chan bool, 10)
	_, addr := serve(t, lim, func(context.Context, *Message) Response {
		began <- true
		return Response{Status: 200, Close: true}
	})
	c := dial(t, addr)
	_, _ = io.WriteString(c, get+get)
	if all, err := io.ReadAll(c); err != nil || strings.Count(string(all), "200 OK") != 1 {
		t.Errorf("%v %q", err, all)
	}
	if len(began) != 1 {
		t.Errorf("%d requests were handled", len(began))
	}
}

// A resting connection on which bytes have come is not closed as idle, though nobody has read them yet: here
// nobody reads.
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
			waitFor(t, "the byte has come", func() bool { return !tcpinfo.NothingToRead(nc) })
		}
	}
	s.CloseIdle()
	if server[0].phase != idle || server[1].phase != retiring {
		t.Errorf("phases %d and %d", server[0].phase, server[1].phase)
	}
}

// Where every connection has a request under way, and those past the budget too, a new one is refused as soon as
// its request has come, and is not left waiting until another ends; one that says nothing does not hold the
// door, and with idle ones in the way nothing is refused.
func TestConnectionPastTheReserveIsRejectedAtOnce(t *testing.T) {
	small := lim
	small.ClientConns, small.OverflowConns, small.RejectConns, small.LingerTimeout = 1, 1, 1, 50*time.Millisecond
	hold, began := make(chan bool), make(chan bool, 4)
	defer close(hold)
	s, addr := serve(t, small, func(context.Context, *Message) Response {
		began <- true
		<-hold
		return Response{Status: 200}
	})
	resting := dial(t, addr) // makes place
	_, _ = io.WriteString(resting, "G")
	// While the byte is unread, the connection would not make place, and the second of the others would be rejected.
	waitFor(t, "the byte is read", func() bool { return phases(s)[reading] == 1 })
	for range 2 {
		c := dial(t, addr)
		_, _ = io.WriteString(c, get)
		<-began
	}
	_ = dial(t, addr) // says nothing at the door
	for range 3 {
		c := dial(t, addr)
		_, _ = io.WriteString(c, get)
		all, err := io.ReadAll(c)
		if err != nil || !strings.Contains(string(all), " 503 ") || !strings.Contains(string(all), "Connection: close") {
			t.Fatalf("%v %q", err, all)
		}
	}
	if len(began) != 0 {
		t.Error("a refused request was handled")
	}
}
