// Package verdict judges a scale run by what was seen of it: events in the order of their times go in, and every broken rule comes
// out with the id of the request that shows it. It does no I/O and reads no clock.
package verdict

import "time"

// Kind says what an event tells.
type Kind uint8

// The kinds of events.
const (
	Submitted       Kind = iota // Request, Task, Tenant, Class, Slots, Deadline: a client's request was written whole
	Answered                    // Request, Answer
	GivenUp                     // Request: no answer came in the client's time
	Withdrawn                   // Task: its client does not ask for it any more
	Accepted                    // Request, Task, Executor, Dispatcher, Work: an executor took an attempt; FirstByte is when it began to come
	AttemptRejected             // likewise, and the executor proved that it does not run it
	Started                     // Request, Task, Executor
	Ended                       // Request, Task, Executor: its slots are free again, however it ended
	Listed                      // Dispatcher, Executor, Condition: a row of the list was written to a dispatcher
	Booted                      // Executor: a cold life begins; it has Slots
	Died                        // Executor: its life ends, and with it all that it runs
	DispatcherDied              // Dispatcher
)

// Answer is how a request ended for its client.
type Answer uint8

// The answers.
const (
	Served           Answer = iota
	Rejected                // trying again is harmless
	Failed                  // promises nothing
	ConnectionBroken        // the connection ended with no whole answer
	Unreached               // no connection was made, or it broke before the request was written: the dispatcher has not taken it
)

// Condition of an executor in the list.
type Condition uint8

// The conditions.
const (
	Ready Condition = iota
	Draining
	Removed
)

// Event is one thing that was seen. Kind says which fields hold.
type Event struct {
	At         time.Duration // since the run's start
	Kind       Kind
	Answer     Answer
	Condition  Condition
	Class      uint8
	Kept       bool // Answered, Broken: the connection had carried a request before
	Dispatcher int16
	Tenant     int32
	Executor   int32
	Task       int32
	Slots      int32
	Request    uint64
	Deadline   time.Duration // Submitted: until when its client waits
	FirstByte  time.Duration // Taken, TurnedAway
	Work       time.Duration // Taken, TurnedAway: slots times the running time that is expected of the class on a warm executor
}
