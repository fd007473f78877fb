// Package failpoint (once called stops) is where tests take hold of a process from outside: they stop it at a named point of its
// work, as a machine that sleeps does, set its wall clock ahead or behind, and have a proxy on each of its links. The program that
// is shipped is built without any of it: nothing here reads the environment unless it is built with the tag faults.
package failpoint

import "time"

// The points.
const (
	Hand   = "hand"   // a job's turn has come, and the record that it is handed over is next
	Intent = "intent" // the intent to send is on record, and the first byte is next
	Byte   = "byte"   // the last byte is out, and nothing of it is on record
	Ended  = "ended"  // a job has ended, and the record of its end is next
	Listen = "listen" // the node is about to listen to its clients
	Leave  = "leave"  // the node that was told to leave has nothing open any more, and is about to end
)

// Without names a guard that a test's own build is made without, by the linker (-X): so tests show that they see what it is
// there for. No other build has it.
var Without string

// Floor is the guard of votes of a member that may have forgotten, and Stalled that of a leader whose disk does not answer.
const (
	Floor   = "floor"
	Stalled = "stalled"
)

// Fence is the guard of all that is written for a duty, with the letting go of one that was lost.
const Fence = "fence"

// Disk is what a disk does to a write of the store's log.
type Disk struct {
	Fails bool          // the write is not made
	Waits time.Duration // before it is; below zero for good
}

// What a build with the tag faults puts in place of these.
var (
	at   = func(string) {}
	wall = time.Now
	via  = func(addr string) string { return addr }
)

// At stops the process, the first time that it comes to the point it is to stop at.
func At(point string) { at(point) }

// Wall is the time by the machine's clock.
func Wall() time.Time { return wall() }

// Via is where a link to an address of another node goes.
func Via(addr string) string { return via(addr) }
