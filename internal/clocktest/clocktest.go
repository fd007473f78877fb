// Package clocktest returns times as a program reads them after its wall clock was set: the wall clock has moved, and
// the monotonic clock has not. Tests pass them to code that takes the time as a parameter. Only tests import the
// package.
package clocktest

import (
	"fmt"
	"time"
	"unsafe"
)

// Steps lists the forward and backward steps of the wall clock that must not change a decision.
var Steps = []time.Duration{time.Second, 30 * time.Second, time.Hour, -time.Second, -30 * time.Second, -time.Hour}

// representation is the memory layout of time.Time. In a time with a monotonic reading, wall contains a flag, 33 bits
// of seconds and 30 bits of nanoseconds, and extension contains the monotonic reading.
type representation struct {
	wall      uint64
	extension int64
	location  *time.Location
}

const nanosecondBits = 30

// Step returns t with its wall clock moved by the given whole seconds and its monotonic reading unchanged. It panics
// if by is not a whole number of seconds, if t has no monotonic reading, or if time.Time does not have the layout of
// representation.
func Step(t time.Time, by time.Duration) time.Time {
	stepped := t
	r := (*representation)(unsafe.Pointer(&stepped))
	r.wall += uint64(int64(by/time.Second) << nanosecondBits)
	if by%time.Second != 0 || stepped.Sub(t) != 0 || stepped.Round(0).Sub(t.Round(0)) != by {
		panic(fmt.Sprintf("clocktest: cannot step %v by %v", t, by))
	}
	return stepped
}
