package testenv

import (
	"math"
	"runtime"
)

// stackGrowthRuns is how often StackGrowth measures. Stacks in use are counted in spans of 32 KB, and any other goroutine
// can take another span meanwhile; growth that f causes is there each time.
const stackGrowthRuns = 5

// StackGrowth returns by how many bytes at least the stacks in use grow while a new goroutine runs f, of several times.
// A stack that f has grown is kept until the figure is read. Tests that call it must not run in parallel with others.
func StackGrowth(f func()) int {
	least := math.MaxInt
	for range stackGrowthRuns {
		least = min(least, stackGrowth(f))
	}
	return least
}

func stackGrowth(f func()) int {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ran, end := make(chan struct{}), make(chan struct{})
	go func() {
		f()
		close(ran)
		<-end
	}()
	<-ran
	runtime.ReadMemStats(&after)
	close(end)
	return int(after.StackInuse) - int(before.StackInuse)
}
