package main

import (
	"errors"
	"sync/atomic"

	"gatetack/internal/batch"
	"gatetack/internal/callbackrelay"
	"gatetack/internal/executor"
	"gatetack/internal/platform"
)

// callbackRouter delivers callbacks to the executor client of this process. It stores callbacks of unknown attempts for
// the other process of the node, if there is one: while one process replaces the other, all callbacks arrive at the new
// one. A callback that belongs to neither process is acknowledged like any other, since it may be a duplicate or belong
// to an attempt that has ended. A callback that cannot be stored is rejected, so that the executor retries it.
type callbackRouter struct {
	executors *executor.Client
	maxID     int                         // length of an ID in a callback
	relay     *callbackrelay.Relay        // nil: the node has no second process
	batch     atomic.Pointer[batch.Front] // nil until the batch front is open

	awaitsBatch bool // the node shares records of batch jobs, which its batch front reads
}

// Callback delivers the body of one callback.
func (r *callbackRouter) Callback(body []byte) error {
	message, err := executor.ParseCallback(body, r.maxID)
	if err != nil {
		return err
	}
	if err := r.executors.HandleCallback(message); !errors.Is(err, executor.ErrUnknownAttempt) {
		return err
	}
	if err := r.lateCallback(body); err != nil {
		return &platform.CallbackRejectedError{Err: err}
	}
	if r.relay == nil {
		return nil
	}
	if _, err := r.relay.Forward(message.TraceID, body); err != nil {
		return &platform.CallbackRejectedError{Err: err}
	}
	return nil
}

// errBatchNotOpen is returned for a callback that may belong to a batch job while the batch front is being opened.
var errBatchNotOpen = errors.New("callback: the batch front is not open yet")

// lateCallback passes a callback of an unknown attempt to the batch front, whose records may name the attempt.
func (r *callbackRouter) lateCallback(body []byte) error {
	front := r.batch.Load()
	switch {
	case front != nil:
		return front.LateCallback(body)
	case r.awaitsBatch:
		return errBatchNotOpen
	}
	return nil
}

// deliverStored delivers a callback that the other process stored. It reports whether the callback needs no other
// process: it belongs to an attempt of this one, or is invalid.
func (r *callbackRouter) deliverStored(body []byte) bool {
	return !errors.Is(r.executors.Callback(body), executor.ErrUnknownAttempt)
}
