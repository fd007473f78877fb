// Package verdict judges a scale run by its observed events: it takes events in the order of their times and reports each violation
// of a rule with the id of the request that shows it. It does no I/O and reads no clock.
package verdict

import "time"

// Kind is the kind of an event.
type Kind uint8

// The kinds of events. The comments name the fields of Event that are set.
const (
	Submitted       Kind = iota // Request, Task, Tenant, Class, Slots, Deadline: a client's request was sent completely
	Answered                    // Request, Answer
	GivenUp                     // Request: the client received no answer before its deadline
	Withdrawn                   // Task: its client has stopped trying
	Accepted                    // Request, Task, Executor, Dispatcher, Work: an executor accepted an attempt; FirstByte is when its first byte arrived
	AttemptRejected             // fields as for Accepted: the executor rejected an attempt and guarantees that it does not run it
	Started                     // Request, Task, Executor
	Ended                       // Request, Task, Executor: the task ended and its slots are free
	Listed                      // Dispatcher, Executor, Condition: a list entry was sent to a dispatcher
	Booted                      // Executor, Slots: a cold incarnation started
	Died                        // Executor: its incarnation ended, and its running tasks are lost
	DispatcherDied              // Dispatcher
)

// Answer is how a request ended for its client.
type Answer uint8

// The answers.
const (
	Served           Answer = iota
	Rejected                // a retry is safe
	Failed                  // the task may have run or not
	ConnectionBroken        // the connection ended without a complete answer
	Unreached               // no connection, or it ended before the request was sent: the dispatcher has not accepted the request
)

// Condition is the condition of an executor in the list.
type Condition uint8

// The conditions.
const (
	Ready Condition = iota
	Draining
	Removed
)

// Event is one observed event. Kind determines which fields are set.
type Event struct {
	At         time.Duration // time since the run's start
	Kind       Kind
	Answer     Answer
	Condition  Condition
	Class      uint8
	Kept       bool // Answered with ConnectionBroken: the connection had carried a request before
	Dispatcher int16
	Tenant     int32
	Executor   int32
	Task       int32
	Slots      int32
	Request    uint64
	Deadline   time.Duration // Submitted: when its client stops waiting
	FirstByte  time.Duration // Accepted, AttemptRejected
	Work       time.Duration // Accepted, AttemptRejected: slots times the mean running time of the class on a warm executor
}
