package dispatch

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// The script test drives a Dispatcher with seeded random scripts of valid and malformed events and checks every action
// against the four rules. It keeps its own state, from the events and actions alone, and does not model executors:
// outcomes are random.

type scriptAttempt struct {
	executor uint32
	sentAt   float64
	ended    bool
	neverRan bool
}

type scriptJob struct {
	class    int
	slots    float64
	work     float64
	deadline float64
	attempts []scriptAttempt
	ended    bool // a final answer was given, or the client disconnected
}

type scriptExecutor struct {
	endpoint   EndpointUpdate
	notifiedAt float64 // when the node was notified of the endpoint's condition
}

// sentWork is the work of one send and its time.
type sentWork struct{ at, cost float64 }

type script struct {
	t           *testing.T
	name        string
	rng         *rand.Rand
	settings    Settings
	d           *Dispatcher
	now         float64
	jobs        map[uint32]*scriptJob
	openJobs    []uint32
	executors   map[uint32]*scriptExecutor
	timers      []float64
	timerTokens []uint32
	nextJob     uint32
	sentWork    map[uint32][]sentWork
	counts      map[ActionKind]int
}

func (x *script) failf(format string, args ...any) {
	x.t.Helper()
	x.t.Fatalf("%s at %.0f ms: %s", x.name, x.now, fmt.Sprintf(format, args...))
}

func (x *script) step(events []Event) {
	actions := x.d.Step(x.now, events, nil)
	for _, a := range actions {
		x.counts[a.Kind]++
		x.check(a)
	}
}

func (x *script) job(id uint32) *scriptJob {
	j := x.jobs[id]
	if j == nil {
		x.failf("an action refers to request %d, which was never submitted", id)
	}
	return j
}

func (x *script) check(a Action) { //nolint:gocognit // one case for each action
	x.t.Helper()
	switch a.Kind {
	case ActTimer:
		if !(a.Delay > 0) || a.Delay > 71*60000 {
			x.failf("timer for %v ms, want more than 0 and at most 71 minutes", a.Delay)
		}
		x.timers, x.timerTokens = append(x.timers, x.now+a.Delay), append(x.timerTokens, a.Token)
	case ActSend:
		x.checkSend(a)
	case ActReject, ActFail:
		j := x.job(a.Job)
		if j.ended {
			x.failf("second answer to request %d", a.Job)
		}
		if x.now > j.deadline+x.settings.AnswerSlack {
			x.failf("answer to request %d is %v ms late", a.Job, x.now-j.deadline)
		}
		if a.Kind == ActReject {
			c := x.settings.Classes[j.class]
			for _, at := range j.attempts {
				harmless := c.RetrySafety == Idempotent || c.RetrySafety == Keyed && c.DedupScope == ScopeAll
				if (!at.ended || !at.neverRan) && !harmless {
					x.failf("request %d may have run and was rejected", a.Job)
				}
			}
		}
		j.ended = true
	case ActCancel:
		j := x.job(a.Job)
		if int(a.Attempt) >= len(j.attempts) {
			x.failf("cancel of attempt %d of request %d, which was never sent", a.Attempt, a.Job)
		}
	case ActHealthCheck:
		if !x.settings.HealthChecksAllowed || x.executors[a.Executor] == nil {
			x.failf("health check of executor %d is not allowed", a.Executor)
		}
	case ActGossip:
		if !x.settings.GossipAllowed || len(a.Data) > 256 {
			x.failf("gossip message not allowed or longer than 256 bytes")
		}
	case ActPollList, ActFetch:
		if !x.settings.PollsList {
			x.failf("polled a list that is not to be polled")
		}
	}
}

func (x *script) checkSend(a Action) { //nolint:gocognit // one case for each rule
	x.t.Helper()
	j, executor := x.job(a.Job), x.executors[a.Executor]
	c := x.settings.Classes[j.class]
	switch {
	case executor == nil:
		x.failf("sent to executor %d, which no list contained", a.Executor)
	case j.ended:
		x.failf("sent request %d after its end", a.Job)
	case len(j.attempts) >= x.settings.MaxAttempts:
		x.failf("attempt %d of request %d is above the maximum", len(j.attempts)+1, a.Job)
	case executor.endpoint.Condition != Ready && x.now > executor.notifiedAt+x.settings.DrainGrace:
		x.failf("sent to executor %d %v ms after its drain was notified", a.Executor, x.now-executor.notifiedAt)
	}
	for _, at := range j.attempts {
		if !at.ended && at.executor == a.Executor {
			x.failf("a second attempt of request %d at executor %d beside the first", a.Job, a.Executor)
		}
		if !at.ended && !x.settings.HedgingAllowed {
			x.failf("two attempts of request %d in flight without hedging", a.Job)
		}
		if at.ended && at.neverRan || c.RetrySafety == Idempotent {
			continue
		}
		if c.RetrySafety == AtMostOnce {
			x.failf("at-most-once request %d sent again", a.Job)
		}
		from := x.executors[at.executor].endpoint
		inScope := c.DedupScope == ScopeAll ||
			from.Zone == executor.endpoint.Zone && (c.DedupScope == ScopeZone || from.Cell == executor.endpoint.Cell)
		if !inScope {
			x.failf("keyed request %d sent outside its deduplication scope", a.Job)
		}
		if x.now-at.sentAt > c.DedupWindow {
			x.failf("keyed request %d sent %v ms after it may have run", a.Job, x.now-at.sentAt)
		}
	}
	if executor.endpoint.StartedAt > 0 && x.now-executor.endpoint.StartedAt < x.settings.MaxSlowStartDuration {
		// Reports show up to 6 slots, and the random outcomes speeds up to about 2: more work than this would
		// overload any such executor.
		share := x.settings.SlowStartMinShare +
			(1-x.settings.SlowStartMinShare)*(x.now-executor.endpoint.StartedAt)/x.settings.MaxSlowStartDuration
		sum := j.slots * j.work
		for _, s := range x.sentWork[a.Executor] {
			if x.now-s.at <= x.settings.OverloadWindow {
				sum += s.cost
			}
		}
		if sum > 2*6*share*x.settings.OverloadMultiple*x.settings.OverloadWindow {
			x.failf("executor %d overloaded: %v ms of work in a window", a.Executor, sum)
		}
		x.sentWork[a.Executor] = append(x.sentWork[a.Executor], sentWork{x.now, j.slots * j.work})
	}
	j.attempts = append(j.attempts, scriptAttempt{executor: a.Executor, sentAt: x.now})
}

// listEvent returns a random change of the list, or a random full list.
func (x *script) listEvent(form ListForm) Event {
	e := Event{Kind: EvEndpoints, Form: form, Version: uint32(x.now)}
	if form == ListFailed {
		return e
	}
	named := map[uint32]bool{}
	for id := uint32(1); id <= 8; id++ {
		if form == ListDelta && x.rng.Intn(4) > 0 {
			continue
		}
		row := EndpointUpdate{Executor: id * 77, Zone: uint8(id % 2), Cell: uint16(id / 3), Weight: 4, Condition: Ready}
		if old := x.executors[row.Executor]; old != nil {
			row.StartedAt = old.endpoint.StartedAt
		}
		switch r := x.rng.Intn(10); {
		case r == 0:
			row.Condition = Draining
		case r == 1 && form == ListDelta:
			row.Condition = Removed
		case r == 2:
			row.StartedAt = x.now - float64(x.rng.Intn(2000))
		case r == 3 && form != ListDelta && len(x.executors) > 0:
			continue // not in the list: removed
		}
		named[row.Executor] = true
		if old := x.executors[row.Executor]; old == nil || old.endpoint.Condition != row.Condition {
			x.executors[row.Executor] = &scriptExecutor{endpoint: row, notifiedAt: x.now}
		} else {
			old.endpoint = row
		}
		e.Updates = append(e.Updates, row)
	}
	if form != ListDelta {
		for id, executor := range x.executors {
			if !named[id] && executor.endpoint.Condition != Removed {
				executor.endpoint.Condition, executor.notifiedAt = Removed, x.now
			}
		}
	}
	return e
}

func (x *script) report() []float32 {
	switch x.rng.Intn(8) {
	case 0:
		return nil
	case 1:
		return []float32{float32(math.NaN())}
	case 2:
		return []float32{float32(math.Inf(1)), -3}
	case 3:
		return []float32{1}
	}
	var r []float32
	for range x.settings.ReportFields {
		r = append(r, float32(x.rng.Intn(4))+x.rng.Float32()*0.2)
	}
	return r
}

func (x *script) request() Event {
	x.nextJob++
	c := x.rng.Intn(len(x.settings.Classes))
	j := &scriptJob{class: c, slots: 1, work: float64(50 + x.rng.Intn(500))}
	e := Event{Kind: EvRequest, Job: x.nextJob, Class: uint8(c), Tenant: uint16(x.rng.Intn(4)), Work: j.work,
		Flags: FlagWorkHint, TimeLeft: x.settings.Classes[c].Deadline * x.rng.Float64(), Slots: 1}
	switch x.rng.Intn(12) {
	case 0:
		e.Slots, j.slots = 3, 3
	case 1:
		e.TimeLeft = 0
	case 2:
		e.Key = uint64(x.rng.Intn(5))
	case 3:
		e.Flags |= FlagRetry
	case 4:
		e.Tenant = 60000
	case 5:
		e.Slots, j.slots = 40, 40
	}
	j.deadline = x.now + e.TimeLeft
	x.jobs[x.nextJob] = j
	x.openJobs = append(x.openJobs, x.nextJob)
	return e
}

var scriptOutcomes = []Outcome{Served, Served, Served, Served, Errored, Full, TimedOut, ConnectFailed, Reset, Canceled}

func (x *script) outcome(id uint32, n int, o Outcome) Event {
	j := x.jobs[id]
	at := &j.attempts[n]
	at.ended, at.neverRan = true, o.NeverRan()
	if o == Served {
		j.ended = true
	}
	return Event{Kind: EvOutcome, Job: id, Attempt: uint16(n), Executor: at.executor, Outcome: o, Final: j.ended,
		Elapsed: x.now - at.sentAt, Report: x.report()}
}

func (x *script) malformedEvent() Event {
	switch x.rng.Intn(7) {
	case 0:
		return Event{Kind: EvOutcome, Job: 999999, Executor: 77, Outcome: Served, Final: true}
	case 1:
		return Event{Kind: EvNotification, Job: 1, Attempt: 77, Executor: 77, Topic: NotificationProgress, Amount: math.NaN()}
	case 2:
		return Event{Kind: EvTimer, Token: 4000000000}
	case 3:
		return Event{Kind: EvHealthCheck, Executor: 123456, Outcome: TimedOut, Report: []float32{1}}
	case 4:
		return Event{Kind: EvGossip, From: 9, Data: []byte("?")}
	case 5:
		return Event{Kind: EvClientDisconnected, Job: 888888}
	}
	for id := uint32(1); id <= x.nextJob; id++ { // a repeated outcome of a request that ended before
		if j := x.jobs[id]; j.ended && len(j.attempts) > 0 && j.attempts[0].ended {
			return Event{Kind: EvOutcome, Job: id, Executor: j.attempts[0].executor, Outcome: Errored}
		}
	}
	return Event{Kind: EvClientDisconnected, Job: 777777}
}

// run plays a script: 20 s of events, a few milliseconds apart, and then the end of all open requests and attempts.
func (x *script) run() {
	x.step([]Event{x.listEvent(ListCached)})
	for end := x.now + 20000; x.now < end; {
		x.now += float64(1 + x.rng.Intn(10))
		events := x.dueTimers()
		for range x.rng.Intn(3) {
			events = append(events, x.request())
		}
		for _, id := range x.openJobs {
			events = x.jobEvents(events, id)
		}
		events = x.fleetEvents(events)
		x.step(events)
		x.dropEnded()
	}
	x.endAll()
	x.checkNothingLeaked()
}

func (x *script) dueTimers() (events []Event) {
	for i := 0; i < len(x.timers); i++ {
		if x.timers[i] <= x.now {
			events = append(events, Event{Kind: EvTimer, Token: x.timerTokens[i]})
			x.timers = append(x.timers[:i], x.timers[i+1:]...)
			x.timerTokens = append(x.timerTokens[:i], x.timerTokens[i+1:]...)
			i--
		}
	}
	return events
}

// jobEvents appends random events of a request and its attempts.
func (x *script) jobEvents(events []Event, id uint32) []Event {
	j := x.jobs[id]
	for n := range j.attempts {
		switch {
		case j.attempts[n].ended:
		case !j.ended && x.now >= j.deadline:
			events = append(events, x.outcome(id, n, TimedOut))
		case x.rng.Intn(40) == 0:
			events = append(events, x.outcome(id, n, scriptOutcomes[x.rng.Intn(len(scriptOutcomes))]))
		case x.rng.Intn(20) == 0:
			events = append(events, Event{Kind: EvNotification, Job: id, Attempt: uint16(n),
				Executor: j.attempts[n].executor, Topic: uint8(1 + x.rng.Intn(3)), Amount: 0.5})
		}
	}
	if !j.ended && x.rng.Intn(4000) == 0 {
		j.ended = true
		events = append(events, Event{Kind: EvClientDisconnected, Job: id})
	}
	return events
}

// fleetEvents appends random list events, health checks and malformed events.
func (x *script) fleetEvents(events []Event) []Event {
	switch x.rng.Intn(60) {
	case 0:
		events = append(events, x.listEvent(ListDelta))
	case 1:
		events = append(events, x.listEvent(ListSnapshot))
	case 2:
		events = append(events, x.listEvent(ListFailed))
	case 3, 4, 5:
		events = append(events, x.malformedEvent())
	}
	for id := uint32(77); id <= 8*77 && x.settings.HealthChecksAllowed; id += 77 {
		if x.rng.Intn(30) == 0 && x.executors[id] != nil {
			events = append(events, Event{Kind: EvHealthCheck, Executor: id, Outcome: Served, Report: x.report()})
		}
	}
	return events
}

// dropEnded drops the requests that have ended and have no attempt in flight. It fails the test if one got no answer in
// time.
func (x *script) dropEnded() {
	keep := x.openJobs[:0]
	for _, id := range x.openJobs {
		j := x.jobs[id]
		if !j.ended && x.now > j.deadline+x.settings.AnswerSlack {
			x.failf("request %d was lost: no answer %v ms after its deadline", id, x.now-j.deadline)
		}
		inFlight := false
		for _, at := range j.attempts {
			inFlight = inFlight || !at.ended
		}
		if !j.ended || inFlight {
			keep = append(keep, id)
		}
	}
	x.openJobs = keep
}

// endAll ends all open requests and attempts.
func (x *script) endAll() {
	var events []Event
	for _, id := range x.openJobs {
		j := x.jobs[id]
		if !j.ended {
			j.ended = true
			events = append(events, Event{Kind: EvClientDisconnected, Job: id})
		}
		for n := range j.attempts {
			if !j.attempts[n].ended {
				events = append(events, x.outcome(id, n, Canceled))
			}
		}
	}
	x.step(events)
	x.now += 100
	x.step(nil)
}

// checkNothingLeaked fails the test if a reservation or a slot is still in use when nothing is open.
func (x *script) checkNothingLeaked() {
	for i, tn := range x.d.admission.tenants {
		if tn.reservedSlots != 0 {
			x.failf("tenant %d has %v reserved slots when nothing is open", i, tn.reservedSlots)
		}
	}
	for _, executor := range x.d.endpoints.listed {
		slots := executor.inFlight.slots
		if slots != 0 || len(executor.inFlight.jobs) != 0 || executor.connections.opening != 0 {
			x.failf("executor %d has %v slots in flight when nothing is open", executor.id, slots)
		}
	}
	if len(x.d.jobs.byID) != 0 || len(x.d.jobs.queue) != 0 || x.d.affinity.fetchingSlots != 0 {
		x.failf("%d jobs, %d queued when nothing is open", len(x.d.jobs.byID), len(x.d.jobs.queue))
	}
}

func TestScripts(t *testing.T) {
	sites := map[string]func(*Settings){
		"answers": func(s *Settings) {},
		"health checks, polled list": func(s *Settings) {
			s.Telemetry, s.HealthChecksAllowed, s.PollsList = ReportHealthChecks, true, true
			s.ReportFields = []ReportField{FieldErrors, FieldBusy, FieldUtil, FieldFree}
		},
		"no reports, no notifications": func(s *Settings) {
			s.Telemetry, s.ReportFields, s.ProgressInterval, s.StartNotifications = ReportNone, nil, 0, false
		},
		"no hedging":     func(s *Settings) { s.HedgingAllowed, s.CancelAllowed = false, false },
		"keyed by zone":  func(s *Settings) { s.Classes[1].DedupScope = ScopeZone },
		"keyed anywhere": func(s *Settings) { s.Classes[1].DedupScope = ScopeAll },
		"no tenants":     func(s *Settings) { s.Tenants = nil },
		"shared connections, memory reports": func(s *Settings) {
			s.MaxConcurrentStreams, s.ReportFields = 4, []ReportField{FieldBusy, FieldFree, FieldMemory}
		},
		"gossip": func(s *Settings) { s.Nodes, s.GossipAllowed = 4, true },
		"polled list, no progress, no hedging": func(s *Settings) {
			s.PollsList, s.ProgressInterval, s.HedgingAllowed = true, 0, false
		},
		"three nodes": func(s *Settings) { s.Nodes = 3; s.Fees = Fees{CrossZone: 0.1, Origin: 0.1, Handshake: 0.1} },
	}
	total := map[ActionKind]int{}
	for name, change := range sites {
		for seed := int64(1); seed <= 4; seed++ {
			s := base()
			s.MinStepInterval = 2
			s.AnswerSlack = 40
			change(&s)
			d, err := New(s, uint64(seed))
			if err != nil {
				t.Fatal(err)
			}
			x := &script{t: t, name: fmt.Sprintf("%s, seed %d", name, seed), rng: rand.New(rand.NewSource(seed)), settings: s,
				d: d, now: 1000, jobs: map[uint32]*scriptJob{}, executors: map[uint32]*scriptExecutor{},
				sentWork: map[uint32][]sentWork{}, counts: total}
			x.run()
		}
	}
	for _, kind := range []ActionKind{ActSend, ActReject, ActFail, ActCancel, ActTimer, ActHealthCheck, ActPollList} {
		if total[kind] == 0 {
			t.Errorf("no script led to action kind %d, so the scripts did not check it", kind)
		}
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	play := func() string {
		s := base()
		d, err := New(s, 7)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewSource(3))
		log, now := "", 1000.0
		var rows []EndpointUpdate
		for id := uint32(1); id <= 12; id++ {
			rows = append(rows, ready(id*31, uint16(id%3)))
		}
		events := []Event{{Kind: EvEndpoints, Form: ListCached, Updates: rows}}
		for job := uint32(1); job < 400; job++ {
			e := request(job, uint8(rng.Intn(3)), uint16(rng.Intn(3)), 1)
			e.Key = uint64(rng.Intn(9))
			events = append(events, e)
			var next []Event
			for _, a := range d.Step(now, events, nil) {
				log += fmt.Sprintln(a)
				if a.Kind == ActSend && rng.Intn(3) > 0 {
					next = append(next, outcome(a.Job, 0, a.Executor, Served, float32(rng.Intn(5))))
				}
			}
			events = next
			now += float64(rng.Intn(20))
		}
		return log
	}
	first := play()
	for range 3 {
		if play() != first {
			t.Fatal("equal events led to different actions")
		}
	}
}
