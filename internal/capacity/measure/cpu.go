package measure

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// processorTime returns the processor time that all threads of this process have used, including the garbage collector.
func processorTime() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &at); err != nil {
		panic(fmt.Sprintf("measure: cannot read the processor clock: %v", err))
	}
	return time.Duration(at.Nano())
}

// heapBytes returns the memory of live objects after a garbage collection.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// minRounds and minSpan bound the measurement of one value: long enough that the resolution of the clock does not
// matter, and short enough that a whole role takes less than a minute.
const (
	minRounds = 3
	minSpan   = 400 * time.Millisecond
)

// perOperation repeats an operation and returns the mean processor time of one call.
func perOperation(operation func() error) (time.Duration, error) {
	for range minRounds {
		if err := operation(); err != nil {
			return 0, err
		}
	}
	runtime.GC()
	before, rounds := processorTime(), 0
	for rounds < minRounds || processorTime()-before < minSpan {
		if err := operation(); err != nil {
			return 0, err
		}
		rounds++
	}
	return (processorTime() - before) / time.Duration(rounds), nil
}
