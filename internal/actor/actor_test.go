package actor

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gatetack/internal/operr"
	_ "gatetack/internal/testrand"
)

func compile(t testing.TB, text string) *Function {
	t.Helper()
	f, err := Compile([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func call(n uint64, body string) *Event {
	return &Event{Kind: Call, At: int64(1000 * n), Number: n, Body: json.RawMessage(body)}
}

// Once all tiles have arrived, one area job is submitted under its own key, even if calls are repeated. Its end is
// visible in the state.
func TestSurveyFunction(t *testing.T) {
	f := compile(t, SurveyFunction)
	d := New("crew-7", f)
	for i, body := range []string{`{"op":"begin","want":2}`, `{"op":"tile","tile":"a","category":"area-render","account":"maavaade"}`,
		`{"op":"tile","tile":"a","category":"area-render","account":"maavaade"}`, `{"op":"tile","tile":"b","category":"area-render","account":"maavaade"}`} {
		next, answer, err := d.Apply(f, call(uint64(i+1), body))
		if err != nil {
			t.Fatal(i, err)
		}
		again, same, err := next.Apply(f, call(uint64(i+1), body))
		if err != nil || again != next || !bytes.Equal(same, answer) {
			t.Errorf("call %d again: %s %v, want %s and no change", i+1, same, err, answer)
		}
		if jobs := len(next.Jobs); (jobs == 1) != (i == 3) {
			t.Errorf("%d jobs after call %d", jobs, i+1)
		}
		d = next
	}
	j := d.Jobs["area"]
	if j.Key != "desk/crew-7/4/area" || j.Category != "area-render" || d.Timers["late"] != 1000+3600000 {
		t.Errorf("open job %+v, timers %v", j, d.Timers)
	}
	end := &Event{Kind: JobEnded, At: 9000, Job: "area", Key: j.Key, Served: true}
	next, _, err := d.Apply(f, end)
	if err != nil || len(next.Jobs) != 0 || len(next.Timers) != 0 || !strings.Contains(string(next.State), "served") {
		t.Errorf("actor after the end of its job: %+v, error %v", next, err)
	}
	if twice, _, _ := next.Apply(f, end); twice != next {
		t.Error("a duplicate end of a job had an effect")
	}
	if _, _, err := next.Apply(f, call(7, `{}`)); !errors.As(err, new(*OrderError)) {
		t.Errorf("call out of order: error %v, want an OrderError", err)
	}
}

// A slot that is not confirmed lapses and is returned; a confirmed one does not.
func TestBookingFunction(t *testing.T) {
	f := compile(t, BookingFunction)
	d := New("team", f)
	for i, body := range []string{`{"op":"book","slot":"9:00","forMs":5000}`, `{"op":"book","slot":"9:30","forMs":5000}`, `{"op":"confirm","slot":"9:30"}`} {
		var err error
		if d, _, err = d.Apply(f, call(uint64(i+1), body)); err != nil {
			t.Fatal(err)
		}
	}
	name, due, ok := d.NextTimer()
	if !ok || name != "slot 9:00" || due != 6000 || len(d.Timers) != 1 {
		t.Fatalf("timers %v, want slot 9:00 at 6000", d.Timers)
	}
	stale := &Event{Kind: TimerFired, At: 7000, Name: name, Due: due - 1}
	if x, _, _ := d.Apply(f, stale); x != d {
		t.Error("an outdated timer had an effect")
	}
	d, _, err := d.Apply(f, &Event{Kind: TimerFired, At: 7000, Name: name, Due: due})
	if err != nil || len(d.Jobs) != 1 || len(d.Timers) != 0 {
		t.Errorf("actor after the timer: %+v, error %v", d, err)
	}
}

// A function whose state is too large, whose cost is too high or that fails leaves the actor unchanged, the same call
// number can be used again, and each error says what can be done.
func TestFailingFunctions(t *testing.T) {
	for name, on := range map[string]string{
		"doubles":           `state: "event.body.x + event.body.x"`,
		"costs":             `state: "event.body.l.map(a, event.body.l.map(b, event.body.l.map(c, a + b + c)))"`,
		"fails":             `state: "state.nothing"`,
		"too many effects":  `timers: "event.body.t"`,
		"no effects":        `jobs: "[{'nome': 'x'}]"`,
		"names a job twice": `jobs: "[{'name': 'x'}, {'name': 'x'}]"`,
	} {
		f := compile(t, "start: {}\non:\n  call:\n    "+on+"\n")
		d := New("d", f)
		list, timers := make([]string, 200), map[string]int{}
		for i := range list {
			list[i] = "1.0"
			timers[fmt.Sprint(i)] = 5
		}
		many, _ := json.Marshal(timers)
		body := `{"x":"` + strings.Repeat("x", 200<<10) + `","l":[` + strings.Join(list, ",") + `],"t":` + string(many) + `}`
		_, _, err := d.Apply(f, call(1, body))
		if !errors.As(err, new(*CallError)) || operr.Remedy(err) == "" {
			t.Errorf("%s: error %v, want a CallError with a remedy", name, err)
		}
		if d.LastCall != 0 || string(d.State) != "{}" {
			t.Errorf("%s: actor is %+v", name, d)
		}
	}
	for text, where := range map[string]string{"on: {fall: {}}": "on.fall", "on: {call: {stat: '1'}}": "on.call.stat", "on: {call: {state: '1 +'}}": "on.call.state",
		"on: {call: {state: 'now()'}}": "on.call.state", "x": "text"} {
		_, err := Compile([]byte(text))
		if bad := (*FunctionError)(nil); !errors.As(err, &bad) || bad.Where != where {
			t.Errorf("%q: error %v", text, err)
		}
	}
}

// Whatever events are duplicated, late or early, the actor equals one to which each event was applied once and in
// order, regardless of where it was encoded and decoded in between.
func TestReplayAgainstAnOracle(t *testing.T) {
	f := compile(t, BookingFunction)
	rapid.Check(t, func(t *rapid.T) {
		d, oracle := New("d", f), New("d", f)
		var done []*Event
		number := uint64(0)
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			var e *Event
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				number++
				op := rapid.SampledFrom([]string{"book", "confirm"}).Draw(t, "op")
				e = call(number, fmt.Sprintf(`{"op":%q,"slot":"%d","forMs":%d}`, op, rapid.IntRange(0, 2).Draw(t, "slot"), rapid.IntRange(1, 5000).Draw(t, "for")))
			case 2:
				if name, due, ok := oracle.NextTimer(); ok {
					e = &Event{Kind: TimerFired, At: due, Name: name, Due: due}
				}
			case 3:
				for name, j := range oracle.Jobs {
					if e == nil || name < e.Job {
						e = &Event{Kind: JobEnded, Job: name, Key: j.Key, Served: rapid.Bool().Draw(t, "served")}
					}
				}
			}
			if e == nil {
				continue
			}
			next, _, err := oracle.Apply(f, e)
			if err != nil { // for instance because a job has not ended: the call is made again later under its number
				if _, _, again := d.Apply(f, e); again == nil {
					t.Fatal("the oracle rejects the event and the actor accepts it")
				}
				if e.Kind == Call {
					number--
				}
				continue
			}
			oracle = next
			done = append(done, e)
			for range rapid.IntRange(1, 3).Draw(t, "times") {
				if d, _, err = d.Apply(f, e); err != nil {
					t.Fatal(err)
				}
			}
			if old := done[rapid.IntRange(0, len(done)-1).Draw(t, "old")]; old.Kind != Call || old.Number+maxAnswers > oracle.LastCall {
				if x, _, err := d.Apply(f, old); err != nil || x != d {
					t.Fatalf("duplicate event %+v had an effect or failed: %v", old, err)
				}
			}
			if rapid.Bool().Draw(t, "written") {
				if d, err = Decode(d.Encode()); err != nil {
					t.Fatal(err)
				}
			}
		}
		if a, b := d.Encode(), oracle.Encode(); !bytes.Equal(a, b) {
			t.Fatalf("%s\nwant %s", a, b)
		}
	})
}

// FuzzDecode checks that an encoded actor decodes to the same actor, and that a truncated or altered one is a
// StoredError and never another actor.
func FuzzDecode(f *testing.F) {
	fn := compile(f, BookingFunction)
	d := New("d", fn)
	d, _, _ = d.Apply(fn, call(1, `{"op":"book","slot":"1","forMs":5}`))
	encoded := d.Encode()
	f.Add(0, byte(0))
	f.Add(9, byte(1))
	f.Add(len(encoded)-2, byte(128))
	f.Fuzz(func(t *testing.T, at int, bit byte) {
		if at < 0 || at >= len(encoded) {
			return
		}
		if _, err := Decode(encoded[:at]); !errors.As(err, new(*StoredError)) {
			t.Errorf("truncated at %d: error %v, want a StoredError", at, err)
		}
		bad := bytes.Clone(encoded)
		bad[at] ^= bit
		got, err := Decode(bad)
		if bit != 0 && !errors.As(err, new(*StoredError)) || bit == 0 && (err != nil || !bytes.Equal(got.Encode(), encoded)) {
			t.Errorf("byte %d changed by %x: error %v", at, bit, err)
		}
	})
}

// BenchmarkCall measures applying a call to an actor and encoding the result, by the size of the actor's state.
func BenchmarkCall(b *testing.B) {
	f := compile(b, "start: {pad: '', n: 0}\non: {call: {state: '{\"pad\": event.body.pad, \"n\": state.n + 1.0}', answer: 'state.n'}}\n")
	for _, size := range []int{1 << 10, 64 << 10, 250 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			d := New("d", f)
			body := json.RawMessage(`{"pad":"` + strings.Repeat("x", size-100) + `"}`)
			b.ReportAllocs()
			for n := uint64(1); b.Loop(); n++ {
				next, _, err := d.Apply(f, &Event{Kind: Call, Number: n, Body: body})
				if err != nil {
					b.Fatal(err)
				}
				_ = next.Encode()
				d = next
			}
		})
	}
}
