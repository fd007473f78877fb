package test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/failpoint"
	"gatetack/internal/http1"
	"gatetack/internal/testenv"
)

// jobRequest is a job of an id as its bytes, with so many milliseconds left to its client.
func jobRequest(id string, left int) string {
	return fmt.Sprintf("POST /tile-charge/cut HTTP/1.1\r\nHost: test\r\nX-Trace-Id: %s\r\nX-Customer: pohjakaart\r\n"+
		"X-Expires-In-Ms: %d\r\nIdempotency-Key: key-%s\r\nContent-Length: 4\r\n\r\nbody", id, left, id)
}

// connect opens a connection to the node that ends with the test.
func (s *testNode) connect() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return c
}

// ends waits for the end of the program and says how it ended.
func (s *testNode) ends() error {
	s.t.Helper()
	select {
	case err := <-s.exited:
		s.process = nil
		return err
	case <-time.After(30 * time.Second):
		return fmt.Errorf("it does not end")
	}
}

// A client sends two jobs at once on one connection. The time of the second is counted from its own last byte: once the first is
// done it is over, and the second is answered and not sent. (Counted from its turn, it went out, and told its executor a time that
// nobody had left.)
func TestTimeOfAJobBehindAnother(t *testing.T) {
	s := newTestNode(t, 1, 1200*time.Millisecond)
	s.start()
	c := s.connect()
	_, _ = io.WriteString(c, jobRequest("00000000000000b1", 7500)+jobRequest("00000000000000b2", 300))
	in, parser := http1.NewRing(4096), http1.NewParser(testenv.Limits, true)
	for i, want := range []int{200, 503} {
		if m, err := parser.Read(in, c); err != nil || m.Status != want {
			t.Fatalf("answer %d: %+v %v, want %d", i, m, err, want)
		}
	}
	if n := len(s.executors[0].Starts()); n != 1 {
		t.Errorf("%d jobs were sent", n)
	}
}

// A job comes in the very moment in which a node that was told to leave has decided to end: its connection stands in the listener's
// queue and nobody has taken it. It gets a whole answer, nothing of it is sent, and the process ends well.
func TestJobInTheMomentOfTheEnd(t *testing.T) {
	s := newTestNode(t, 1, 10*time.Millisecond)
	s.env = []string{"GATETACK_STOP_AT=" + failpoint.Leave}
	s.start()
	if err := s.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	s.until("it is about to end", s.isStopped)
	c := s.connect() // by the kernel: the process stands still
	if _, err := io.WriteString(c, jobRequest("00000000000000b3", 7500)); err != nil {
		t.Fatal(err)
	}
	if err := s.process.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if all, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(all), "HTTP/1.1 503 ") {
		t.Errorf("%q %v", all, err)
	}
	if err := s.ends(); err != nil {
		t.Errorf("it ended with %v", err)
	}
	if n := len(s.executors[0].Starts()); n != 0 {
		t.Errorf("%d jobs were sent", n)
	}
}

// A node is told to leave before it listens: the process ends well by itself, and no client was taken before, nor is one lost.
func TestTermBeforeTheListener(t *testing.T) {
	s := newTestNode(t, 1, 10*time.Millisecond)
	s.startWithoutWaiting("GATETACK_STOP_AT=" + failpoint.Listen)
	s.until("it is about to listen", s.isStopped)
	if c, err := net.Dial("tcp", s.listen); err == nil {
		_ = c.Close()
		t.Fatal("it listens already")
	}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGCONT} {
		if err := s.process.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.ends(); err != nil {
		t.Errorf("it ended with %v", err)
	}
	if !s.logContains("msg=leaving") {
		t.Error("the signal was not taken for what it is")
	}
}
