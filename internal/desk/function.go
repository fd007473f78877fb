package desk

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

	"gatetack/internal/fault"
)

// Bounds of a function and of what it makes.
const (
	mostSource  = 64 << 10
	mostState   = 256 << 10 // bytes of JSON
	mostCost    = 1 << 20   // by the library's count, which grows with what is read and made: time and memory at once
	mostEffects = 32        // jobs and timers of one event
	mostName    = 128
)

// Function is a small program in expressions (CEL): for each kind of event, what becomes of the state, what the caller is answered,
// which jobs are submitted and which timers are set. It has no clock, no randomness, no loop that does not end, and no way to keep
// anything but its state. It is known by the hash of its text.
type Function struct {
	Hash  string
	Start json.RawMessage // the state that a desk begins with
	rules map[Kind]rule
}

// rule is what happens at one kind of event; a nil program leaves that as it is.
type rule struct{ state, answer, jobs, timers cel.Program }

type source struct {
	Start any                          `yaml:"start"`
	On    map[string]map[string]string `yaml:"on"`
}

// FunctionError says what is wrong with a function's text.
type FunctionError struct{ Where, Why string }

func (e *FunctionError) Error() string { return fmt.Sprintf("desk: function: %s: %s", e.Where, e.Why) }

// Code is its kind.
func (*FunctionError) Code() string { return "desk.function" }

// Do is what can be done.
func (*FunctionError) Do() string {
	return "correct the function at the place that is named, and create the desk again"
}

// CallError says that a function failed at an event: the desk is as it was before it.
type CallError struct{ Why string }

func (e *CallError) Error() string {
	return "desk: the function failed, and the desk is as before the call: " + e.Why
}

// Code is its kind.
func (*CallError) Code() string { return "desk.call" }

// Do is what can be done.
func (*CallError) Do() string {
	return "correct the call and make it again under the same number"
}

// OrderError says that a call does not come in its order.
type OrderError struct{ Number, Next uint64 }

func (e *OrderError) Error() string {
	return fmt.Sprintf("desk: call %d is out of order: %d is next", e.Number, e.Next)
}

// Code is its kind.
func (*OrderError) Code() string { return "desk.order" }

// Do is what can be done.
func (*OrderError) Do() string {
	return "call with the number that is next; what was answered to much earlier calls is no longer kept"
}

var _ = []struct{}{fault.Kind(&FunctionError{}), fault.Kind(&CallError{}), fault.Kind(&OrderError{})}

// env has what an expression may name: the state, and the event.
var env = sync.OnceValues(func() (*cel.Env, error) {
	return cel.NewEnv(cel.Variable("state", cel.DynType), cel.Variable("event", cel.DynType), cel.ParserRecursionLimit(64))
})

// Compile reads a function.
func Compile(text []byte) (*Function, error) {
	if len(text) > mostSource {
		return nil, &FunctionError{"text", fmt.Sprintf("%d bytes, expected %d at most", len(text), mostSource)}
	}
	var src source
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(&src); err != nil {
		return nil, &FunctionError{"text", err.Error()}
	}
	start, err := json.Marshal(src.Start)
	if err != nil || len(start) > mostState {
		return nil, &FunctionError{"start", fmt.Sprintf("expected what JSON can say, of %d bytes at most", mostState)}
	}
	e, err := env()
	if err != nil {
		return nil, err
	}
	f := &Function{Hash: fmt.Sprintf("%016x", xxhash.Sum64(text)), Start: start, rules: map[Kind]rule{}}
	for _, name := range slices.Sorted(maps.Keys(src.On)) {
		kind, ok := map[string]Kind{"call": Call, "end": End, "timer": Timer}[name]
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
			if *at, err = e.Program(ast, cel.CostLimit(mostCost)); err != nil {
				return nil, &FunctionError{"on." + name + "." + part, err.Error()}
			}
		}
		f.rules[kind] = r
	}
	return f, nil
}

// value runs an expression and gives what it says as JSON, the same text for the same value.
func value(p cel.Program, state, event any) (out json.RawMessage, err error) {
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
	if len(out) > mostState {
		return nil, &CallError{fmt.Sprintf("%d bytes were made, %d at most are kept", len(out), mostState)}
	}
	return out, nil
}

// run has the function take one event in.
func (f *Function) run(kind Kind, state json.RawMessage, event map[string]any) (next, answer json.RawMessage, fx Effects, err error) {
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
		if next, err = value(r.state, s, event); err != nil {
			return nil, nil, fx, err
		}
	}
	if r.answer != nil {
		if answer, err = value(r.answer, s, event); err != nil {
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
		raw, err := value(x.p, s, event)
		if err != nil {
			return nil, nil, fx, err
		}
		dec := json.NewDecoder(bytes.NewReader(raw))
		dec.DisallowUnknownFields()
		if err := dec.Decode(x.to); err != nil {
			return nil, nil, fx, &CallError{"effects: " + err.Error()}
		}
	}
	return next, answer, fx, fx.check()
}

// Effects are what an event brings about beside the state: a desk submits jobs and sets or clears timers.
type Effects struct {
	Jobs   []JobWish
	Timers map[string]float64 // by name: ms from the event on, 0 clears
}

// JobWish is a job that a function wants submitted. Its key is the desk's and the event's, so that it is one job ever.
type JobWish struct {
	Name     string   `json:"name"`
	Category string   `json:"category"`
	Account  string   `json:"account"`
	Payload  string   `json:"payload"`
	Inputs   []string `json:"inputs,omitempty"` // data sets that it needs
}

func (fx *Effects) check() error {
	if len(fx.Jobs)+len(fx.Timers) > mostEffects {
		return &CallError{fmt.Sprintf("%d effects, %d at most", len(fx.Jobs)+len(fx.Timers), mostEffects)}
	}
	seen := map[string]bool{}
	for _, j := range fx.Jobs {
		if j.Name == "" || len(j.Name) > mostName || seen[j.Name] {
			return &CallError{fmt.Sprintf("a job's name %q: expected one of its own, of 1 to %d bytes", j.Name, mostName)}
		}
		seen[j.Name] = true
	}
	for name, ms := range fx.Timers {
		if name == "" || len(name) > mostName || !(ms >= 0 && ms <= 366*24*3600e3) {
			return &CallError{fmt.Sprintf("timer %q in %v ms: expected a name and up to a year", name, ms)}
		}
	}
	return nil
}
