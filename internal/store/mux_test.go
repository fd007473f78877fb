package store

import (
	"context"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/limits"
)

// failingListener is a listener whose first calls of Accept fail.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		return l.Listener.Accept()
	}
	errno := l.failures[0]
	l.failures = l.failures[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// The listener of the store handles errors like those of the fronts: an error of one pending connection does not delay
// the others. With a pause of 5 ms after any error, 200 aborted connections delayed a heartbeat by one second, which is
// twice the heartbeat interval.
func TestConnectionErrorsDoNotDelayTheListener(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: ln}
	for range 200 {
		failing.failures = append(failing.failures, syscall.ECONNABORTED)
	}
	failing.failures = append(failing.failures, syscall.ENOMEM, syscall.ENOMEM, syscall.EMFILE)
	m := newMux(failing, nil, limits.New(0, 0, 0, 0, 0), slog.New(slog.DiscardHandler))
	var pauses []time.Duration
	m.acceptRetry.Sleep = func(_ context.Context, d time.Duration) { pauses = append(pauses, d) }
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return m.run(ctx) })
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	accepted, err := m.callConns.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = accepted.Close()
	_ = client.Close()
	cancel()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	if len(pauses) != 3 || pauses[1] != 2*pauses[0] {
		t.Errorf("pauses %v, want two that double for memory, one for descriptors, none for aborted connections", pauses)
	}
}
