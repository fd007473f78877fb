package measure

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// processorTime is the processor time this process has used so far, of all its threads, the collector's included.
func processorTime() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &at); err != nil {
		panic(fmt.Sprintf("measure: the processor clock cannot be read: %v", err))
	}
	return time.Duration(at.Nano())
}

// heapBytes is the memory that live objects take, after a collection.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// leastRounds and leastSpan bound how long one figure is measured: long enough that the clock's grain does not show, short
// enough that a whole role stays under a minute.
const (
	leastRounds = 3
	leastSpan   = 400 * time.Millisecond
)

// perOperation runs an operation again and again and gives the processor time of one.
func perOperation(operation func() error) (time.Duration, error) {
	for range leastRounds {
		if err := operation(); err != nil {
			return 0, err
		}
	}
	runtime.GC()
	before, rounds := processorTime(), 0
	for rounds < leastRounds || processorTime()-before < leastSpan {
		if err := operation(); err != nil {
			return 0, err
		}
		rounds++
	}
	return (processorTime() - before) / time.Duration(rounds), nil
}
