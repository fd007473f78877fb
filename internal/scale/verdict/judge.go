package verdict

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule is the name of a rule.
type Rule string

// The rules.
const (
	FinalAnswer   Rule = "one final answer each"
	SingleRun     Rule = "nothing that must not run twice starts twice"
	Drain         Rule = "nothing to a drained executor past its grace"
	ColdBudget    Rule = "no cold executor over its budget"
	ReservedShare Rule = "no tenant held under its reserved share while it asks"
)

// AllRules lists the rules in the order in which results show them.
var AllRules = []Rule{FinalAnswer, SingleRun, Drain, ColdBudget, ReservedShare}

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule          `json:"rule"`
	Request string        `json:"request"`
	At      time.Duration `json:"atNanoseconds"`
	Text    string        `json:"text"`
}

// Effect is the effect of running a task repeatedly.
type Effect uint8

// The effects.
const (
	Repeatable  Effect = iota // idempotent, may run any number of times
	KeyedByRack               // repeats are deduplicated within a rack and the time window
	Once                      // runs at most once
)

// Executor has the properties of an executor that the judge needs.
type Executor struct{ Rack, Slots int }

// Rules are the parameters by which a run is judged.
type Rules struct {
	Effects           []Effect // by class
	Executors         []Executor
	Dispatchers       int
	ReservedShares    []float64 // reserved shares by tenant
	AnswerSlack       time.Duration
	DrainGrace        time.Duration
	DedupWindow       time.Duration
	SlowStartMinShare float64
	SlowStartDuration time.Duration
	OverloadWindow    time.Duration
	OverloadMultiple  float64
	MaxListDelay      time.Duration // time after which all dispatchers count as notified of a list change
	ShareGrace        time.Duration // how long a tenant may wait below its reserved share
	TimeTolerance     time.Duration // possible error of event times, which is added to all time limits
}

// Counts are the numbers of observed requests and attempts.
type Counts struct {
	Requests         int `json:"requests"`
	Served           int `json:"served"`
	Rejected         int `json:"refused"`
	Failed           int `json:"failed"`
	ConnectionBroken int `json:"connectionBroken"`
	Unreached        int `json:"unreached"`
	Lost             int `json:"lost"`    // no answer, and the dispatcher was up
	Crashed          int `json:"crashed"` // no answer, and the dispatcher had been killed
	Open             int `json:"open"`    // not answered, and the deadline had not passed when the run ended
	Doubled          int `json:"doubled"` // repeated starts of tasks that run at most once
	Starts           int `json:"starts"`
	Attempts         int `json:"attempts"`
}

// Verdict is the result of judging a run.
type Verdict struct {
	Counts          Counts       `json:"counts"`
	ViolationCounts map[Rule]int `json:"broken"`
	Violations      []Violation  `json:"violations"` // the first violations of each rule
}

// Passed reports whether no rule was violated.
func (v *Verdict) Passed() bool { return len(v.ViolationCounts) == 0 }

// maxViolationsShown is the maximum number of violations of each rule in a verdict.
const maxViolationsShown = 20

// Judge evaluates the events of a run. Use New to create one.
type Judge struct {
	rules    Rules
	verdict  Verdict
	requests map[uint64]*request
	tasks    map[int32]*task
	drains   drains
	cold     coldBudgets
	shares   shares
	died     []time.Duration // time of the last death by dispatcher, 0 for none
}

type request struct {
	task       int32
	class      uint8
	dispatcher int16
	submitted  time.Duration
	deadline   time.Duration
	answered   bool
}

type task struct {
	starts     int
	accepted   bool
	acceptedAt time.Duration
	rack       int
}

// New returns a judge for the rules.
func New(rules Rules) *Judge {
	j := &Judge{rules: rules, requests: map[uint64]*request{}, tasks: map[int32]*task{}, died: make([]time.Duration, rules.Dispatchers)}
	j.verdict.ViolationCounts = map[Rule]int{}
	j.drains = newDrains(rules)
	j.cold = newColdBudgets(rules)
	j.shares = newShares(rules)
	return j
}

// ID returns a request's id in the form that its client sends.
func ID(request uint64) string { return fmt.Sprintf("%016x", request) }

func (j *Judge) violation(rule Rule, request uint64, at time.Duration, format string, args ...any) {
	j.verdict.ViolationCounts[rule]++
	if j.verdict.ViolationCounts[rule] <= maxViolationsShown {
		j.verdict.Violations = append(j.verdict.Violations, Violation{rule, ID(request), at, fmt.Sprintf(format, args...)})
	}
}

// Observe evaluates one event. Events must be in the order of their times.
func (j *Judge) Observe(e Event) {
	for _, v := range j.shares.advance(e.At) {
		j.violation(ReservedShare, v.request, e.At, "tenant %d has %d of its %d reserved slots and has waited since %v", v.tenant, v.running, v.reserved, v.since)
	}
	switch e.Kind {
	case Submitted:
		j.submitted(e)
	case Answered:
		j.answered(e)
	case GivenUp:
		j.givenUp(e)
	case Withdrawn:
		j.shares.withdrawn(e.Task)
	case Accepted, AttemptRejected:
		j.attempt(e)
	case Started:
		j.started(e)
	case Ended:
		j.shares.ended(e)
	case Listed:
		j.drains.listed(e)
		j.cold.listed(e)
	case Booted:
		j.cold.booted(e)
		j.shares.booted(e)
	case Died:
		j.cold.died(e)
		j.shares.died(e)
	case DispatcherDied:
		j.died[e.Dispatcher] = e.At
	}
}

func (j *Judge) submitted(e Event) {
	j.verdict.Counts.Requests++
	j.requests[e.Request] = &request{task: e.Task, class: e.Class, dispatcher: e.Dispatcher, submitted: e.At, deadline: e.Deadline}
	j.shares.submitted(e)
}

func (j *Judge) answered(e Event) {
	r := j.requests[e.Request]
	switch {
	case r == nil:
		j.violation(FinalAnswer, e.Request, e.At, "answer to a request that was not submitted")
		return
	case r.answered:
		j.violation(FinalAnswer, e.Request, e.At, "second answer")
		return
	}
	r.answered = true
	j.count(e, r)
	if late := e.At - r.deadline - j.rules.AnswerSlack - j.rules.TimeTolerance; late > 0 && e.Answer != Unreached && !j.crashed(r) {
		j.violation(FinalAnswer, e.Request, e.At, "answered %v after the deadline and the slack", late)
	}
	if e.Answer == Rejected {
		j.rejected(e, r)
		return
	}
	j.shares.withdrawn(r.task)
}

func (j *Judge) count(e Event, r *request) {
	c := &j.verdict.Counts
	switch e.Answer {
	case Served:
		c.Served++
	case Rejected:
		c.Rejected++
	case Failed:
		c.Failed++
	case Unreached:
		c.Unreached++
	case ConnectionBroken:
		c.ConnectionBroken++
		connection := "a new connection"
		if e.Kept {
			connection = "a kept connection"
		}
		j.unanswered(e, r, fmt.Sprintf("%s ended %v after the request without a complete answer", connection, (e.At-r.submitted).Round(time.Millisecond)))
	}
}

// unanswered counts a request without an answer as crashed if its dispatcher died, else as lost.
func (j *Judge) unanswered(e Event, r *request, text string) {
	if j.crashed(r) {
		j.verdict.Counts.Crashed++
		return
	}
	j.verdict.Counts.Lost++
	j.violation(FinalAnswer, e.Request, e.At, "%s, and its dispatcher is up", text)
}

// crashed reports whether the dispatcher of a request died after the request was submitted.
func (j *Judge) crashed(r *request) bool {
	death := j.died[r.dispatcher]
	return death > 0 && death+j.rules.TimeTolerance >= r.submitted
}

func (j *Judge) givenUp(e Event) {
	r := j.requests[e.Request]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	j.shares.withdrawn(r.task)
	j.unanswered(e, r, "no answer before the deadline and the slack")
}

// rejected checks that a rejection was allowed: it means that a retry is safe, so no executor may have accepted the task.
func (j *Judge) rejected(e Event, r *request) {
	t := j.tasks[r.task]
	if t == nil || !t.accepted || j.rules.Effects[r.class] == Repeatable {
		return
	}
	j.violation(SingleRun, e.Request, e.At, "rejected, though an executor accepted it at %v", t.acceptedAt)
}

// attempt evaluates an attempt that reached an executor.
func (j *Judge) attempt(e Event) {
	j.verdict.Counts.Attempts++
	if since, ok := j.drains.late(e); ok {
		j.violation(Drain, e.Request, e.At, "dispatcher %d sent it to executor %d, %v after it was notified of its drain or removal", e.Dispatcher, e.Executor, since)
	}
	if over, ok := j.cold.attempt(e); ok {
		j.violation(ColdBudget, e.Request, e.At, "executor %d was sent %v of work in %v, and its budget is %v", e.Executor, over.sent, j.rules.OverloadWindow, over.budget)
	}
	if e.Kind == AttemptRejected {
		return
	}
	j.shares.accepted(e)
	j.accepted(e)
}

func (j *Judge) accepted(e Event) {
	t := j.task(e.Task)
	rack := j.rules.Executors[e.Executor].Rack
	switch effect := j.rules.Effects[e.Class]; {
	case !t.accepted:
		t.accepted, t.acceptedAt, t.rack = true, e.At, rack
	case effect == Once:
		j.violation(SingleRun, e.Request, e.At, "a second attempt reached executor %d; the first one was accepted at %v", e.Executor, t.acceptedAt)
	case effect == KeyedByRack && rack != t.rack:
		j.violation(SingleRun, e.Request, e.At, "a repeat reached rack %d; the first attempt was accepted in rack %d", rack, t.rack)
	case effect == KeyedByRack && e.At-t.acceptedAt > j.rules.DedupWindow+j.rules.TimeTolerance:
		j.violation(SingleRun, e.Request, e.At, "a repeat arrived %v after the first attempt", e.At-t.acceptedAt)
	}
}

func (j *Judge) task(number int32) *task {
	t := j.tasks[number]
	if t == nil {
		t = &task{}
		j.tasks[number] = t
	}
	return t
}

func (j *Judge) started(e Event) {
	j.verdict.Counts.Starts++
	j.shares.started(e)
	t := j.task(e.Task)
	t.starts++
	if t.starts > 1 && j.rules.Effects[e.Class] == Once {
		j.verdict.Counts.Doubled++
		j.violation(SingleRun, e.Request, e.At, "started %d times", t.starts)
	}
}

// Finish ends the run at the time at and returns the verdict. Unanswered requests are open before their deadline, and lost after it.
func (j *Judge) Finish(at time.Duration) *Verdict {
	for id, r := range j.requests {
		if r.answered {
			continue
		}
		if at <= r.deadline+j.rules.AnswerSlack+j.rules.TimeTolerance {
			j.verdict.Counts.Open++
			continue
		}
		j.unanswered(Event{At: at, Request: id}, r, "no answer before the run ended")
	}
	slices.SortStableFunc(j.verdict.Violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(slices.Index(AllRules, a.Rule), slices.Index(AllRules, b.Rule)), cmp.Compare(a.At, b.At), cmp.Compare(a.Request, b.Request))
	})
	return &j.verdict
}

// JudgeEvents judges a complete run. It sorts events by their times.
func JudgeEvents(rules Rules, events []Event, end time.Duration) *Verdict {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	j := New(rules)
	for _, e := range events {
		j.Observe(e)
	}
	return j.Finish(end)
}
