//go:build faults

package failpoint

import (
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// GATETACK_STOP_AT names the point at which the process stops, once, and GATETACK_HOLD_AT one past which nobody gets while the
// process goes on; GATETACK_CLOCK says how far the clock is ahead ("1h") or behind ("-1h"), and GATETACK_LINKS
// has "address=proxy,...".
func init() {
	var done atomic.Bool
	last, hold := os.Getenv("GATETACK_STOP_AT"), os.Getenv("GATETACK_HOLD_AT")
	if last != "" || hold != "" {
		at = func(point string) {
			if point == last && !done.Swap(true) {
				stop()
			}
			if point == hold {
				select {}
			}
		}
	}
	ahead, _ := time.ParseDuration(os.Getenv("GATETACK_CLOCK")) // empty: none
	wall = func() time.Time { return time.Now().Add(ahead) }
	links := map[string]string{}
	for pair := range strings.SplitSeq(os.Getenv("GATETACK_LINKS"), ",") {
		if addr, proxy, ok := strings.Cut(pair, "="); ok {
			links[addr] = proxy
		}
	}
	via = func(addr string) string {
		if proxy, ok := links[addr]; ok {
			return proxy
		}
		return addr
	}
}

// stop stops the process, this goroutine at this very point: a signal to the process would let it run on until its thread is told.
func stop() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	_ = unix.Tgkill(os.Getpid(), unix.Gettid(), unix.SIGSTOP)
}
