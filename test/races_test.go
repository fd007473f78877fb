package test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// Signals beside one another: a node that was told to leave is told so again and to read its configuration, while a job of it runs
// on past the time after which it may be killed, and half a request stands on a connection. The job is answered, the request is
// answered once its rest has come, the new list is followed, and the process ends well.
func TestSignalsBesideOneAnother(t *testing.T) {
	s := newTestNode(t, 1, 4500*time.Millisecond)
	s.start()
	var g errgroup.Group
	g.Go(func() error {
		m, err := s.post("tile-charge", "00000000000000a1")
		if err == nil && m.Status != 200 {
			t.Errorf("the job: %d %s", m.Status, m.Body)
		}
		return err
	})
	s.until("the job runs", func() bool { return len(s.executors[0].Starts()) == 1 })
	half, err := net.Dial("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = half.Close() }()
	_, _ = io.WriteString(half, "GET /healthz HTTP/1.1\r\nHost: te")
	signal := func(sig syscall.Signal) {
		t.Helper()
		if err := s.process.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGTERM)
	s.until("it leaves", func() bool { return s.logContains("msg=leaving") })
	signal(syscall.SIGHUP)
	s.until("it has read its configuration", func() bool { return s.logContains("msg=reload") })
	_, _ = io.WriteString(half, "st\r\nConnection: close\r\n\r\n")
	if all, err := io.ReadAll(half); err != nil || len(all) < 12 || string(all[9:12]) != "200" {
		t.Errorf("half a request at the signal: %q %v", all, err)
	}
	signal(syscall.SIGTERM)
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	select {
	case err := <-s.exited:
		if s.process = nil; err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(30 * time.Second):
		t.Error("it does not leave")
	}
}
