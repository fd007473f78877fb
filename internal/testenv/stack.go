package testenv

import "runtime"

// StackGrowth returns by how many bytes the stacks in use grow while a new goroutine runs f. A stack that f has grown is
// kept until the figure is read. Tests that call it must not run in parallel with others.
func StackGrowth(f func()) int {
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
