//go:build faults

package failpoint

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// GATETACK_STOP_AT names the point, GATETACK_CLOCK says how far the clock is ahead ("1h") or behind ("-1h"), and GATETACK_LINKS
// has "address=proxy,...".
func init() {
	var done atomic.Bool
	if stop := os.Getenv("GATETACK_STOP_AT"); stop != "" {
		at = func(point string) {
			if stop == point && !done.Swap(true) {
				_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
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
