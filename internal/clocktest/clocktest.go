// Package clocktest makes the times that a program reads after its wall clock was set: the wall clock has moved, the
// monotonic clock runs on. Tests pass them to code that is given the time. Nothing that is shipped imports it.
package clocktest

import (
	"fmt"
	"time"
	"unsafe"
)

// Steps are the steps of the wall clock that decisions have to bear, either way.
var Steps = []time.Duration{time.Second, 30 * time.Second, time.Hour, -time.Second, -30 * time.Second, -time.Hour}

// representation is the memory layout of time.Time. With a monotonic reading, wall holds a flag, 33 bits of seconds
// and 30 bits of nanoseconds, and extension the monotonic reading.
type representation struct {
	wall      uint64
	extension int64
	location  *time.Location
}

const nanosecondBits = 30

// Step returns a time with the same monotonic reading and a wall clock that was set by whole seconds. It panics for
// other steps, for times without a monotonic reading, and where the layout of time.Time is no longer the one that it
// knows.
func Step(t time.Time, by time.Duration) time.Time {
	stepped := t
	r := (*representation)(unsafe.Pointer(&stepped))
	r.wall += uint64(int64(by/time.Second) << nanosecondBits)
	if by%time.Second != 0 || stepped.Sub(t) != 0 || stepped.Round(0).Sub(t.Round(0)) != by {
		panic(fmt.Sprintf("clocktest: %v can not be stepped by %v", t, by))
	}
	return stepped
}
