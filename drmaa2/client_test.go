package drmaa2

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
)

// fakeNode sends a fixed status and body as the response to each request, and closes a connection after a number of
// responses without announcing it.
type fakeNode struct {
	address     string
	requests    atomic.Int32
	connections atomic.Int32
}

func startFakeNode(t *testing.T, answersPerConnection int, status, body string) *fakeNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	n := &fakeNode{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n.connections.Add(1)
			go n.answer(conn, answersPerConnection, status, body)
		}
	}()
	return n
}

func (n *fakeNode) answer(conn net.Conn, answers int, status, body string) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for range answers {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = request.Body.Close()
		n.requests.Add(1)
		answer := "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " +
			strconv.Itoa(len(body)) + "\r\nRetry-After: 1.5\r\n\r\n" + body
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// A GET is sent again on a new connection when the idle one had been closed, and reaches the node once.
func TestGetIsRetriedOnClosedIdleConnection(t *testing.T) {
	node := startFakeNode(t, 1, "200 OK", `{"jobId":"n0-1","jobState":"DONE"}`)
	client := New(node.address, "")
	defer client.Close()
	for range 3 {
		info, err := client.Job(t.Context(), "n0-1")
		if err != nil || info.JobState != StateDone {
			t.Fatalf("job info %+v, error %v", info, err)
		}
	}
	if got := node.requests.Load(); got != 3 {
		t.Errorf("node received %d requests, want 3", got)
	}
	if got := node.connections.Load(); got != 3 {
		t.Errorf("%d connections, want 3", got)
	}
}

func TestIdleConnectionIsReused(t *testing.T) {
	node := startFakeNode(t, 10, "200 OK", `{}`)
	client := New(node.address, "")
	defer client.Close()
	for range 5 {
		if _, err := client.Job(t.Context(), "n0-1"); err != nil {
			t.Fatal(err)
		}
	}
	if got := node.connections.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

func TestErrorHasCodeFieldAndRetryAfter(t *testing.T) {
	node := startFakeNode(t, 1, "503 Unavailable", `{"error":"TRY_LATER","field":"jobs","message":"too many"}`)
	client := New(node.address, "")
	defer client.Close()
	_, err := client.Job(t.Context(), "n0-1")
	rejection, ok := errors.AsType[*Error](err)
	if !ok || !errors.Is(err, &Error{Code: CodeTryLater}) {
		t.Fatalf("%v, want %s", err, CodeTryLater)
	}
	if rejection.Status != http.StatusServiceUnavailable || rejection.RetryAfter != 1500*time.Millisecond {
		t.Errorf("error fields %+v", rejection)
	}
	if got := err.Error(); got != "TRY_LATER (jobs): too many" {
		t.Errorf("error text %q", got)
	}
}

func TestOtherErrorResponseIsInternal(t *testing.T) {
	node := startFakeNode(t, 1, "502 Bad Gateway", "upstream is down\n")
	client := New(node.address, "")
	defer client.Close()
	_, err := client.Job(t.Context(), "n0-1")
	if !errors.Is(err, &Error{Code: CodeInternal}) || err.Error() != "INTERNAL: status 502: upstream is down" {
		t.Errorf("error %v, want INTERNAL with the status and the body", err)
	}
}

// An event is delivered once its line is complete, wherever the bytes are split, and the cursor is updated with it.
func TestEventReaderJoinsLinesAtEverySplit(t *testing.T) {
	stream := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const body = `{"cursor":"1","jobId":"a"}` + "\n\n" + `{"cursor":"2","jobId":"b"}` + "\n"
	for split := range len(body) {
		parser := http1.NewParser(limits.New(0, 0, 0, 0, 0), true)
		cursor := ""
		var jobs []string
		reader := &eventReader{parser: parser, after: &cursor, each: func(e Event) error {
			jobs = append(jobs, e.JobID)
			return nil
		}}
		parser.BodySink = reader.read
		in := http1.NewRing(1 << 16)
		chunks := stream + chunk(body[:split]) + chunk(body[split:]) + "0\r\n\r\n"
		server, client := net.Pipe()
		go func() { _, _ = server.Write([]byte(chunks)) }()
		if _, err := parser.Read(in, client); err != nil {
			t.Fatalf("split at %d: %v", split, err)
		}
		if cursor != "2" || !slices.Equal(jobs, []string{"a", "b"}) {
			t.Errorf("split at %d: jobs %v, cursor %q", split, jobs, cursor)
		}
		_, _ = server.Close(), client.Close()
	}
}

func chunk(data string) string {
	if data == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}
