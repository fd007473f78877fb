package callbackrelay

import (
	"fmt"

	"gatetack/internal/operr"
)

// NotStoredError reports that a callback could not be stored for the other process of the node. The executor must not
// get a success response, so that it repeats the callback.
type NotStoredError struct{ Err error }

func (e *NotStoredError) Error() string {
	return fmt.Sprintf("handover: a callback for the other process could not be stored: %v", e.Err)
}

// Unwrap returns the cause, such as syscall.ENOSPC.
func (e *NotStoredError) Unwrap() error { return e.Err }

// Code identifies the kind of error in logs and on the on-call page.
func (*NotStoredError) Code() string { return "handover.not_stored" }

// Remedy returns what an operator can do.
func (*NotStoredError) Remedy() string {
	return "make room in the node's temporary directory, or make it writable; executors call again meanwhile"
}

var _ = operr.Register(&NotStoredError{})
