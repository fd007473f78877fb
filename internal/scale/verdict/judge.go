package verdict

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule names a rule.
type Rule string

// The rules.
const (
	FinalAnswer   Rule = "one final answer each"
	SingleRun     Rule = "nothing that must not run twice starts twice"
	Drain         Rule = "nothing to a drained executor past its grace"
	ColdBudget    Rule = "no cold executor over its budget"
	ReservedShare Rule = "no tenant held under its reserved share while it asks"
)

// AllRules are the rules, in the order in which results show them.
var AllRules = []Rule{FinalAnswer, SingleRun, Drain, ColdBudget, ReservedShare}

// Violation is one broken rule.
type Violation struct {
	Rule    Rule          `json:"rule"`
	Request string        `json:"request"`
	At      time.Duration `json:"atNanoseconds"`
	Text    string        `json:"text"`
}

// Effect says what a repeat of a task may do.
type Effect uint8

// The effects.
const (
	Repeatable  Effect = iota // may run any number of times
	KeyedByRack               // repeats are dropped inside a rack, within the window
	Once                      // must not run twice
)

// Executor is what the judge needs to know of one.
type Executor struct{ Rack, Slots int }

// Rules are what a run is judged by.
type Rules struct {
	Effects           []Effect // by class
	Executors         []Executor
	Dispatchers       int
	ReservedShares    []float64 // reserved parts, by tenant
	AnswerSlack       time.Duration
	DrainGrace        time.Duration
	DedupWindow       time.Duration
	SlowStartMinShare float64
	SlowStartDuration time.Duration
	OverloadWindow    time.Duration
	OverloadMultiple  float64
	MaxListDelay      time.Duration // a change counts as told to all then, whether it arrived or not
	ShareGrace        time.Duration // a tenant may wait so long under its share
	TimeTolerance     time.Duration // by so much the events' times may be off: all limits of time are longer by it
}

// Counts are what a judge saw.
type Counts struct {
	Requests         int `json:"requests"`
	Served           int `json:"served"`
	Rejected         int `json:"refused"`
	Failed           int `json:"failed"`
	ConnectionBroken int `json:"connectionBroken"`
	Unreached        int `json:"unreached"`
	Lost             int `json:"lost"`    // no answer, and the dispatcher stood
	Crashed          int `json:"crashed"` // no answer, and the dispatcher had died
	Open             int `json:"open"`    // neither answered nor due when the run ended
	Doubled          int `json:"doubled"` // starts past the first of what must not run twice
	Starts           int `json:"starts"`
	Attempts         int `json:"attempts"`
}

// Verdict is a judge's finding.
type Verdict struct {
	Counts          Counts       `json:"counts"`
	ViolationCounts map[Rule]int `json:"broken"`
	Violations      []Violation  `json:"violations"` // the first ones of each rule
}

// Passed says that no rule was broken.
func (v *Verdict) Passed() bool { return len(v.ViolationCounts) == 0 }

// maxViolationsShown bounds those of each rule that a verdict lists.
const maxViolationsShown = 20

// Judge takes events. Get one from New.
type Judge struct {
	rules    Rules
	verdict  Verdict
	requests map[uint64]*request
	tasks    map[int32]*task
	drains   drains
	cold     coldBudgets
	shares   shares
	died     []time.Duration // of dispatchers: the last death, 0 for none
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
	starts  int
	taken   bool
	takenAt time.Duration
	rack    int
}

// New makes a judge.
func New(rules Rules) *Judge {
	j := &Judge{rules: rules, requests: map[uint64]*request{}, tasks: map[int32]*task{}, died: make([]time.Duration, rules.Dispatchers)}
	j.verdict.ViolationCounts = map[Rule]int{}
	j.drains = newDrains(rules)
	j.cold = newColdBudgets(rules)
	j.shares = newShares(rules)
	return j
}

// ID is a request's id as its client sends it.
func ID(request uint64) string { return fmt.Sprintf("%016x", request) }

func (j *Judge) violation(rule Rule, request uint64, at time.Duration, format string, args ...any) {
	j.verdict.ViolationCounts[rule]++
	if j.verdict.ViolationCounts[rule] <= maxViolationsShown {
		j.verdict.Violations = append(j.verdict.Violations, Violation{rule, ID(request), at, fmt.Sprintf(format, args...)})
	}
}

// Observe takes one event in; no earlier one may follow.
func (j *Judge) Observe(e Event) {
	for _, v := range j.shares.advance(e.At) {
		j.violation(ReservedShare, v.request, e.At, "tenant %d has %d of its %d slots and has asked since %v", v.tenant, v.running, v.reserved, v.since)
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
		j.violation(FinalAnswer, e.Request, e.At, "an answer to a request that nobody made")
		return
	case r.answered:
		j.violation(FinalAnswer, e.Request, e.At, "a second answer")
		return
	}
	r.answered = true
	j.count(e, r)
	if late := e.At - r.deadline - j.rules.AnswerSlack - j.rules.TimeTolerance; late > 0 && e.Answer != Unreached && !j.crashed(r) {
		j.violation(FinalAnswer, e.Request, e.At, "answered %v past the client's time and the slack", late)
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
		j.unanswered(e, r, fmt.Sprintf("%s ended %v after the request with no whole answer", connection, (e.At-r.submitted).Round(time.Millisecond)))
	}
}

// unanswered tells a dispatcher's crash from a loss.
func (j *Judge) unanswered(e Event, r *request, text string) {
	if j.crashed(r) {
		j.verdict.Counts.Crashed++
		return
	}
	j.verdict.Counts.Lost++
	j.violation(FinalAnswer, e.Request, e.At, "%s, and its dispatcher stands", text)
}

// crashed says whether the dispatcher of a request died after it was submitted.
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
	j.unanswered(e, r, "no answer came in the client's time and the slack")
}

// rejected checks that a refusal, which says that trying again is harmless, says so truly.
func (j *Judge) rejected(e Event, r *request) {
	t := j.tasks[r.task]
	if t == nil || !t.taken || j.rules.Effects[r.class] == Repeatable {
		return
	}
	j.violation(SingleRun, e.Request, e.At, "refused, though an executor took it at %v", t.takenAt)
}

// attempt judges what reached an executor.
func (j *Judge) attempt(e Event) {
	j.verdict.Counts.Attempts++
	if since, ok := j.drains.late(e); ok {
		j.violation(Drain, e.Request, e.At, "dispatcher %d sent it to executor %d, %v after it was told of its drain or end", e.Dispatcher, e.Executor, since)
	}
	if over, ok := j.cold.attempt(e); ok {
		j.violation(ColdBudget, e.Request, e.At, "executor %d was sent %v of work in %v, and its budget is %v", e.Executor, over.sent, j.rules.OverloadWindow, over.budget)
	}
	if e.Kind == AttemptRejected {
		return
	}
	j.shares.taken(e)
	j.taken(e)
}

func (j *Judge) taken(e Event) {
	t := j.task(e.Task)
	rack := j.rules.Executors[e.Executor].Rack
	switch effect := j.rules.Effects[e.Class]; {
	case !t.taken:
		t.taken, t.takenAt, t.rack = true, e.At, rack
	case effect == Once:
		j.violation(SingleRun, e.Request, e.At, "a second attempt reached executor %d; the first one was taken at %v", e.Executor, t.takenAt)
	case effect == KeyedByRack && rack != t.rack:
		j.violation(SingleRun, e.Request, e.At, "a repeat reached rack %d; the first attempt was taken in rack %d", rack, t.rack)
	case effect == KeyedByRack && e.At-t.takenAt > j.rules.DedupWindow+j.rules.TimeTolerance:
		j.violation(SingleRun, e.Request, e.At, "a repeat came %v after the first attempt", e.At-t.takenAt)
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

// Finish ends the run at a moment and gives the verdict. What was still to be answered then is open, and what was due is lost.
func (j *Judge) Finish(at time.Duration) *Verdict {
	for id, r := range j.requests {
		if r.answered {
			continue
		}
		if at <= r.deadline+j.rules.AnswerSlack+j.rules.TimeTolerance {
			j.verdict.Counts.Open++
			continue
		}
		j.unanswered(Event{At: at, Request: id}, r, "no answer had come when the run ended")
	}
	slices.SortStableFunc(j.verdict.Violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(slices.Index(AllRules, a.Rule), slices.Index(AllRules, b.Rule)), cmp.Compare(a.At, b.At), cmp.Compare(a.Request, b.Request))
	})
	return &j.verdict
}

// JudgeEvents judges a whole run: it sorts the events by their times.
func JudgeEvents(rules Rules, events []Event, end time.Duration) *Verdict {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	j := New(rules)
	for _, e := range events {
		j.Observe(e)
	}
	return j.Finish(end)
}
