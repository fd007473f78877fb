package verdict

import (
	"math"
	"time"
)

// shares tracks the running and waiting tasks of each tenant. A tenant is held below its reserved share while one of its tasks waits
// although, with that task running, the tenant would not exceed its reserved slots. This is normal for the time that a task takes to
// start; beyond the grace period it violates the rule. Reserved slots are a share of the slots of executors that are up and warm.
type shares struct {
	rules     Rules
	tenants   []tenantShare
	waiting   map[int32]*waitingTask
	running   map[int32]runningTask // by task
	up        []bool                // executors
	warmAt    []time.Duration
	capacity  int
	nextCheck time.Duration
	warming   []warming
}

type tenantShare struct {
	running  int
	waiting  []*waitingTask // oldest first; entries that are over are removed when the tenant is checked
	since    time.Duration  // since when it has been held below its share; 0 if it is not
	reported bool           // the violation since then has been reported
}

type waitingTask struct {
	request uint64
	slots   int
	over    bool
}

type runningTask struct {
	tenant, slots int
	executor      int32
}

type warming struct {
	at       time.Duration
	executor int32
}

type underShare struct {
	request                   uint64
	tenant, running, reserved int
	since                     time.Duration
}

// checkInterval is the minimum time between two checks of all tenants.
const checkInterval = 100 * time.Millisecond

func newShares(rules Rules) shares {
	s := shares{rules: rules, tenants: make([]tenantShare, len(rules.ReservedShares)), waiting: map[int32]*waitingTask{},
		running: map[int32]runningTask{}, up: make([]bool, len(rules.Executors)), warmAt: make([]time.Duration, len(rules.Executors))}
	for i, x := range rules.Executors {
		s.up[i] = true
		s.capacity += x.Slots
	}
	return s
}

func (s *shares) submitted(e Event) {
	if s.waiting[e.Task] != nil {
		s.waiting[e.Task].request = e.Request // a retry
		return
	}
	w := &waitingTask{e.Request, int(e.Slots), false}
	s.waiting[e.Task] = w
	t := &s.tenants[e.Tenant]
	t.waiting = append(t.waiting, w)
}

func (s *shares) withdrawn(task int32) {
	if w := s.waiting[task]; w != nil {
		w.over = true
		delete(s.waiting, task)
	}
}

func (s *shares) accepted(e Event) { s.withdrawn(e.Task) }

func (s *shares) started(e Event) {
	s.withdrawn(e.Task)
	s.running[e.Task] = runningTask{int(e.Tenant), int(e.Slots), e.Executor}
	s.tenants[e.Tenant].running += int(e.Slots)
}

func (s *shares) ended(e Event) {
	if r, ok := s.running[e.Task]; ok {
		s.tenants[r.tenant].running -= r.slots
		delete(s.running, e.Task)
	}
}

func (s *shares) died(e Event) {
	if !s.up[e.Executor] {
		return
	}
	s.up[e.Executor] = false
	if s.warmAt[e.Executor] <= e.At {
		s.capacity -= s.rules.Executors[e.Executor].Slots
	}
	for task, r := range s.running {
		if r.executor == e.Executor {
			s.tenants[r.tenant].running -= r.slots
			delete(s.running, task)
		}
	}
}

func (s *shares) booted(e Event) {
	s.up[e.Executor] = true
	s.warmAt[e.Executor] = e.At + s.rules.SlowStartDuration
	s.warming = append(s.warming, warming{s.warmAt[e.Executor], e.Executor})
}

// addWarmed adds the slots of executors that have become warm to the capacity.
func (s *shares) addWarmed(now time.Duration) {
	for len(s.warming) > 0 && s.warming[0].at <= now {
		w := s.warming[0]
		s.warming = s.warming[1:]
		if s.up[w.executor] && s.warmAt[w.executor] == w.at {
			s.capacity += s.rules.Executors[w.executor].Slots
		}
	}
}

// advance checks all tenants if checkInterval has passed, and returns those whose time below their share newly exceeds the grace.
func (s *shares) advance(now time.Duration) []*underShare {
	if now < s.nextCheck {
		return nil
	}
	s.nextCheck = now + checkInterval
	s.addWarmed(now)
	var found []*underShare
	for i := range s.tenants {
		if under := s.checkTenant(i, now); under != nil {
			found = append(found, under)
		}
	}
	return found
}

func (s *shares) checkTenant(tenant int, now time.Duration) *underShare {
	t := &s.tenants[tenant]
	for len(t.waiting) > 0 && t.waiting[0].over {
		t.waiting = t.waiting[1:]
	}
	reserved := int(math.Floor(s.rules.ReservedShares[tenant] * float64(s.capacity)))
	if len(t.waiting) == 0 || t.running+t.waiting[0].slots > reserved {
		t.since, t.reported = 0, false
		return nil
	}
	if t.since == 0 {
		t.since = now
	}
	if t.reported || now-t.since <= s.rules.ShareGrace+s.rules.TimeTolerance {
		return nil
	}
	t.reported = true
	return &underShare{t.waiting[0].request, tenant, t.running, reserved, t.since}
}
