package http1

import (
	"context"
	"io"
	"testing"
	"time"
)

// serveFirstRequests serves a budget of four connections, two in the overflow reserve and one that is rejected, which
// keep the given grace for first requests, and any time for the rest of a request.
func serveFirstRequests(t *testing.T, grace time.Duration) (*Server, string) {
	t.Helper()
	small := lim
	small.ClientConns, small.OverflowConns, small.RejectConns = 4, 2, 1
	small.FirstRequestGrace, small.SlowPeers.RequestTimeout = grace, time.Minute
	return serve(t, small, func(context.Context, *Message) Response { return Response{Status: 200} })
}

// connectWithHalfRequests opens connections that send a part of a request and stop.
func connectWithHalfRequests(t *testing.T, addr string, count int) {
	t.Helper()
	for range count {
		c := dial(t, addr)
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
	}
}

// Guards against a usual client whose new connection is closed, before its request arrives, for clients that connect
// again and again and send half requests.
func TestNewConnectionIsKeptForItsFirstRequest(t *testing.T) {
	s, addr := serveFirstRequests(t, time.Minute)
	usual := dial(t, addr)
	connectWithHalfRequests(t, addr, 20)
	waitFor(t, "the budget is used up by half requests", func() bool { return phases(s)[reading] >= 4 })
	_, _ = io.WriteString(usual, get)
	expect(t, usual, 1)
}

// Guards against clients that hold all connections with half requests for longer than the grace.
func TestHalfRequestsMakeRoomAfterTheGrace(t *testing.T) {
	s, addr := serveFirstRequests(t, 20*time.Millisecond)
	connectWithHalfRequests(t, addr, 20)
	waitFor(t, "the budget is used up by half requests", func() bool { return phases(s)[reading] >= 4 })
	usual := dial(t, addr)
	_, _ = io.WriteString(usual, get)
	expect(t, usual, 1)
}
