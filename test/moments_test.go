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

// jobRequest returns the bytes of a job request whose client allows it the given time in milliseconds.
func jobRequest(id string, timeLeftMs int) string {
	return fmt.Sprintf("POST /tile-charge/cut HTTP/1.1\r\nHost: test\r\nX-Trace-Id: %s\r\nX-Customer: pohjakaart\r\n"+
		"X-Expires-In-Ms: %d\r\nIdempotency-Key: key-%s\r\nContent-Length: 4\r\n\r\nbody", id, timeLeftMs, id)
}

// connect opens a connection to the node that is closed at the end of the test.
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

// awaitExitOrTimeout waits for the program to exit and returns its exit error.
func (s *testNode) awaitExitOrTimeout() error {
	s.t.Helper()
	select {
	case err := <-s.exited:
		s.process = nil
		return err
	case <-time.After(30 * time.Second):
		return fmt.Errorf("the program did not exit within 30 s")
	}
}

// A client pipelines two jobs on one connection. The deadline of the second counts from its own last byte. It has
// passed when the first is done, so the second is answered without being sent. If the deadline counted from the start
// of its processing, the second would be sent with more time left than its client allows.
func TestDeadlineOfPipelinedJob(t *testing.T) {
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
		t.Errorf("%d jobs were sent, want 1", n)
	}
}

// A job arrives when a node that is shutting down is about to exit: its connection is in the accept queue of the
// listener. The client gets a complete answer, the job is not sent, and the process exits without an error.
func TestJobArrivesDuringExit(t *testing.T) {
	s := newTestNode(t, 1, 10*time.Millisecond)
	s.env = []string{"GATETACK_STOP_AT=" + failpoint.Shutdown}
	s.start()
	if err := s.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	s.until("the process is about to exit", s.isStopped)
	c := s.connect() // accepted by the kernel, as the process is stopped
	if _, err := io.WriteString(c, jobRequest("00000000000000b3", 7500)); err != nil {
		t.Fatal(err)
	}
	if err := s.process.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if all, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(all), "HTTP/1.1 503 ") {
		t.Errorf("%q %v", all, err)
	}
	if err := s.awaitExitOrTimeout(); err != nil {
		t.Errorf("the process exited with %v", err)
	}
	if n := len(s.executors[0].Starts()); n != 0 {
		t.Errorf("%d jobs were sent, want 0", n)
	}
}

// A node gets SIGTERM before it listens. The process exits without an error, and no client connects before.
func TestSigtermBeforeListening(t *testing.T) {
	s := newTestNode(t, 1, 10*time.Millisecond)
	s.startWithoutWaiting("GATETACK_STOP_AT=" + failpoint.Listen)
	s.until("the process is about to listen", s.isStopped)
	if c, err := net.Dial("tcp", s.listen); err == nil {
		_ = c.Close()
		t.Fatal("the process already listens")
	}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGCONT} {
		if err := s.process.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.awaitExitOrTimeout(); err != nil {
		t.Errorf("the process exited with %v", err)
	}
	if !s.logContains("msg=leaving") {
		t.Error("the process did not log the shutdown on SIGTERM")
	}
}
