package main

import (
	"errors"
	"sync/atomic"

	"gatetack/internal/batch"
	"gatetack/internal/callbackrelay"
	"gatetack/internal/executor"
	"gatetack/internal/platform"
)

// callbackRouter takes callbacks for the executors of this process and stores those of attempts that it does not know
// for the other process of the node, if one runs beside it: while one replaces the other, all of them come to the new
// one. A callback of neither process is answered as any other, because it may be a duplicate or belong to an attempt
// that has ended. One that could not be stored for the other process is rejected, so that the executor calls again.
type callbackRouter struct {
	executors *executor.Client
	relay     *callbackrelay.Relay        // nil: no other process of the node can run
	batch     atomic.Pointer[batch.Front] // nil until the batch front is open
}

// Callback delivers the body of one callback.
func (r *callbackRouter) Callback(body []byte) error {
	err := r.executors.Callback(body)
	if !errors.Is(err, executor.ErrUnknownAttempt) {
		return err
	}
	if front := r.batch.Load(); front != nil {
		front.Late(body)
	}
	if r.relay == nil {
		return nil
	}
	if _, err := r.relay.Forward(body); err != nil {
		return &platform.CallbackRejectedError{Err: err}
	}
	return nil
}

// take delivers a callback that the other process stored. It reports whether the callback was of an attempt of this
// process.
func (r *callbackRouter) take(body []byte) bool {
	return !errors.Is(r.executors.Callback(body), executor.ErrUnknownAttempt)
}
