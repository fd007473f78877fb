package callbackrelay

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gatetack/internal/testenv"
)

// A process alone leaves nothing; beside another, what it passes reaches the other once and whole, and is gone from
// the directory then; a marker of a process that is gone does not count.
func TestPass(t *testing.T) {
	dir := t.TempDir()
	old, err := Open(dir, time.Millisecond, time.Minute, testenv.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	if old.Pass([]byte("x")) {
		t.Fatal("a callback was left while the process stood alone")
	}
	if err := os.WriteFile(filepath.Join(dir, "p999999999"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if old.Pass([]byte("x")) {
		t.Fatal("a callback was left for a process that is gone")
	}
	// The new process: another pid on the same directory.
	next := &Relay{dir: dir, pid: old.pid + 1, every: time.Millisecond, stale: time.Minute, log: testenv.Quiet}
	if err := os.WriteFile(next.path("p", os.Getppid(), ""), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	body := []byte(`{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"done","result":"tile"}`)
	if !next.Pass(body) {
		t.Fatal("nothing was left beside a process that stands")
	}
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan string, 4)
	done := make(chan error)
	go func() { done <- old.Run(ctx, func(b []byte) bool { got <- string(b); return true }) }()
	select {
	case b := <-got:
		if b != string(body) {
			t.Errorf("took %q, left %q", b, body)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the old process never took the callback")
	}
	testenv.Until(t, "the file removed", func() bool {
		left, _ := filepath.Glob(filepath.Join(dir, "c*"))
		return len(left) == 0
	})
	cancel()
	<-done
	if len(got) != 0 {
		t.Errorf("a callback was taken twice")
	}
}
