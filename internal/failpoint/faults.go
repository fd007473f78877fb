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

// GATETACK_STOP_AT names the point at which the process stops, once. GATETACK_HOLD_AT names a point at which each goroutine that
// reaches it blocks for ever while the process continues. GATETACK_CLOCK is how far the wall clock is ahead ("1h") or behind ("-1h").
// GATETACK_LINKS lists proxies as "address=proxy,...".
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
	ahead, _ := time.ParseDuration(os.Getenv("GATETACK_CLOCK")) // an empty value means no offset
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

// stop stops the process, with this goroutine exactly at this point. The signal goes to the current thread, since after a signal to
// the process this goroutine could run on until its thread receives it.
func stop() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	_ = unix.Tgkill(os.Getpid(), unix.Gettid(), unix.SIGSTOP)
}
