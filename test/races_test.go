package test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// A node that is shutting down gets SIGHUP and a second SIGTERM, while one of its jobs runs longer than the time after
// which the node may be killed, and a connection has half a request. The job is answered, the request is answered once
// it is complete, the configuration is reloaded, and the process exits without an error.
func TestRepeatedSignalsDuringShutdown(t *testing.T) {
	s := newTestNode(t, 1, 4500*time.Millisecond)
	s.start()
	var g errgroup.Group
	g.Go(func() error {
		m, err := s.post("tile-charge", "00000000000000a1")
		if err == nil && m.Status != 200 {
			t.Errorf("answer to the job: %d %s", m.Status, m.Body)
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
	s.until("the node is shutting down", func() bool { return s.logContains("msg=leaving") })
	signal(syscall.SIGHUP)
	s.until("the node has reloaded its configuration", func() bool { return s.logContains("msg=reload") })
	_, _ = io.WriteString(half, "st\r\nConnection: close\r\n\r\n")
	if all, err := io.ReadAll(half); err != nil || len(all) < 12 || string(all[9:12]) != "200" {
		t.Errorf("answer to the request that was incomplete at SIGTERM: %q %v", all, err)
	}
	signal(syscall.SIGTERM)
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	select {
	case err := <-s.exited:
		if s.process = nil; err != nil {
			t.Errorf("the process exited with %v", err)
		}
	case <-time.After(30 * time.Second):
		t.Error("the process did not exit within 30 s of the second SIGTERM")
	}
}
