package test

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/testenv"
)

// SIGHUP under load: the node switches to the discovery named by the replaced file, although EDGE_DISCOVERY still
// names the old one. It loses no job, follows a drain listed only by the new discovery, ignores an invalid file, and
// shuts down on SIGTERM as usual.
func TestReload(t *testing.T) {
	s := newTestNode(t, 2, 20*time.Millisecond)
	next, err := testenv.NewDiscovery(s.ctx, s.g)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range s.executors {
		next.Put(b, "ready")
	}
	s.start()
	drained := s.executors[0]
	hup := func() {
		if err := s.process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	done := make(chan struct{})
	var load, jobs errgroup.Group
	load.Go(func() error {
		for n := 1; ; n++ {
			select {
			case <-done:
				return nil
			case <-time.After(15 * time.Millisecond):
			}
			jobs.Go(func() error {
				m, err := s.post("tile-charge", fmt.Sprintf("%016x", n))
				if err == nil && m.Status != 200 && m.Status != 503 {
					err = fmt.Errorf("%d %s", m.Status, m.Body)
				}
				return err
			})
		}
	})
	s.until("the executor that will drain has jobs", func() bool { return len(drained.Starts()) > 3 })
	s.writeConfig(next.Addr, defaultSettings)
	hup()
	s.until("the new discovery is watched", func() bool { return next.Watches() == 1 })
	next.Put(drained, "draining")
	drainedAt := time.Now()

	s.writeConfig("nowhere", defaultSettings)
	hup()
	s.until("the invalid address is rejected", func() bool { return s.logContains("discovery: address nowhere") })
	if err := os.WriteFile(s.dir+"/config.json", []byte(`{"name":"n0","settings":{`), 0o600); err != nil {
		t.Fatal(err)
	}
	hup()
	s.until("the file that is not JSON is rejected", func() bool { return s.logContains("not valid JSON") })

	time.Sleep(time.Until(drainedAt.Add(700 * time.Millisecond)))
	close(done)
	if err := errors.Join(load.Wait(), jobs.Wait()); err != nil {
		t.Errorf("job without an expected answer: %v", err)
	}
	for _, x := range drained.Starts() {
		if late := x.At.Sub(drainedAt); late > 500*time.Millisecond {
			t.Errorf("job %s was sent %v after the new discovery listed the drain", x.ID, late)
		}
	}
	if s.discovery.Watches() != 1 || next.Watches() != 1 {
		t.Errorf("%d watches of the old discovery, %d of the new one, want 1 each", s.discovery.Watches(), next.Watches())
	}
	if err := s.terminate(); err != nil {
		t.Errorf("shutdown after a reload: %v", err)
	}
}
