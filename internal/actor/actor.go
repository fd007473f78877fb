// Package actor is the state machine of an actor: a stateful function instance that the nodes host for a client which
// moves between zones, with its state, its numbered calls, its timers and its open jobs. The package has no I/O,
// clock or goroutine. Events (calls, ends of jobs, timers) are applied one after the other, and the same events
// applied anywhere produce the same actor. Answers are remembered, so that a repeated call gets the same answer and
// has no second effect. The public API, the stored tables and the error codes call an actor a desk.
package actor

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// EventKind is a kind of event.
type EventKind uint8

// The kinds of events.
const (
	Call       EventKind = iota + 1 // by the client, numbered from 1
	JobEnded                        // a job of the actor has ended
	TimerFired                      // a timer that the actor set is due
	Upgrade                         // to another version of the function, between calls
)

// maxAnswers is the number of answers that are remembered.
const maxAnswers = 16

// Event is an input of the state machine. Which fields are set depends on its kind.
type Event struct {
	Kind   EventKind
	At     int64  // Unix ms, on the clock of the host
	Number uint64 // of a call
	Body   json.RawMessage
	Job    string // name of the job
	Key    string // idempotency key of the job
	Served bool
	Result string
	Name   string // of a timer
	Due    int64  // Unix ms at which the timer was due
	Hash   string // of the new function
}

// OpenJob is a job of an actor that has not ended.
type OpenJob struct {
	JobRequest
	Key string `json:"key"`
}

// Actor is the state of an actor. It is immutable: applying an event returns a new one.
type Actor struct {
	ID            string             `json:"id"`
	Function      string             `json:"function"` // hash of the function
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

// New returns an actor in the start state of a function.
func New(id string, f *Function) *Actor {
	return &Actor{ID: id, Function: f.Hash, State: f.Start}
}

// Accepts reports whether an event applies to the actor: a duplicate or late end of a job or timer does not.
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
		return a.repeatAnswer(e.Number)
	}
	if e.Kind == Call && e.Number != a.LastCall+1 {
		return nil, nil, &OrderError{e.Number, a.LastCall + 1}
	}
	if !a.Accepts(e) {
		return a, nil, nil
	}
	n := a.clone()
	n.AppliedEvents++
	if e.Kind == Upgrade {
		n.Function = e.Hash
		return n, nil, nil
	}
	if f.Hash != a.Function {
		return nil, nil, &FunctionError{"hash", fmt.Sprintf("the desk runs function %s, got %s", a.Function, f.Hash)}
	}
	eventFields, err := n.consume(e)
	if err != nil {
		return nil, nil, err
	}
	var fx Effects
	if n.State, answer, fx, err = f.run(e.Kind, a.State, eventFields); err != nil {
		return nil, nil, err
	}
	if err := n.addEffects(&fx, e.At); err != nil {
		return nil, nil, err
	}
	if e.Kind == Call {
		if answer == nil {
			answer = json.RawMessage("null")
		}
		n.rememberAnswer(CallAnswer{e.Number, answer})
	}
	return n, answer, nil
}

// repeatAnswer returns the remembered answer of an earlier call.
func (a *Actor) repeatAnswer(number uint64) (*Actor, json.RawMessage, error) {
	for _, remembered := range a.Answers {
		if remembered.Number == number {
			return a, remembered.Body, nil
		}
	}
	return nil, nil, &OrderError{number, a.LastCall + 1}
}

// clone returns a copy that shares nothing that an event modifies.
func (a *Actor) clone() *Actor {
	n := *a
	n.Answers = slices.Clone(a.Answers)
	n.Timers, n.Jobs = maps.Clone(a.Timers), maps.Clone(a.Jobs)
	if n.Timers == nil {
		n.Timers = map[string]int64{}
	}
	if n.Jobs == nil {
		n.Jobs = map[string]OpenJob{}
	}
	return &n
}

// consume records an event in the actor and returns the event's fields as the function sees them.
func (a *Actor) consume(e *Event) (map[string]any, error) {
	fields := map[string]any{"at": float64(e.At), "desk": a.ID}
	switch e.Kind {
	case Call:
		var body any
		if len(e.Body) > 0 {
			if err := json.Unmarshal(e.Body, &body); err != nil {
				return nil, &CallError{"the call's body is not JSON: " + err.Error()}
			}
		}
		fields["number"], fields["body"] = float64(e.Number), body
		a.LastCall = e.Number
	case JobEnded:
		fields["job"], fields["served"], fields["result"] = e.Job, e.Served, e.Result
		delete(a.Jobs, e.Job)
	case TimerFired:
		fields["name"] = e.Name
		delete(a.Timers, e.Name)
	}
	return fields, nil
}

// addEffects opens the jobs and sets the timers that the function requested at an event.
func (a *Actor) addEffects(fx *Effects, at int64) error {
	for _, j := range fx.Jobs {
		if _, ok := a.Jobs[j.Name]; ok {
			return &CallError{fmt.Sprintf("job %q has not ended yet", j.Name)}
		}
		a.Jobs[j.Name] = OpenJob{j, fmt.Sprintf("desk/%s/%d/%s", a.ID, a.AppliedEvents, j.Name)}
	}
	if len(a.Jobs) > maxEffects || len(a.Timers)+len(fx.Timers) > 4*maxEffects {
		return &CallError{fmt.Sprintf("%d jobs are open and %d timers set", len(a.Jobs), len(a.Timers))}
	}
	for name, ms := range fx.Timers {
		if delete(a.Timers, name); ms > 0 {
			a.Timers[name] = at + int64(ms)
		}
	}
	return nil
}

// rememberAnswer stores an answer and drops the oldest ones beyond maxAnswers and maxStateBytes.
func (a *Actor) rememberAnswer(answer CallAnswer) {
	a.Answers = append(a.Answers, answer)
	a.Answers = a.Answers[max(0, len(a.Answers)-maxAnswers):]
	size := 0
	for i := len(a.Answers) - 1; i >= 0; i-- {
		if size += len(a.Answers[i].Body); size > maxStateBytes && i < len(a.Answers)-1 {
			a.Answers = a.Answers[i+1:]
			return
		}
	}
}

// NextTimer returns the timer that is due first, if any.
func (a *Actor) NextTimer() (name string, at int64, ok bool) {
	for k, t := range a.Timers {
		if !ok || t < at || t == at && k < name {
			name, at, ok = k, t, true
		}
	}
	return name, at, ok
}
