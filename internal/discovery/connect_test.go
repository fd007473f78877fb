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

// failingDialer fails as often as a test says before it connects, and notes the pauses between.
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

// A lack of this machine ends no call: it is made again after pauses that double up to a bound, and nobody is
// notified of a failure.
func TestLocalConnectErrorsAreRetriedWithinACall(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EINTR,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			c, sink, list, box, run := prepare(t, testenv.Lim)
			dialer := &failingDialer{errno: errno, failures: 7}
			c.dial, c.sleep = dialer.dial, dialer.sleep
			list.Put(box, "ready")
			run()
			testenv.Until(t, "the list", func() bool { return len(sink.All()) == 1 })
			if first := sink.All()[0]; first.Form != dispatch.ListSnapshot {
				t.Errorf("first notified: %+v", first)
			}
			dialer.mu.Lock()
			defer dialer.mu.Unlock()
			if len(dialer.pauses) != dialer.failures {
				t.Fatalf("pauses: %v", dialer.pauses)
			}
			for i, want := 0, connectBackoffMin; i < dialer.failures; i, want = i+1, min(2*want, connectBackoffMax) {
				if dialer.pauses[i] != want {
					t.Errorf("pause %d: %v, want %v", i, dialer.pauses[i], want)
				}
			}
		})
	}
}

// A lack that lasts ends the call once its time is over, as one that failed, and the next is made: the pauses of
// a call and the wait for the next stay within the time by which changes count as notified.
func TestLocalConnectErrorsThatLastEndTheCall(t *testing.T) {
	c, sink, list, box, run := prepare(t, testenv.Lim)
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
			inOneCall = 0 // the next call has begun
		}
		if inOneCall += pause; inOneCall > testenv.Lim.ListCall+connectBackoffMax {
			t.Fatalf("pauses of one call: over %v", inOneCall)
		}
	}
}

// What the other side or the way to it answers ends a call at once, as before: it is a sign of discovery's state.
func TestRemoteConnectErrorsEndTheCall(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			c, sink, list, box, run := prepare(t, testenv.Lim)
			dialer := &failingDialer{errno: errno, failures: 1}
			c.dial, c.sleep = dialer.dial, dialer.sleep
			list.Put(box, "ready")
			run()
			testenv.Until(t, "the list, by another call", func() bool {
				all := sink.All()
				return len(all) > 0 && all[len(all)-1].Form == dispatch.ListSnapshot
			})
			// After silence the next call is made here, and the decision module is not notified.
			if failed := sink.All()[0].Form == dispatch.ListFailed; failed != (errno != syscall.ETIMEDOUT) {
				t.Errorf("notified of a failure: %v", failed)
			}
			dialer.mu.Lock()
			defer dialer.mu.Unlock()
			if len(dialer.pauses) != 0 {
				t.Errorf("pauses: %v", dialer.pauses)
			}
		})
	}
}
