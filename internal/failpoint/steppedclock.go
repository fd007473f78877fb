//go:build faults && steppedclock

package failpoint

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// stepPollInterval is how often the file that sets the offset of the wall clock is read.
const stepPollInterval = 2 * time.Millisecond

// GATETACK_CLOCK_FILE names a file with the offset of the process's wall clock in seconds. The file is polled while the process
// runs; once a change is applied, its content is written to a file of the same name with the suffix .done. The build uses a copy of
// package time whose Now adds the seconds of SetWallStep to the wall clock and leaves the monotonic clock unchanged.
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
