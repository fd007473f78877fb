package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"gatetack/internal/limits"
	"gatetack/internal/slowpeer"
	_ "gatetack/internal/testrand"
)

var lim = limits.New(0, 0, 0, 0, 0)

// pieces is a reader that returns data in reads of the sizes in cuts.
type pieces struct {
	data []byte
	cuts []int
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	n := len(p.data)
	if len(p.cuts) > 0 {
		n, p.cuts = min(n, p.cuts[0]), p.cuts[1:]
	}
	n = copy(b, p.data[:n])
	p.data = p.data[n:]
	return n, nil
}

// parse reads messages until the input ends.
func parse(response bool, ring int, data []byte, cuts []int) (out []*Message, err error) {
	src, r, p := &pieces{data, cuts}, NewRing(ring), NewParser(lim, response)
	for {
		m, err := p.Feed(r)
		if err != nil {
			return out, err
		}
		if m != nil {
			out = append(out, m)
			continue
		}
		if _, err := r.Fill(src); err != nil {
			if m, err = p.End(); m != nil {
				out = append(out, m)
			}
			return out, err
		}
	}
}

var genName = rapid.StringMatching(`X-[A-Za-z]{1,8}`)
var genValue = rapid.StringMatching(`([!-~]([ -~]{0,10}[!-~])?)?`)

func genFields(t *rapid.T) []Field {
	var out []Field
	for range rapid.IntRange(0, 5).Draw(t, "fields") {
		out = append(out, Field{genName.Draw(t, "name"), genValue.Draw(t, "value")})
	}
	return out
}

// The parser reads back the messages that the writer wrote, for any split into reads, any ring size, and several
// messages on one connection.
func TestParserReadsBackMessagesForAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := rapid.Bool().Draw(t, "response")
		ring := rapid.IntRange(1, 64).Draw(t, "ring")
		var wire bytes.Buffer
		var want []*Message
		for range rapid.IntRange(1, 3).Draw(t, "messages") {
			w := NewWriter(&wire, ring)
			m := &Message{Minor: 1, Fields: genFields(t)}
			if n := rapid.IntRange(0, 200).Draw(t, "body"); n > 0 {
				m.Body = rapid.SliceOfN(rapid.Byte(), n, n).Draw(t, "bytes")
			}
			var err error
			if response {
				m.Status = rapid.SampledFrom([]int{200, 202, 400, 503}).Draw(t, "status")
				err = w.Response(&Response{Status: m.Status, Fields: m.Fields, Body: m.Body})
			} else {
				m.Method, m.Target = "POST", "/"+rapid.StringMatching(`[a-z/?=]{0,20}`).Draw(t, "target")
				err = errors.Join(w.Request(m.Method, m.Target, m.Fields, m.Body), w.Flush())
			}
			if err != nil {
				t.Fatal(err)
			}
			m.Fields = append(m.Fields[:len(m.Fields):len(m.Fields)], Field{"Content-Length", fmt.Sprint(len(m.Body))})
			want = append(want, m)
		}
		cuts := rapid.SliceOf(rapid.IntRange(1, 40)).Draw(t, "cuts")
		got, err := parse(response, ring, wire.Bytes(), cuts)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%v\ngot  %+v\nwant %+v", err, got, want)
		}
	})
}

// A chunked body is reassembled for any split into chunks and reads.
func TestChunkedBodyIsReassembled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		var wire bytes.Buffer
		wire.WriteString("HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n")
		for rest := body; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
			fmt.Fprintf(&wire, "%x;ext=1\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		wire.WriteString("0\r\nTrailer: x\r\n\r\n")
		got, err := parse(true, 16, wire.Bytes(), rapid.SliceOf(rapid.IntRange(1, 20)).Draw(t, "cuts"))
		if err != nil || len(got) != 1 || !bytes.Equal(got[0].Body, body) {
			t.Fatalf("got %v, %v, want one message with the sent body", got, err)
		}
	})
}

// Random bytes, alone or within a valid message, result in a message or an error, but never in a panic, an endless loop
// or a body over the limit.
func TestParserSurvivesGarbage(t *testing.T) {
	valid := []byte("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc" +
		"GET /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n0\r\n\r\n")
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte(nil), valid...)
		if rapid.Bool().Draw(t, "noise") {
			data = rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		} else {
			for range rapid.IntRange(1, 4).Draw(t, "hits") {
				data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		got, err := parse(rapid.Bool().Draw(t, "response"), 8, data, rapid.SliceOf(rapid.IntRange(1, 9)).Draw(t, "cuts"))
		var he *Error
		if err != nil && (!errors.As(err, &he) || he.Status < 400) {
			t.Fatalf("got error %v, want an *Error with a 4xx or 5xx status", err)
		}
		for _, m := range got {
			if len(m.Body) > lim.BodyBytes {
				t.Fatal("the parser returned a body over the limit")
			}
		}
	})
}

// The parser rejects messages that are malformed, too large, or ambiguous (request smuggling).
func TestParserRejectsMalformedMessages(t *testing.T) {
	for _, c := range []struct {
		text   string
		status int
	}{
		{"GET / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\nContent-Length: +3\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
		{"GET / HTTP/1.1\r\nA : b\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400},
		{"GET / HTTP/1.1\nA: b\n\n", 400},
		{"GET / HTTP/2.0\r\n\r\n", 505},
		{"GET /\r\n\r\n", 400},
		{"GET /\x80 HTTP/1.1\r\n\r\n", 400},
		{"GET /a\tb HTTP/1.1\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\nA: b\x01c\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\nA: b\x7f\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413},
		{"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", 413},
		{"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", 400},
		{"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n", 400},
		{"GET /" + strings.Repeat("a", 9000) + " HTTP/1.1\r\n\r\n", 431},
		{"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 65) + "\r\n", 431},
		{"GET / HTTP/1.1\r\n" + strings.Repeat("A: "+strings.Repeat("b", 4000)+"\r\n", 5) + "\r\n", 431},
		{"GET / HT", 400},
	} {
		var he *Error
		if _, err := parse(false, 64, []byte(c.text), nil); !errors.As(err, &he) || he.Status != c.status {
			t.Errorf("%.60q: got error %v, want status %d", c.text, err, c.status)
		}
	}
	largest := "POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("b", 65536)
	if m, err := parse(false, 64, []byte(largest), nil); err != nil || len(m) != 1 {
		t.Errorf("a body of exactly 64 KiB: %v", err)
	}
	untilEnd := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n\r\nrest"
	m, err := parse(true, 64, []byte(untilEnd), nil)
	if err != nil || len(m) != 1 || string(m[0].Body) != "rest" || !m[0].Close {
		t.Errorf("body delimited by the end of the connection: got %v, %v", m, err)
	}
}

type handler func(context.Context, *Message) Response

func (h handler) Handle(ctx context.Context, m *Message) Response { return h(ctx, m) }

func serve(t *testing.T, lim limits.Limits, h handler) (*Server, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	s := NewServer(lim, h, &slowpeer.Counters{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g.Go(func() error { return s.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return s, ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// The context of a request ends when its client disconnects while the request is handled.
func TestHandlerContextEndsOnDisconnect(t *testing.T) {
	addr, started, waitForDisconnect := serveUntilDisconnect(t)
	c := dial(t, addr)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
	<-started
	_ = c.Close()
	waitForDisconnect()
}

// serveUntilDisconnect starts a server whose handler blocks until the client of the request disconnects. started
// receives a value when a request starts; waitForDisconnect waits until a request has ended in this way.
func serveUntilDisconnect(t *testing.T) (addr string, started chan bool, waitForDisconnect func()) {
	started, ended := make(chan bool, 100), make(chan bool, 100)
	_, addr = serve(t, lim, func(ctx context.Context, _ *Message) Response {
		started <- true
		<-ctx.Done()
		ended <- true
		return Response{Status: 200}
	})
	return addr, started, func() {
		t.Helper()
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Fatal("the context of the request did not end within 20 s")
		}
	}
}

// The server keeps connections alive and answers pipelined requests in order. It answers a malformed request and closes
// its connection. After Drain each response closes its connection.
func TestServerKeepsConnections(t *testing.T) {
	s, addr := serve(t, lim, func(_ context.Context, m *Message) Response { return Response{Status: 200, Body: m.Body} })
	c := dial(t, addr)
	const post = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n"
	_, _ = io.WriteString(c, post+"a"+post+"b"+"BAD\r\n\r\n")
	all, err := io.ReadAll(c)
	if err != nil || strings.Count(string(all), "200 OK") != 2 || !strings.Contains(string(all), "400 Bad Request") {
		t.Errorf("got %q, %v, want two responses with status 200 and one with 400", all, err)
	}
	s.Drain()
	c = dial(t, addr)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
	if all, err = io.ReadAll(c); err != nil || !strings.Contains(string(all), "Connection: close") {
		t.Errorf("after Drain: error %v, got %q, want Connection: close", err, all)
	}
}

// A connection over the budget gets a response to one request and is then closed. Dropping the connection instead would
// lose a request that the server has already received.
func TestConnectionOverBudgetGetsOneResponse(t *testing.T) {
	small := lim
	small.ClientConns, small.OverflowConns = 1, 4
	hold, started := make(chan bool), make(chan bool, 2)
	_, addr := serve(t, small, func(_ context.Context, m *Message) Response {
		started <- true
		if m.Target == "/hold" {
			<-hold
		}
		return Response{Status: 200}
	})
	a := dial(t, addr)
	_, _ = io.WriteString(a, "GET /hold HTTP/1.1\r\n\r\n")
	<-started
	b := dial(t, addr)
	_, _ = io.WriteString(b, "GET / HTTP/1.1\r\n\r\n")
	all, err := io.ReadAll(b)
	if err != nil || !strings.Contains(string(all), "200 OK") || !strings.Contains(string(all), "Connection: close") {
		t.Errorf("connection over the budget: error %v, got %q, want status 200 and Connection: close", err, all)
	}
	close(hold)
}

// Closing idle connections loses no request: each request is either answered, or its connection is closed before the
// handler has seen it, so that the client can safely resend it.
func TestCloseIdleLosesNothing(t *testing.T) {
	var handled atomic.Int64
	s, addr := serve(t, lim, func(context.Context, *Message) Response { handled.Add(1); return Response{Status: 200} })
	stop := make(chan bool)
	var closer errgroup.Group
	closer.Go(func() error {
		for {
			select {
			case <-stop:
				return nil
			default:
				s.CloseIdle()
			}
		}
	})
	answered := int64(0)
	for range 300 {
		c := dial(t, addr)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
		all, _ := io.ReadAll(c)
		if strings.Contains(string(all), "200 OK") {
			answered++
		}
		_ = c.Close()
	}
	close(stop)
	_ = closer.Wait()
	if got := handled.Load(); got != answered {
		t.Errorf("%d requests were handled, but %d were answered", got, answered)
	}
}

// A request that is incomplete at its timeout gets status 408, so that slow clients cannot occupy descriptors
// indefinitely.
func TestIncompleteRequestGets408AtTimeout(t *testing.T) {
	quick := lim
	quick.SlowPeers.RequestTimeout = 30 * time.Millisecond
	_, addr := serve(t, quick, func(context.Context, *Message) Response { return Response{Status: 200} })
	c := dial(t, addr)
	_, _ = io.WriteString(c, "GET / HT")
	if all, err := io.ReadAll(c); err != nil || !strings.Contains(string(all), "408") {
		t.Errorf("got error %v, %q, want status 408", err, all)
	}
}

// Connections that send nothing, send half a head, or stay idle after a request of an unknown client are evicted for
// others. Connections of known clients and connections with a request in progress are kept.
func TestIdleUnknownClientsAreEvictedFirst(t *testing.T) {
	small := lim
	small.ClientConns, small.OverflowConns = 8, 4
	hold := make(chan bool)
	_, addr := serve(t, small, func(_ context.Context, m *Message) Response {
		if m.Target == "/hold" {
			<-hold
		}
		return Response{Status: 200, Body: []byte("answer"), KnownClient: m.Method == "POST"}
	})
	ask := func(c net.Conn, method string) error {
		if _, err := io.WriteString(c, method+" / HTTP/1.1\r\n\r\n"); err != nil {
			return err
		}
		_, err := NewParser(lim, true).Read(NewRing(512), c)
		return err
	}
	known := dial(t, addr)
	if err := ask(known, "POST"); err != nil {
		t.Fatal(err)
	}
	busy := dial(t, addr)
	_, _ = io.WriteString(busy, "POST /hold HTTP/1.1\r\n\r\n")
	var others []net.Conn
	for i := range 60 {
		c := dial(t, addr)
		switch i % 3 {
		case 0:
			if err := ask(c, "GET"); err != nil {
				t.Fatalf("connection %d of an unknown client: %v", i, err)
			}
		case 1:
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nA: ")
		}
		others = append(others, c)
	}
	for _, c := range others[:40] { // the newest ones may still be open
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("an unknown client got a second response")
		} else if te := net.Error(nil); errors.As(err, &te) && te.Timeout() {
			t.Fatal("an old connection of an unknown client is still open")
		}
	}
	if err := ask(known, "POST"); err != nil {
		t.Errorf("connection of the known client: %v", err)
	}
	close(hold)
	if _, err := NewParser(lim, true).Read(NewRing(512), busy); err != nil {
		t.Errorf("request in progress: %v", err)
	}
}

// A new connection is closed unless its first request is complete within the request timeout, even if bytes keep
// arriving one by one. After a request, a connection of an unknown client has a shorter idle timeout than one of a
// known client.
func TestWaitForUnknownClientsIsBounded(t *testing.T) {
	quick := lim
	quick.SlowPeers.RequestTimeout, quick.UnknownClientIdleTimeout, quick.ClientIdleTimeout = 100*time.Millisecond,
		100*time.Millisecond, time.Hour
	_, addr := serve(t, quick, func(context.Context, *Message) Response { return Response{Status: 200} })
	sent := map[string]string{"says nothing": "", "drips": "GET / HTTP/1.1\r\nA: ", "stays": "GET / HTTP/1.1\r\n\r\n"}
	for name, text := range sent {
		c := dial(t, addr)
		_, _ = io.WriteString(c, text)
		var g errgroup.Group
		if name == "drips" {
			g.Go(func() error {
				for _, err := io.WriteString(c, "a"); err == nil; _, err = io.WriteString(c, "a") {
					time.Sleep(10 * time.Millisecond)
				}
				return nil
			})
		}
		all, err := io.ReadAll(c)
		if te := net.Error(nil); errors.As(err, &te) && te.Timeout() {
			t.Errorf("%s: the connection is still open", name)
		}
		if name == "says nothing" && len(all) > 0 || name == "stays" && !strings.Contains(string(all), "200") {
			t.Errorf("%s: unexpected response %q", name, all)
		}
		_ = g.Wait()
	}
}

// Request bodies share a total limit while they are in memory, and release their share afterwards.
func TestBodiesShareBudget(t *testing.T) {
	small := lim
	small.TotalBodyBytes = 100
	s, addr := serve(t, small, func(_ context.Context, m *Message) Response { return Response{Status: 200, Body: m.Body} })
	first := dial(t, addr)
	_, _ = io.WriteString(first, "POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n")
	for end := time.Now().Add(20 * time.Second); s.bodyBytes.Load() != 60; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the body was not reserved within 20 s")
		}
	}
	chunked := "Transfer-Encoding: chunked\r\n\r\n14\r\n" + strings.Repeat("b", 20) + "\r\n28\r\n"
	for _, text := range []string{"Content-Length: 60\r\n\r\n", chunked} {
		c := dial(t, addr)
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\n"+text)
		if all, err := io.ReadAll(c); err != nil || !strings.Contains(string(all), "503") {
			t.Errorf("%q over the limit: error %v, got %q, want status 503", text, err, all)
		}
	}
	_, _ = io.WriteString(first, strings.Repeat("b", 60))
	if m, err := NewParser(lim, true).Read(NewRing(512), first); err != nil || len(m.Body) != 60 {
		t.Errorf("body of 60 bytes within the limit: got %v, %v", m, err)
	}
	for end := time.Now().Add(20 * time.Second); s.bodyBytes.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("reservation was not released, bytes still reserved:", s.bodyBytes.Load())
		}
	}
}
