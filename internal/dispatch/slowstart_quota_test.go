package dispatch

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// Figures of a fleet whose requests carry no hint of their work and take far longer than the aims of their classes
// suggest.
const (
	longSlots     = 5.0
	longObjective = 400.0  // ms
	longWork      = 1800.0 // ms, the mean
	longStep      = 20.0   // ms between steps of all nodes
	longLoad      = 10.0   // traffic, of what the executor can serve warm: what others of its fleet do not take
	longQuota     = 0.85   // quotas of all tenants together, likewise
	longDeadline  = 25000  // ms that a client waits
	longStartedAt = 1e6    // ms, when the executor started
)

// longSettings are the settings of such a fleet with a number of nodes that tell one another nothing.
func longSettings(nodes int) Settings {
	s := base()
	s.Nodes, s.HedgingAllowed = nodes, false
	for i := range s.Classes {
		s.Classes[i].Objective, s.Classes[i].Deadline = longObjective, longDeadline
	}
	s.Tenants = []Tenant{{ReservedShare: 1, Quota: longQuota * longSlots / longWork * 1000}}
	return s
}

// runningAttempt is an attempt that runs, and what its node hears of it at its end.
type runningAttempt struct {
	node  int
	at    float64
	event Event
}

// simulateLongRequests gives when all nodes together sent requests to an executor that started when they began.
func simulateLongRequests(t *testing.T, s Settings, seed int64) (sends []float64) {
	random := rand.New(rand.NewSource(seed))
	warm, cold := ready(1, 0), ready(1, 0)
	cold.StartedAt = longStartedAt
	nodes, events := make([]*Dispatcher, s.Nodes), make([][]Event, s.Nodes)
	for i := range nodes {
		s.Node = i
		d, err := New(s, uint64(seed)*1000+uint64(i)+1)
		if err != nil {
			t.Fatal(err)
		}
		d.Step(longStartedAt-longStep, []Event{{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{warm}}}, nil)
		d.capacity.kindSlots[0] = longSlots
		d.Step(longStartedAt, []Event{{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{cold}}}, nil)
		nodes[i] = d
	}
	running, job := []runningAttempt(nil), uint32(0)
	for now := longStartedAt + longStep; now < longStartedAt+s.MaxSlowStartDuration; now += longStep {
		for left := longLoad * longSlots / longWork * longStep; left > 0 && random.Float64() < left; left-- {
			job++
			e := request(job, uint8(random.Intn(len(s.Classes))), 0, 1)
			e.Work, e.Flags, e.TimeLeft = 0, 0, longDeadline
			to := random.Intn(len(nodes))
			events[to] = append(events[to], e)
		}
		still := running[:0]
		for _, r := range running {
			if r.at > now {
				still = append(still, r)
			} else {
				events[r.node] = append(events[r.node], r.event)
			}
		}
		running = still
		for i, d := range nodes {
			actions := d.Step(now, events[i], nil)
			events[i] = events[i][:0]
			for _, a := range actions {
				if a.Kind != ActSend {
					continue
				}
				attempt := uint16(len(d.jobs.byID[a.Job].attempts) - 1)
				events[i] = append(
					events[i],
					Event{Kind: EvNotification, Job: a.Job, Attempt: attempt, Executor: a.Executor, Topic: NotificationStarted},
				)
				running = append(
					running,
					runningAttempt{i, now + random.ExpFloat64()*longWork, outcome(a.Job, attempt, a.Executor, Served)},
				)
				sends = append(sends, now)
			}
		}
	}
	return sends
}

// Where requests carry no hint of their work, nodes with little traffic know the mean slot-time of a request from the
// aims and from the short requests, which end first. Counted with that, the budget of an executor that warms up bought
// several times the requests that it stands for: in austin-flags split+mass nodes took 0.8 s for the mean, where the
// classes have 1.7 s of work, and sent small executors up to 27 requests within 2 s.
func TestColdExecutorBearsRequestsLongerThanLearned(t *testing.T) {
	const seeds = 5
	for _, nodes := range []int{1, 5, 30, 288} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			s, sent, allowed := longSettings(nodes), 0.0, 0.0
			for seed := int64(1); seed <= seeds; seed++ {
				sends, from, worst := simulateLongRequests(t, s, seed), 0, math.Inf(-1)
				for i, at := range sends {
					for sends[from] <= at-s.OverloadWindow {
						from++
					}
					share := s.SlowStartMinShare + (1-s.SlowStartMinShare)*max(0, at-s.OverloadWindow/2-longStartedAt)/s.MaxSlowStartDuration
					budget := s.OverloadMultiple * longSlots * share * s.OverloadWindow / longWork
					worst = max(worst, float64(i-from+1)-budget-3*math.Sqrt(budget+3))
				}
				if worst > 0 {
					t.Errorf(
						"seed %d: %.1f requests within %.0f ms more than it bears and chance allows",
						seed,
						worst,
						s.OverloadWindow,
					)
				}
				sent += float64(len(sends))
				allowed += s.OverloadMultiple * longSlots * (1 + s.SlowStartMinShare) / 2 * s.MaxSlowStartDuration / longWork
			}
			t.Logf("%.2f of the budget used", sent/allowed)
			if most, least := 1.0, 0.1; sent > most*allowed || sent < least*allowed {
				t.Errorf("%.2f of the budget used, want %.2f to %.2f", sent/allowed, least, most)
			}
		})
	}
}
