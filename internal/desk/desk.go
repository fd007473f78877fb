// Package desk is a running function instance that the fleet keeps for a client which moves between zones: its state, its numbered
// calls, its timers and its open jobs. It is a state machine without I/O, clock or goroutine: calls, ends of jobs and timers are
// applied one after the other, and the same ones applied anywhere give the same desk. What was answered is remembered: a call that
// comes again gets the same answer and has no second effect.
package desk

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gatetack/internal/fault"
)

// Kind is a kind of event.
type Kind uint8

// The kinds.
const (
	Call    Kind = iota + 1 // of the client, numbered from 1
	End                     // of a job of the desk
	Timer                   // that was set
	Upgrade                 // to another version of the function, between calls
)

// mostAnswers are remembered.
const mostAnswers = 16

// Event is one thing that happens to a desk.
type Event struct {
	Kind   Kind
	At     int64  // Unix ms, by whoever had it happen: the desk has no clock
	Number uint64 // of a call
	Body   json.RawMessage
	Job    string // that ended
	Key    string // under which it was submitted
	Served bool
	Result string
	Name   string // of a timer
	Due    int64  // at which it was set to go off
	Hash   string // of the function it goes on with
}

// OpenJob is a job of a desk that has not ended.
type OpenJob struct {
	JobWish
	Key string `json:"key"`
}

// Desk is one. It is never changed: an event makes another.
type Desk struct {
	ID       string             `json:"id"`
	Function string             `json:"function"` // its hash
	Applied  uint64             `json:"applied"`  // events
	Last     uint64             `json:"last"`     // call
	State    json.RawMessage    `json:"state"`
	Answers  []Answer           `json:"answers,omitempty"` // the latest, oldest first
	Timers   map[string]int64   `json:"timers,omitempty"`  // by name: Unix ms
	Jobs     map[string]OpenJob `json:"jobs,omitempty"`    // by name
}

// Answer is what a call was answered.
type Answer struct {
	Number uint64          `json:"number"`
	Body   json.RawMessage `json:"body"`
}

// New makes a desk.
func New(id string, f *Function) *Desk {
	return &Desk{ID: id, Function: f.Hash, State: f.Start}
}

// Applies says whether an event has anything to do with the desk as it is: an end or a timer that comes again, or late, has not.
func (d *Desk) Applies(e *Event) bool {
	switch e.Kind {
	case End:
		j, ok := d.Jobs[e.Job]
		return ok && j.Key == e.Key
	case Timer:
		due, ok := d.Timers[e.Name]
		return ok && due == e.Due
	case Upgrade:
		return e.Hash != d.Function
	}
	return true
}

// Apply gives the desk after an event, and what a call is answered. The desk itself is as it was. After an error so is the new one:
// there is none.
func (d *Desk) Apply(f *Function, e *Event) (next *Desk, answer json.RawMessage, err error) {
	if e.Kind == Call && e.Number <= d.Last {
		for _, a := range d.Answers {
			if a.Number == e.Number {
				return d, a.Body, nil
			}
		}
		return nil, nil, &OrderError{e.Number, d.Last + 1}
	}
	if e.Kind == Call && e.Number != d.Last+1 {
		return nil, nil, &OrderError{e.Number, d.Last + 1}
	}
	if !d.Applies(e) {
		return d, nil, nil
	}
	n := &Desk{ID: d.ID, Function: d.Function, Applied: d.Applied + 1, Last: d.Last, State: d.State, Answers: slices.Clone(d.Answers),
		Timers: maps.Clone(d.Timers), Jobs: maps.Clone(d.Jobs)}
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
	if f.Hash != d.Function {
		return nil, nil, &FunctionError{"hash", fmt.Sprintf("the desk runs %s, this is %s", d.Function, f.Hash)}
	}
	said := map[string]any{"at": float64(e.At), "desk": d.ID}
	switch e.Kind {
	case Call:
		var body any
		if len(e.Body) > 0 {
			if err := json.Unmarshal(e.Body, &body); err != nil {
				return nil, nil, &CallError{"the call's body is not JSON: " + err.Error()}
			}
		}
		said["number"], said["body"] = float64(e.Number), body
		n.Last = e.Number
	case End:
		said["job"], said["served"], said["result"] = e.Job, e.Served, e.Result
		delete(n.Jobs, e.Job)
	case Timer:
		said["name"] = e.Name
		delete(n.Timers, e.Name)
	}
	var fx Effects
	if n.State, answer, fx, err = f.run(e.Kind, d.State, said); err != nil {
		return nil, nil, err
	}
	for _, j := range fx.Jobs {
		if _, ok := n.Jobs[j.Name]; ok {
			return nil, nil, &CallError{fmt.Sprintf("job %q has not ended yet", j.Name)}
		}
		n.Jobs[j.Name] = OpenJob{j, fmt.Sprintf("desk/%s/%d/%s", d.ID, n.Applied, j.Name)}
	}
	if len(n.Jobs) > mostEffects || len(n.Timers)+len(fx.Timers) > 4*mostEffects {
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
		n.Answers = append(n.Answers, Answer{e.Number, answer})
		n.Answers = n.Answers[max(0, len(n.Answers)-mostAnswers):]
		size := 0
		for i := len(n.Answers) - 1; i >= 0; i-- {
			if size += len(n.Answers[i].Body); size > mostState && i < len(n.Answers)-1 {
				n.Answers = n.Answers[i+1:]
				break
			}
		}
	}
	return n, answer, nil
}

// Due is the timer that goes off next, if one is set.
func (d *Desk) Due() (name string, at int64, ok bool) {
	for k, t := range d.Timers {
		if !ok || t < at || t == at && k < name {
			name, at, ok = k, t, true
		}
	}
	return name, at, ok
}

// form begins a desk that was written; behind it stand a checksum and the desk's JSON.
const form = "gtdesk1\n"

// Encode writes a desk.
func (d *Desk) Encode() []byte {
	text, _ := json.Marshal(d)
	out := binary.BigEndian.AppendUint64([]byte(form), xxhash.Sum64(text))
	return append(out, text...)
}

// Decode reads what Encode wrote; anything else is an error.
func Decode(data []byte) (*Desk, error) {
	if len(data) < len(form)+8 || string(data[:len(form)]) != form {
		return nil, &StoredError{"not a desk"}
	}
	text := data[len(form)+8:]
	if binary.BigEndian.Uint64(data[len(form):]) != xxhash.Sum64(text) {
		return nil, &StoredError{"its checksum does not hold"}
	}
	d := &Desk{}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, &StoredError{err.Error()}
	}
	return d, nil
}

// StoredError says that a desk that was stored can not be read.
type StoredError struct{ Why string }

func (e *StoredError) Error() string { return "desk: a stored desk can not be read: " + e.Why }

// Code is its kind.
func (*StoredError) Code() string { return "desk.stored" }

// Do is what can be done.
func (*StoredError) Do() string {
	return "look at its earlier versions (`gatetack store history desk ID`) and put the last good one back"
}

var _ = fault.Kind(&StoredError{})
