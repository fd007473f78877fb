package test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/testenv"
)

// leavingRequest is a tile-charge of a client that will leave.
func leavingRequest(id string) string {
	return "POST /tile-charge/cut HTTP/1.1\r\nHost: a\r\nX-Trace-Id: " + id +
		"\r\nX-Customer: pohjakaart\r\nX-Expires-In-Ms: 7500\r\nIdempotency-Key: key-" + id + "\r\nContent-Length: 0\r\n\r\n"
}

// sendAndLeave sends a request and more bytes behind it, and closes the connection after a while. It returns when it was
// closed.
func sendAndLeave(t *testing.T, addr, request, behind string, after time.Duration) time.Time {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetWriteDeadline(time.Now().Add(after))
	_, _ = io.WriteString(c, request+behind) // as much as the buffers of both sides hold
	time.Sleep(after)
	_ = c.Close()
	return time.Now()
}

// Guards against a request that is sent to an executor after its client has closed the connection with much still unread:
// more of its requests, a large one, or bytes that are none.
func TestRequestOfAClientThatLeftIsNotSent(t *testing.T) {
	t.Parallel()
	const allowed = 150 * time.Millisecond // 0.1 s, and the protocol's 50 ms
	path := buildWithoutRaceDetector(t)
	for name, behind := range map[string]func(i int) string{
		"nothing":        func(int) string { return "" },
		"no requests":    func(int) string { return strings.Repeat("x", 8<<20) },
		"empty lines":    func(int) string { return strings.Repeat("\r\n", 4<<20) },
		"large requests": func(i int) string { return strings.Repeat(leavingLarge(fmt.Sprintf("%016x", i)), 100) },
		"requests": func(i int) string {
			var all strings.Builder
			for k := range 20000 {
				all.WriteString(leavingRequest(fmt.Sprintf("b%07x%08x", i, k)))
			}
			return all.String()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newTestNode(t, 1, 300*time.Millisecond)
			n.program = path
			n.executors[0].Set(func(how *testenv.Behavior) { how.Slots, how.FreeSlots = 1, 1 })
			n.start()
			left := map[string]time.Time{}
			for i := range 12 {
				id := fmt.Sprintf("a%015x", i)
				left[id] = sendAndLeave(t, n.listen, leavingRequest(id), behind(i), 5*time.Millisecond)
			}
			time.Sleep(3 * time.Second)
			for id, starts := range n.starts() {
				at, known := left[id]
				if !known && strings.HasPrefix(id, "b") {
					t.Errorf("request %s behind the first was sent %d times, though its client has left", id, len(starts))
				}
				for _, s := range starts {
					if late := s.At.Sub(at); known && late > allowed {
						t.Errorf("request %s was sent %v after its client had left", id, late.Round(time.Millisecond))
					}
				}
			}
		})
	}
}

func leavingLarge(id string) string {
	request := leavingRequest("c" + id[1:])
	return strings.Replace(request, "Content-Length: 0\r\n\r\n", "Content-Length: 60000\r\n\r\n"+strings.Repeat("y", 60000), 1)
}

// Guards against a tile-charge that runs twice because its ID comes again after its client has left: the attempt that was
// sent may go on, so a copy is refused for as long as it may.
func TestIDOfAClientThatLeftDoesNotRunTwice(t *testing.T) {
	t.Parallel()
	n := newTestNode(t, 2, 700*time.Millisecond)
	n.program = buildWithoutRaceDetector(t)
	n.start()
	c, err := net.Dial("tcp", n.listen)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, leavingRequest(openID))
	n.until("the request runs", func() bool { return len(n.starts()[openID]) == 1 })
	_ = c.Close()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		m, err := testenv.Call(n.listen, "POST", "/tile-charge/cut", nil, testenv.JobFields(openID, timeLeft)...)
		if err != nil || m.Status < 400 {
			t.Errorf("the copy was answered %+v, %v; want an error", m, err)
		}
	}
	if got := n.starts()[openID]; len(got) != 1 {
		t.Errorf("the tile-charge was started %d times, want once", len(got))
	}
}

// The same while one process of a node replaces another: the copy comes to the other process after its client has left the
// first, which then ends.
func TestIDOfAClientThatLeftDoesNotRunTwiceDuringAReplacement(t *testing.T) {
	t.Parallel()
	n := newReplacedNode(t, 2, 2*time.Second)
	n.program = buildWithoutRaceDetector(t)
	old := n.startProcess()
	n.awaitHealthy()
	toOld := n.connectTo()
	n.keepOpen(toOld, timeLeft)
	n.startProcess()
	_ = toOld.Close()
	time.Sleep(50 * time.Millisecond)
	copyIt := func() {
		m, err := testenv.Call(n.listen, "POST", "/tile-charge/cut", nil, testenv.JobFields(openID, timeLeft)...)
		if err == nil && m.Status < 400 {
			t.Errorf("the copy was answered %d", m.Status)
		}
	}
	for range 8 { // to either process
		copyIt()
	}
	old.send(t, syscall.SIGTERM)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		copyIt()
	}
	if got := n.starts()[openID]; len(got) != 1 {
		t.Errorf("the tile-charge was started %d times, want once", len(got))
	}
}
