// Package actor is the state machine of an actor: a stateful function instance that the fleet keeps for a client which moves between
// zones, with its state, its numbered calls, its timers and its open jobs. It has no I/O, clock or goroutine. Events (calls, ends of
// jobs, timers) are applied one after the other, and the same events applied anywhere give the same actor. Answers are remembered, so
// that a repeated call gets the same answer and has no second effect.
//
// The public API, the stored tables and the error codes call an actor a desk.
package actor

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// EventKind is a kind of event.
type EventKind uint8

// The kinds.
const (
	Call       EventKind = iota + 1 // by the client, numbered from 1
	JobEnded                        // a job of the actor has ended
	TimerFired                      // a timer that the actor set is due
	Upgrade                         // to another version of the function, between calls
)

// maxAnswers is how many answers are remembered.
const maxAnswers = 16

// Event is an input of the state machine. Which fields are set depends on its kind.
type Event struct {
	Kind   EventKind
	At     int64  // Unix ms, on the clock of the host
	Number uint64 // of a call
	Body   json.RawMessage
	Job    string // its name
	Key    string // under which it was submitted
	Served bool
	Result string
	Name   string // of a timer
	Due    int64  // at which it was set to go off
	Hash   string // of the function it goes on with
}

// OpenJob is a job of an actor that has not ended.
type OpenJob struct {
	JobRequest
	Key string `json:"key"`
}

// Actor is the state of an actor. It is immutable: applying an event returns a new one.
type Actor struct {
	ID            string             `json:"id"`
	Function      string             `json:"function"` // its hash
	AppliedEvents uint64             `json:"applied"`  // number of events
	LastCall      uint64             `json:"last"`     // number of the last call
	State         json.RawMessage    `json:"state"`
	Answers       []CallAnswer       `json:"answers,omitempty"` // the latest, oldest first
	Timers        map[string]int64   `json:"timers,omitempty"`  // by name: Unix ms
	Jobs          map[string]OpenJob `json:"jobs,omitempty"`    // by name
}

// CallAnswer is the answer of a call.
type CallAnswer struct {
	Number uint64          `json:"number"`
	Body   json.RawMessage `json:"body"`
}

// New returns an actor in the first state of a function.
func New(id string, f *Function) *Actor {
	return &Actor{ID: id, Function: f.Hash, State: f.Start}
}

// Accepts reports whether an event applies to the actor: the end of a job or a timer that comes again or too late does not.
func (a *Actor) Accepts(e *Event) bool {
	switch e.Kind {
	case JobEnded:
		j, ok := a.Jobs[e.Job]
		return ok && j.Key == e.Key
	case TimerFired:
		due, ok := a.Timers[e.Name]
		return ok && due == e.Due
	case Upgrade:
		return e.Hash != a.Function
	}
	return true
}

// Apply returns the actor after an event, and the answer of a call. The receiver is unchanged; after an error there is no next actor.
func (a *Actor) Apply(f *Function, e *Event) (next *Actor, answer json.RawMessage, err error) {
	if e.Kind == Call && e.Number <= a.LastCall {
		for _, remembered := range a.Answers {
			if remembered.Number == e.Number {
				return a, remembered.Body, nil
			}
		}
		return nil, nil, &OrderError{e.Number, a.LastCall + 1}
	}
	if e.Kind == Call && e.Number != a.LastCall+1 {
		return nil, nil, &OrderError{e.Number, a.LastCall + 1}
	}
	if !a.Accepts(e) {
		return a, nil, nil
	}
	n := &Actor{ID: a.ID, Function: a.Function, AppliedEvents: a.AppliedEvents + 1, LastCall: a.LastCall, State: a.State, Answers: slices.Clone(a.Answers),
		Timers: maps.Clone(a.Timers), Jobs: maps.Clone(a.Jobs)}
	if n.Timers == nil {
		n.Timers = map[string]int64{}
	}
	if n.Jobs == nil {
		n.Jobs = map[string]OpenJob{}
	}
	if e.Kind == Upgrade {
		n.Function = e.Hash
		return n, nil, nil
	}
	if f.Hash != a.Function {
		return nil, nil, &FunctionError{"hash", fmt.Sprintf("the desk runs %s, this is %s", a.Function, f.Hash)}
	}
	eventFields := map[string]any{"at": float64(e.At), "desk": a.ID}
	switch e.Kind {
	case Call:
		var body any
		if len(e.Body) > 0 {
			if err := json.Unmarshal(e.Body, &body); err != nil {
				return nil, nil, &CallError{"the call's body is not JSON: " + err.Error()}
			}
		}
		eventFields["number"], eventFields["body"] = float64(e.Number), body
		n.LastCall = e.Number
	case JobEnded:
		eventFields["job"], eventFields["served"], eventFields["result"] = e.Job, e.Served, e.Result
		delete(n.Jobs, e.Job)
	case TimerFired:
		eventFields["name"] = e.Name
		delete(n.Timers, e.Name)
	}
	var fx Effects
	if n.State, answer, fx, err = f.run(e.Kind, a.State, eventFields); err != nil {
		return nil, nil, err
	}
	for _, j := range fx.Jobs {
		if _, ok := n.Jobs[j.Name]; ok {
			return nil, nil, &CallError{fmt.Sprintf("job %q has not ended yet", j.Name)}
		}
		n.Jobs[j.Name] = OpenJob{j, fmt.Sprintf("desk/%s/%d/%s", a.ID, n.AppliedEvents, j.Name)}
	}
	if len(n.Jobs) > maxEffects || len(n.Timers)+len(fx.Timers) > 4*maxEffects {
		return nil, nil, &CallError{fmt.Sprintf("%d jobs are open and %d timers set", len(n.Jobs), len(n.Timers))}
	}
	for name, ms := range fx.Timers {
		if delete(n.Timers, name); ms > 0 {
			n.Timers[name] = e.At + int64(ms)
		}
	}
	if e.Kind == Call {
		if answer == nil {
			answer = json.RawMessage("null")
		}
		n.Answers = append(n.Answers, CallAnswer{e.Number, answer})
		n.Answers = n.Answers[max(0, len(n.Answers)-maxAnswers):]
		size := 0
		for i := len(n.Answers) - 1; i >= 0; i-- {
			if size += len(n.Answers[i].Body); size > maxStateBytes && i < len(n.Answers)-1 {
				n.Answers = n.Answers[i+1:]
				break
			}
		}
	}
	return n, answer, nil
}

// NextTimer returns the timer that is due first, if one is set.
func (a *Actor) NextTimer() (name string, at int64, ok bool) {
	for k, t := range a.Timers {
		if !ok || t < at || t == at && k < name {
			name, at, ok = k, t, true
		}
	}
	return name, at, ok
}
