// Package jobqueue decides when the batch jobs that are waiting at this node are handed to its dispatcher: jobs on
// hold, jobs with a start date, and the members of job arrays. It does no I/O, reads no clock and starts no goroutine;
// the batch front owns the only Queue and carries out its decisions. The dispatcher still decides whether a job is
// admitted and which executor gets it.
//
// # Order
//
// The session with the fewest jobs in flight goes first, and among equals the one that was served longest ago: a
// session that submits ten thousand jobs takes turns with one that submits ten. Within a session, jobs are ordered by
// priority, highest first, and then by submission. An array is ordered as one item, and never has more than MaxParallel
// members in flight.
//
// # Time
//
// A start is a date and follows the wall clock when the clock is set. The wait after a rejection is a duration on the
// monotonic clock: callers pass times with a monotonic reading, as returned by time.Now.
//
// # Memory
//
// An array is stored as its index range and the exceptions to it, not as a list of its members.
package jobqueue
