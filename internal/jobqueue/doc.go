// Package jobqueue decides when batch jobs that wait at this node are handed to its dispatcher: those on hold, those
// with a start date, and the members of job arrays. It does no I/O, reads no clock and starts no goroutine; the batch
// front owns the only Queue and carries out what it says. Which executor gets a job, and whether it is admitted at
// all, stays the dispatcher's decision.
//
// # Order
//
// Among sessions, the one with the fewest jobs in flight goes first, and of equals the one that was served longest
// ago: a session that submits ten thousand jobs takes turns with one that submits ten. Within a session the highest
// priority goes first, then the order of submission. An array takes part as one item, and never has more than
// MaxParallel members in flight.
//
// # Time
//
// A start is a date: it follows the wall clock when that is set. The wait after a rejection is a duration, and runs on
// the monotonic clock: callers pass times that carry its reading, as time.Now returns them.
//
// # Memory
//
// An array is kept as its range and the members that differ from it, not as its members.
package jobqueue
