//go:build faults && steppedclock

package failpoint

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// stepPollInterval is how often the file that sets the wall clock is read.
const stepPollInterval = 2 * time.Millisecond

// GATETACK_CLOCK_FILE names a file with the seconds by which the wall clock of the process is off. It is followed while the process
// runs; once a change is in force, a file beside it with the suffix .done holds the same. The build is made with a copy of package
// time whose Now adds SetWallStep's seconds to the wall clock, and leaves the monotonic clock as it is.
func init() {
	path := os.Getenv("GATETACK_CLOCK_FILE")
	if path == "" {
		return
	}
	go func() {
		last := ""
		for ; ; time.Sleep(stepPollInterval) {
			data, err := os.ReadFile(path)
			text := strings.TrimSpace(string(data))
			seconds, bad := strconv.ParseInt(text, 10, 64)
			if err != nil || bad != nil || text == last {
				continue
			}
			time.SetWallStep(seconds)
			if os.WriteFile(path+".done", data, 0o600) == nil {
				last = text
			}
		}
	}()
}
