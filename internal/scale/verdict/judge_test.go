package verdict

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

const (
	second = time.Second
	once   = 0
	keyed  = 1
	free   = 2
)

// testRules returns rules for two tenants, two dispatchers and four executors with two slots each; the first two are in one rack.
func testRules() Rules {
	return Rules{Effects: []Effect{once: Once, keyed: KeyedByRack, free: Repeatable},
		Executors:   []Executor{{Rack: 0, Slots: 2}, {Rack: 0, Slots: 2}, {Rack: 1, Slots: 2}, {Rack: 1, Slots: 2}},
		Dispatchers: 2, ReservedShares: []float64{0.5, 0.5}, AnswerSlack: 16 * time.Millisecond, DrainGrace: 500 * time.Millisecond,
		DedupWindow: 40 * second, SlowStartMinShare: 0.3, SlowStartDuration: 8 * second, OverloadWindow: 2 * second, OverloadMultiple: 2.5, MaxListDelay: 6 * second,
		ShareGrace: 5 * second, TimeTolerance: 50 * time.Millisecond}
}

// The following functions return an event of one request at the time at.
func submitted(at time.Duration, request uint64, class uint8) Event {
	return Event{At: at, Kind: Submitted, Request: request, Task: int32(request), Class: class, Slots: 1, Deadline: at + 8*second}
}

func accepted(at time.Duration, request uint64, class uint8, executor int32) Event {
	return Event{At: at, Kind: Accepted, Request: request, Task: int32(request), Class: class, Executor: executor, Slots: 1, FirstByte: at, Work: second}
}

func started(at time.Duration, request uint64, class uint8, executor int32) Event {
	return Event{At: at, Kind: Started, Request: request, Task: int32(request), Class: class, Executor: executor, Slots: 1}
}

func ended(at time.Duration, request uint64, executor int32) Event {
	return Event{At: at, Kind: Ended, Request: request, Task: int32(request), Executor: executor, Slots: 1}
}

func answered(at time.Duration, request uint64, a Answer) Event {
	return Event{At: at, Kind: Answered, Request: request, Answer: a}
}

// served returns all events of a request that is served.
func served(at time.Duration, request uint64, class uint8, executor int32) []Event {
	return []Event{submitted(at, request, class), accepted(at+1, request, class, executor), started(at+2, request, class, executor),
		ended(at+second, request, executor), answered(at+second+1, request, Served)}
}

// listed returns the event that the first dispatcher is notified of an executor.
func listed(at time.Duration, executor int32, c Condition) Event {
	return Event{At: at, Kind: Listed, Executor: executor, Condition: c}
}

func join(lists ...[]Event) (out []Event) {
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

// Each sequence of events must give exactly one violation, of the expected rule and with the request that shows it.
func TestEachRuleViolation(t *testing.T) {
	for name, c := range map[string]struct {
		events  []Event
		rule    Rule
		request uint64
		text    string
	}{
		"no answer":         {[]Event{submitted(second, 7, once)}, FinalAnswer, 7, "no answer"},
		"given up":          {[]Event{submitted(second, 7, once), {At: 10 * second, Kind: GivenUp, Request: 7}}, FinalAnswer, 7, "its dispatcher is up"},
		"connection broken": {[]Event{submitted(second, 7, once), answered(2*second, 7, ConnectionBroken)}, FinalAnswer, 7, "without a complete answer"},
		"answered twice":    {join(served(second, 7, once, 0), []Event{answered(3*second, 7, Served)}), FinalAnswer, 7, "second answer"},
		"answered late":     {[]Event{submitted(second, 7, once), answered(9*second+100*time.Millisecond, 7, Failed)}, FinalAnswer, 7, "after the deadline"},
		"not submitted":     {[]Event{answered(second, 7, Served)}, FinalAnswer, 7, "not submitted"},
		"lost before its dispatcher died": {[]Event{submitted(2*second, 7, once), {At: second, Kind: DispatcherDied, Dispatcher: 1}},
			FinalAnswer, 7, "no answer"},
		"started twice": {join(served(second, 7, once, 0), []Event{started(3*second, 7, once, 1)}), SingleRun, 7, "started 2 times"},
		"sent twice":    {join(served(second, 7, once, 0), []Event{accepted(3*second, 7, once, 1)}), SingleRun, 7, "second attempt"},
		"started twice under two requests": {join(served(second, 7, once, 0), []Event{
			{At: 3 * second, Kind: Started, Request: 8, Task: 7, Class: once, Executor: 1, Slots: 1}}), SingleRun, 8, "started 2 times"},
		"rejected though accepted":     {[]Event{submitted(second, 7, once), accepted(second, 7, once, 0), answered(2*second, 7, Rejected)}, SingleRun, 7, "rejected, though"},
		"key repeated in another rack": {join(served(second, 7, keyed, 0), []Event{accepted(3*second, 7, keyed, 2)}), SingleRun, 7, "rack 1"},
		"key repeated too late":        {join(served(second, 7, keyed, 0), []Event{accepted(42*second, 7, keyed, 1)}), SingleRun, 7, "after the first attempt"},
		"sent after a drain": {join([]Event{listed(second, 0, Draining)}, served(2*second, 7, free, 0)), Drain, 7,
			"after it was notified"},
		"sent after a removal": {join([]Event{listed(second, 0, Removed), listed(1200*time.Millisecond, 0, Draining)}, served(1600*time.Millisecond, 7, free, 0)),
			Drain, 7, "after it was notified"},
		"over a cold budget": {join([]Event{{At: second, Kind: Booted, Executor: 0, Slots: 2}, listed(second, 0, Ready)},
			served(2*second, 1, free, 0), served(2*second, 2, free, 0), served(2*second, 3, free, 0), served(2*second, 4, free, 0),
			served(2*second, 5, free, 0)), ColdBudget, 5, "of work"},
		"over a cold budget by the sum of all": {join([]Event{{At: second, Kind: Booted, Executor: 0, Slots: 2}, listed(second, 0, Ready),
			{At: second, Kind: Listed, Dispatcher: 1, Executor: 0}},
			fromDispatcher(1, served(2*second, 1, free, 0)), served(2*second, 2, free, 0), fromDispatcher(1, served(2*second, 3, free, 0)), served(2*second, 4, free, 0),
			fromDispatcher(1, served(2*second, 5, free, 0))), ColdBudget, 5, "of work"},
		"held below its share": {[]Event{{At: second, Kind: Submitted, Request: 7, Task: 7, Slots: 1, Deadline: 20 * second},
			listed(2*second, 0, Ready), listed(8*second, 0, Ready), answered(9*second, 7, Failed)}, ReservedShare, 7, "tenant 0 has 0 of its 4 reserved slots"},
		"held below its share by rejections": {[]Event{{At: second, Kind: Submitted, Request: 7, Task: 7, Slots: 1, Deadline: 20 * second},
			answered(2*second, 7, Rejected), {At: 3 * second, Kind: Submitted, Request: 8, Task: 7, Slots: 1, Deadline: 20 * second},
			listed(8*second, 0, Ready), answered(9*second, 8, Failed)}, ReservedShare, 8, "tenant 0"},
	} {
		t.Run(name, func(t *testing.T) {
			v := JudgeEvents(testRules(), c.events, 60*second)
			if v.Passed() || v.ViolationCounts[c.rule] != 1 || len(v.Violations) != 1 {
				t.Fatalf("want one violation of %q: %v %+v", c.rule, v.ViolationCounts, v.Violations)
			}
			if got := v.Violations[0]; got.Rule != c.rule || got.Request != ID(c.request) || !strings.Contains(got.Text, c.text) {
				t.Errorf("got %+v, want request %s and a text with %q", got, ID(c.request), c.text)
			}
		})
	}
}

// fromDispatcher sets the dispatcher of events.
func fromDispatcher(dispatcher int16, events []Event) []Event {
	for i := range events {
		events[i].Dispatcher = dispatcher
	}
	return events
}

// Sequences of events that look like violations but are not must give none.
func TestEventsWithoutViolations(t *testing.T) {
	for name, events := range map[string][]Event{
		"served":                              join(served(second, 1, once, 0), served(second, 2, keyed, 1), served(second, 3, free, 2)),
		"free runs twice":                     join(served(second, 7, free, 0), []Event{accepted(2*second, 7, free, 2), started(2*second, 7, free, 2)}),
		"key repeated in its rack and window": join(served(second, 7, keyed, 0), []Event{accepted(30*second, 7, keyed, 1)}),
		"rejected, then accepted elsewhere": {submitted(second, 7, once), {At: second, Kind: AttemptRejected, Request: 7, Task: 7, Class: once, Executor: 0, FirstByte: second},
			accepted(second, 7, once, 1), started(second, 7, once, 1), ended(2*second, 7, 1), answered(2*second, 7, Served)},
		"rejected, then retried": {submitted(second, 7, once), answered(second, 7, Rejected),
			{At: 2 * second, Kind: Submitted, Request: 8, Task: 7, Class: once, Slots: 1, Deadline: 9 * second}, {At: 2 * second, Kind: Accepted, Request: 8, Task: 7, Class: once},
			{At: 2 * second, Kind: Started, Request: 8, Task: 7, Class: once}, answered(3*second, 8, Served)},
		"lost with its dispatcher":    {submitted(second, 7, once), {At: 2 * second, Kind: DispatcherDied}, answered(2*second, 7, ConnectionBroken)},
		"sent within a drain's grace": join([]Event{listed(second, 0, Draining)}, served(1400*time.Millisecond, 7, free, 0)),
		"first byte before a drain's end, last byte after it": join([]Event{listed(second, 0, Draining),
			submitted(second, 7, free), {At: 2 * second, Kind: Accepted, Request: 7, Task: 7, Class: free, FirstByte: 1300 * time.Millisecond}},
			[]Event{answered(3*second, 7, Served)}),
		"sent after a drain was revoked": join([]Event{listed(second, 0, Draining), listed(2*second, 0, Ready)}, served(3*second, 7, free, 0)),
		"sent after a drain that only another dispatcher was notified of": join([]Event{{At: second, Kind: Listed, Dispatcher: 1, Condition: Draining}},
			served(3*second, 7, free, 0)),
		"one attempt larger than a cold budget": join([]Event{{At: second, Kind: Booted, Executor: 0, Slots: 2}, listed(second, 0, Ready),
			{At: 2 * second, Kind: Accepted, Request: 7, Task: 7, Class: free, FirstByte: 2 * second, Work: time.Hour}}),
		"over a cold budget that no dispatcher was notified of": join([]Event{{At: second, Kind: Booted, Executor: 0, Slots: 2}},
			served(2*second, 1, free, 0), served(2*second, 2, free, 0), served(2*second, 3, free, 0), served(2*second, 4, free, 0),
			served(2*second, 5, free, 0), served(2*second, 6, free, 0)),
		"over no budget once warm": join([]Event{{At: second, Kind: Booted, Executor: 0, Slots: 2}, listed(second, 0, Ready)},
			served(20*second, 1, free, 0), served(20*second, 2, free, 0), served(20*second, 3, free, 0), served(20*second, 4, free, 0),
			served(20*second, 5, free, 0), served(20*second, 6, free, 0)),
		"waits at its share": join([]Event{started(second, 1, free, 0), started(second, 2, free, 0), started(second, 3, free, 1), started(second, 4, free, 1)},
			[]Event{submitted(second, 7, once), listed(8*second, 0, Ready), answered(9*second, 7, Failed)}),
	} {
		t.Run(name, func(t *testing.T) {
			if v := JudgeEvents(testRules(), events, 60*second); !v.Passed() {
				t.Errorf("%+v", v.Violations)
			}
		})
	}
}

// Reserved slots are a share of the slots of executors that are up: after deaths a tenant has fewer reserved slots, and waiting beyond
// them is no violation.
func TestReservedShareFollowsCapacity(t *testing.T) {
	var events []Event
	for x := int32(1); x < 4; x++ {
		events = append(events, Event{At: second, Kind: Died, Executor: x})
	}
	// One executor with two slots remains, so one slot is reserved for each tenant.
	events = append(events, started(second, 1, free, 0), submitted(2*second, 7, once), listed(9*second, 0, Ready), answered(9*second, 7, Failed))
	if v := JudgeEvents(testRules(), events, 60*second); !v.Passed() {
		t.Errorf("%+v", v.Violations)
	}
}

// Counts must match the events. A request whose deadline had not passed when the run ended is open, not lost.
func TestCounts(t *testing.T) {
	events := join(served(second, 1, once, 0), []Event{submitted(second, 2, once), answered(2*second, 2, Rejected), {At: 2 * second, Kind: Withdrawn, Task: 2}, submitted(second, 3, once),
		answered(2*second, 3, Failed), submitted(9*second, 4, once), submitted(second, 5, once), answered(2*second, 5, Unreached)})
	v := JudgeEvents(testRules(), events, 10*second)
	want := Counts{Requests: 5, Served: 1, Rejected: 1, Failed: 1, Unreached: 1, Open: 1, Starts: 1, Attempts: 1}
	if diff := cmp.Diff(want, v.Counts); diff != "" || !v.Passed() {
		t.Errorf("%v\n%s", v.Violations, diff)
	}
}

// Arbitrary events in any order must not panic, must count each submitted request, and must give equal verdicts when repeated.
func TestArbitraryEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Event {
			request := rapid.Uint64Range(1, 9).Draw(t, "request")
			return Event{At: time.Duration(rapid.Int64Range(0, int64(30*second)).Draw(t, "at")), Kind: Kind(rapid.IntRange(0, int(DispatcherDied)).Draw(t, "kind")),
				Answer: Answer(rapid.IntRange(0, int(Unreached)).Draw(t, "answer")), Condition: Condition(rapid.IntRange(0, int(Removed)).Draw(t, "condition")),
				Class: uint8(request % 3), Dispatcher: int16(rapid.IntRange(0, 1).Draw(t, "dispatcher")), Tenant: int32(request % 2),
				Executor: int32(rapid.IntRange(0, 3).Draw(t, "executor")), Task: int32(request), Slots: 1, Request: request,
				Deadline: time.Duration(rapid.Int64Range(0, int64(30*second)).Draw(t, "deadline")), Work: second}
		}), 0, 60).Draw(t, "events")
		one := JudgeEvents(testRules(), append([]Event(nil), events...), 60*second)
		other := JudgeEvents(testRules(), append([]Event(nil), events...), 60*second)
		if diff := cmp.Diff(one, other); diff != "" {
			t.Fatal(diff)
		}
		submissions := 0
		for _, e := range events {
			if e.Kind == Submitted {
				submissions++
			}
		}
		if one.Counts.Requests != submissions || one.Counts.Open != 0 {
			t.Fatalf("%d submissions: %+v", submissions, one.Counts)
		}
	})
}
