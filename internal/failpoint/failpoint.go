// Package failpoint lets tests inject faults into a process from outside: stop it at a named point, as a suspended machine stops,
// set its wall clock ahead or behind, and put a proxy on each of its links to other nodes. The shipped program has none of these
// faults: this package reads the environment only when built with the tag faults.
package failpoint

import "time"

// The points at which a process can be stopped.
const (
	JobHandOver = "hand"   // a job is about to be recorded as handed over
	Intent      = "intent" // the intent to send is recorded, and the first byte is about to be written
	LastByte    = "byte"   // the last byte is written, and that is not recorded yet
	JobEnded    = "ended"  // a job has ended, and its end is about to be recorded
	Listen      = "listen" // the node is about to listen for clients
	Shutdown    = "leave"  // the node is shutting down, has no open requests left, and is about to exit
)

// Without names a guard that is disabled. Only builds for tests set it, through the linker flag -X, so that a test can show that it
// fails without the guard.
var Without string

// Floor is the guard against votes of a member that may have lost its stored vote. Stalled is the guard against a leader whose disk
// does not answer.
const (
	Floor   = "floor"
	Stalled = "stalled"
)

// Fence is the guard of the writes made under a lease by its fencing token, together with the release of a lease that was lost.
const Fence = "fence"

// DiskFault is a fault of the disk in a write of the store's log.
type DiskFault struct {
	Fail  bool          // the write is not made and fails
	Delay time.Duration // how long the write is delayed; negative for ever
}

// The functions behind At, Wall and Via, which a build with the tag faults replaces.
var (
	at   = func(string) {}
	wall = time.Now
	via  = func(addr string) string { return addr }
)

// At stops the process the first time it reaches the configured point.
func At(point string) { at(point) }

// Wall returns the time of the wall clock.
func Wall() time.Time { return wall() }

// Via returns the address to dial for an address of another node: that of a proxy, if one is configured.
func Via(addr string) string { return via(addr) }
