package discovery

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/testenv"
)

// failingDialer fails a given number of dials before it connects, and records the pauses between them.
type failingDialer struct {
	errno    syscall.Errno
	failures int

	mu     sync.Mutex
	calls  int
	pauses []time.Duration
}

func (d *failingDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d.mu.Lock()
	d.calls++
	fails := d.calls <= d.failures
	d.mu.Unlock()
	if fails {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", d.errno)}
	}
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}

func (d *failingDialer) sleep(_ context.Context, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pauses = append(d.pauses, pause)
}

// A fault of this machine does not end a call: the dial is retried after pauses that double up to a limit, and no
// failure is reported.
func TestLocalConnectErrorsAreRetriedWithinACall(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			c, sink, list, box, run := prepare(t, testenv.Limits)
			dialer := &failingDialer{errno: errno, failures: 7}
			c.dial, c.sleep = dialer.dial, dialer.sleep
			list.Put(box, "ready")
			run()
			testenv.Until(t, "the list", func() bool { return len(sink.All()) == 1 })
			if first := sink.All()[0]; first.Form != dispatch.ListSnapshot {
				t.Errorf("first update: %+v, want a snapshot", first)
			}
			dialer.mu.Lock()
			defer dialer.mu.Unlock()
			if len(dialer.pauses) != dialer.failures {
				t.Fatalf("pauses %v, want one after each failure", dialer.pauses)
			}
			for i, want := 0, connectBackoffMin; i < dialer.failures; i, want = i+1, min(2*want, connectBackoffMax) {
				if dialer.pauses[i] != want {
					t.Errorf("pause %d: %v, want %v", i, dialer.pauses[i], want)
				}
			}
		})
	}
}

// A lasting fault of this machine ends the call as failed once the time for a call is over, and the next call is made.
// The pauses of a call and the wait for the next call stay within the time after which changes count as notified.
func TestLastingLocalConnectErrorsEndTheCall(t *testing.T) {
	c, sink, list, box, run := prepare(t, testenv.Limits)
	dialer := &failingDialer{errno: syscall.EADDRNOTAVAIL, failures: 100}
	c.dial, c.sleep = dialer.dial, dialer.sleep
	list.Put(box, "ready")
	run()
	testenv.Until(t, "the failure and the list", func() bool {
		all := sink.All()
		return len(all) > 1 && all[0].Form == dispatch.ListFailed && all[len(all)-1].Form == dispatch.ListSnapshot
	})
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	inOneCall := time.Duration(0)
	for _, pause := range dialer.pauses {
		if pause == connectBackoffMin {
			inOneCall = 0 // the next call has started
		}
		if inOneCall += pause; inOneCall > testenv.Limits.ListCallTimeout+connectBackoffMax {
			t.Fatalf("the pauses of one call add up to %v, more than a call may take", inOneCall)
		}
	}
}

// An error that comes from discovery or from the path to it ends a call at once, since it is a sign of discovery's
// state.
func TestRemoteConnectErrorsEndTheCall(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			c, sink, list, box, run := prepare(t, testenv.Limits)
			dialer := &failingDialer{errno: errno, failures: 1}
			c.dial, c.sleep = dialer.dial, dialer.sleep
			list.Put(box, "ready")
			run()
			testenv.Until(t, "the list, by another call", func() bool {
				all := sink.All()
				return len(all) > 0 && all[len(all)-1].Form == dispatch.ListSnapshot
			})
			// After a time-out the next call is decided by the tracker, and the dispatch module is not notified.
			if failed := sink.All()[0].Form == dispatch.ListFailed; failed != (errno != syscall.ETIMEDOUT) {
				t.Errorf("failure reported: %v", failed)
			}
			dialer.mu.Lock()
			defer dialer.mu.Unlock()
			if len(dialer.pauses) != 0 {
				t.Errorf("pauses %v, want none", dialer.pauses)
			}
		})
	}
}
