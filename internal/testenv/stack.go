package testenv

import "runtime"

// stackGoroutines is the number of goroutines over which StackGrowth takes the mean. The runtime counts stacks in spans
// of 32 KB that several stacks share, so the growth of one stack can count as nothing or as a whole span.
const stackGoroutines = 64

// StackGrowth returns by how many bytes the stack of a goroutine that calls f grows, beyond that of an empty function.
func StackGrowth(f func()) int {
	return max(0, stacksAfter(f)-stacksAfter(func() {})) / stackGoroutines
}

// stacksAfter returns the growth of all stacks by goroutines that have each called f and have not ended yet.
func stacksAfter(f func()) int {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ran, end := make(chan struct{}), make(chan struct{})
	for range stackGoroutines { // one after the other, as f need not be safe for concurrent use
		go func() {
			f()
			ran <- struct{}{}
			<-end
		}()
		<-ran
	}
	runtime.ReadMemStats(&after)
	close(end)
	return int(after.StackInuse) - int(before.StackInuse)
}
