package dispatch

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// Parameters of a fleet whose requests have no work hint and run far longer than the latency objectives of their
// classes suggest.
const (
	longSlots     = 5.0
	longObjective = 400.0  // ms
	longWork      = 1800.0 // ms, the mean
	longStep      = 20.0   // ms between steps of all nodes
	longLoad      = 10.0   // traffic, as a multiple of the capacity of the warm executor
	longQuota     = 0.85   // quotas of all tenants together, as a fraction of the same
	longDeadline  = 25000  // ms, deadline of a request
	longStartedAt = 1e6    // ms, start of the executor
)

// longSettings returns the settings of such a fleet with a number of nodes and without gossip.
func longSettings(nodes int) Settings {
	s := base()
	s.Nodes, s.HedgingAllowed = nodes, false
	for i := range s.Classes {
		s.Classes[i].Objective, s.Classes[i].Deadline = longObjective, longDeadline
	}
	s.Tenants = []Tenant{{ReservedShare: 1, Quota: longQuota * longSlots / longWork * 1000}}
	return s
}

// runningAttempt is an attempt at the executor, and the event that its node gets at its end.
type runningAttempt struct {
	node  int
	at    float64
	event Event
}

// simulateLongRequests returns the times of all sends of all nodes to an executor that starts at the beginning.
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
		for expected := longLoad * longSlots / longWork * longStep; expected > 0 && random.Float64() < expected; expected-- {
			job++
			e := request(job, uint8(random.Intn(len(s.Classes))), 0, 1)
			e.Work, e.Flags, e.TimeLeft = 0, 0, longDeadline
			to := random.Intn(len(nodes))
			events[to] = append(events[to], e)
		}
		remaining := running[:0]
		for _, r := range running {
			if r.at > now {
				remaining = append(remaining, r)
			} else {
				events[r.node] = append(events[r.node], r.event)
			}
		}
		running = remaining
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

// Where requests have no work hint, a node with little traffic estimates the mean slot-time of a request from the
// latency objectives and from the short requests, which end first. With such an underestimate, the slow start
// budget allows several times the intended number of requests: in one run, nodes estimated 0.8 s where the classes
// have 1.7 s of work, and sent small executors up to 27 requests within 2 s.
func TestSlowStartBudgetWithUnderestimatedSlotTime(t *testing.T) {
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
					fraction := s.SlowStartMinShare + (1-s.SlowStartMinShare)*
						max(0, at-s.OverloadWindow/2-longStartedAt)/s.MaxSlowStartDuration
					budget := s.OverloadMultiple * longSlots * fraction * s.OverloadWindow / longWork
					worst = max(worst, float64(i-from+1)-budget-3*math.Sqrt(budget+3))
				}
				if worst > 0 {
					t.Errorf(
						"seed %d: %.1f requests within %.0f ms above the budget and the allowance for chance",
						seed,
						worst,
						s.OverloadWindow,
					)
				}
				sent += float64(len(sends))
				allowed += s.OverloadMultiple * longSlots * (1 + s.SlowStartMinShare) / 2 * s.MaxSlowStartDuration / longWork
			}
			t.Logf("used %.2f of the budget", sent/allowed)
			if maxUsed, minUsed := 1.0, 0.1; sent > maxUsed*allowed || sent < minUsed*allowed {
				t.Errorf("used %.2f of the budget, want %.2f to %.2f", sent/allowed, minUsed, maxUsed)
			}
		})
	}
}
