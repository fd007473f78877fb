// Package stops lets a test stop the process at a named point of its work, as a machine that sleeps does: the tests of one
// owner at a time let it go on once another has its duties. Nothing happens where GATETACK_STOP_AT is not set.
package stops

import (
	"os"
	"sync/atomic"
	"syscall"
)

// The points.
const (
	Hand   = "hand"   // a job's turn has come, and the record that it is handed over is next
	Intent = "intent" // the intent to send is on record, and the first byte is next
	Byte   = "byte"   // the last byte is out, and nothing of it is on record
)

var (
	at   = os.Getenv("GATETACK_STOP_AT")
	done atomic.Bool
)

// At stops the process, the first time that it comes to the point it is to stop at.
func At(point string) {
	if at == point && !done.Swap(true) {
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
}
