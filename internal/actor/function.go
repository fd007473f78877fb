package actor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/google/cel-go/cel"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"gatetack/internal/operr"
)

// Limits of a function and of its results.
const (
	maxSourceBytes = 64 << 10
	maxStateBytes  = 256 << 10 // bytes of JSON
	maxCost        = 1 << 20   // CEL cost, which grows with the data read and created; it bounds time and memory
	maxEffects     = 32        // jobs and timers per event
	maxNameBytes   = 128
)

// Function is a program of CEL expressions that compute, for each kind of event, the next state, the answer to the
// caller, the jobs to submit and the timers to set. A function has no clock, no randomness and no unbounded loop, and
// keeps nothing but its state. It is identified by the hash of its text.
type Function struct {
	Hash  string
	Start json.RawMessage // the start state of an actor
	rules map[EventKind]rule
}

// rule handles one kind of event. A nil program changes nothing.
type rule struct{ state, answer, jobs, timers cel.Program }

type source struct {
	Start any                          `yaml:"start"`
	On    map[string]map[string]string `yaml:"on"`
}

// FunctionError reports an error in a function's text.
type FunctionError struct{ Where, Why string }

func (e *FunctionError) Error() string { return fmt.Sprintf("desk: function: %s: %s", e.Where, e.Why) }

// Code returns the error code.
func (*FunctionError) Code() string { return "desk.function" }

// Remedy returns what the caller can do.
func (*FunctionError) Remedy() string {
	return "correct the function at the place that is named, and create the desk again"
}

// CallError reports that a function failed at an event. The actor is unchanged.
type CallError struct{ Why string }

func (e *CallError) Error() string {
	return "desk: the function failed, and the desk is unchanged: " + e.Why
}

// Code returns the error code.
func (*CallError) Code() string { return "desk.call" }

// Remedy returns what the caller can do.
func (*CallError) Remedy() string {
	return "correct the call and make it again under the same number"
}

// OrderError reports that a call is out of order.
type OrderError struct{ Number, Next uint64 }

func (e *OrderError) Error() string {
	return fmt.Sprintf("desk: call %d is out of order: %d is next", e.Number, e.Next)
}

// Code returns the error code.
func (*OrderError) Code() string { return "desk.order" }

// Remedy returns what the caller can do.
func (*OrderError) Remedy() string {
	return "call with the number that is next; what was answered to much earlier calls is no longer kept"
}

var _ = []struct{}{operr.Register(&FunctionError{}), operr.Register(&CallError{}), operr.Register(&OrderError{})}

// env declares the variables of expressions: state and event.
var env = sync.OnceValues(func() (*cel.Env, error) {
	return cel.NewEnv(cel.Variable("state", cel.DynType), cel.Variable("event", cel.DynType), cel.ParserRecursionLimit(64))
})

// Compile parses a function.
func Compile(text []byte) (*Function, error) {
	if len(text) > maxSourceBytes {
		return nil, &FunctionError{"text", fmt.Sprintf("got %d bytes, expected at most %d", len(text), maxSourceBytes)}
	}
	var src source
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(&src); err != nil {
		return nil, &FunctionError{"text", err.Error()}
	}
	start, err := json.Marshal(src.Start)
	if err != nil || len(start) > maxStateBytes {
		return nil, &FunctionError{"start", fmt.Sprintf("expected a JSON value of at most %d bytes", maxStateBytes)}
	}
	e, err := env()
	if err != nil {
		return nil, err
	}
	f := &Function{Hash: fmt.Sprintf("%016x", xxhash.Sum64(text)), Start: start, rules: map[EventKind]rule{}}
	for _, name := range slices.Sorted(maps.Keys(src.On)) {
		kind, ok := map[string]EventKind{"call": Call, "end": JobEnded, "timer": TimerFired}[name]
		if !ok {
			return nil, &FunctionError{"on." + name, "expected call, end or timer"}
		}
		var r rule
		for _, part := range slices.Sorted(maps.Keys(src.On[name])) {
			at := map[string]*cel.Program{"state": &r.state, "answer": &r.answer, "jobs": &r.jobs, "timers": &r.timers}[part]
			if at == nil {
				return nil, &FunctionError{"on." + name + "." + part, "expected state, answer, jobs or timers"}
			}
			ast, issues := e.Compile(src.On[name][part])
			if issues.Err() != nil {
				return nil, &FunctionError{"on." + name + "." + part, issues.Err().Error()}
			}
			if *at, err = e.Program(ast, cel.CostLimit(maxCost)); err != nil {
				return nil, &FunctionError{"on." + name + "." + part, err.Error()}
			}
		}
		f.rules[kind] = r
	}
	return f, nil
}

// evaluate returns the value of an expression as JSON. Equal values give equal text.
func evaluate(p cel.Program, state, event any) (out json.RawMessage, err error) {
	defer func() {
		if x := recover(); x != nil {
			err = &CallError{fmt.Sprint(x)}
		}
	}()
	v, _, err := p.Eval(map[string]any{"state": state, "event": event})
	if err != nil {
		return nil, &CallError{err.Error()}
	}
	native, err := v.ConvertToNative(reflect.TypeFor[*structpb.Value]())
	if err != nil {
		return nil, &CallError{err.Error()}
	}
	out, err = json.Marshal(native.(*structpb.Value).AsInterface())
	if err != nil {
		return nil, &CallError{err.Error()}
	}
	if len(out) > maxStateBytes {
		return nil, &CallError{fmt.Sprintf("result has %d bytes, expected at most %d", len(out), maxStateBytes)}
	}
	return out, nil
}

// run applies one event to a state.
func (f *Function) run(kind EventKind, state json.RawMessage, event map[string]any) (next, answer json.RawMessage, fx Effects, err error) {
	r, ok := f.rules[kind]
	if !ok {
		return state, nil, fx, nil
	}
	var s any
	if err := json.Unmarshal(state, &s); err != nil {
		return nil, nil, fx, &CallError{err.Error()}
	}
	next = state
	if r.state != nil {
		if next, err = evaluate(r.state, s, event); err != nil {
			return nil, nil, fx, err
		}
	}
	if r.answer != nil {
		if answer, err = evaluate(r.answer, s, event); err != nil {
			return nil, nil, fx, err
		}
	}
	for _, x := range []struct {
		p  cel.Program
		to any
	}{{r.jobs, &fx.Jobs}, {r.timers, &fx.Timers}} {
		if x.p == nil {
			continue
		}
		raw, err := evaluate(x.p, s, event)
		if err != nil {
			return nil, nil, fx, err
		}
		dec := json.NewDecoder(bytes.NewReader(raw))
		dec.DisallowUnknownFields()
		if err := dec.Decode(x.to); err != nil {
			return nil, nil, fx, &CallError{"effects: " + err.Error()}
		}
	}
	return next, answer, fx, fx.validate()
}

// Effects are the effects of an event beside the next state: jobs to submit and timers to set or clear.
type Effects struct {
	Jobs   []JobRequest
	Timers map[string]float64 // by name: ms after the event; 0 clears the timer
}

// JobRequest is a job that a function requests. Its idempotency key is derived from the actor and the event, so that
// it is submitted once.
type JobRequest struct {
	Name     string   `json:"name"`
	Category string   `json:"category"`
	Account  string   `json:"account"`
	Payload  string   `json:"payload"`
	Inputs   []string `json:"inputs,omitempty"` // names of data sets
}

func (fx *Effects) validate() error {
	if len(fx.Jobs)+len(fx.Timers) > maxEffects {
		return &CallError{fmt.Sprintf("got %d effects, expected at most %d", len(fx.Jobs)+len(fx.Timers), maxEffects)}
	}
	seen := map[string]bool{}
	for _, j := range fx.Jobs {
		if j.Name == "" || len(j.Name) > maxNameBytes || seen[j.Name] {
			return &CallError{fmt.Sprintf("job name %q: expected a unique name of 1 to %d bytes", j.Name, maxNameBytes)}
		}
		seen[j.Name] = true
	}
	for name, ms := range fx.Timers {
		if name == "" || len(name) > maxNameBytes || !(ms >= 0 && ms <= 366*24*3600e3) {
			return &CallError{fmt.Sprintf("timer %q in %v ms: expected a name and up to a year", name, ms)}
		}
	}
	return nil
}
