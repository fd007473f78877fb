package dispatch

import (
	"math"
	"strings"
	"testing"
)

func TestNewNamesInvalidSetting(t *testing.T) {
	tests := map[string]func(*Settings){
		"requestClasses.count":    func(s *Settings) { s.Classes = nil },
		"balancers":               func(s *Settings) { s.Nodes = 0 },
		"limits.maxAttempts":      func(s *Settings) { s.MaxAttempts = 0 },
		"invariants.fallMultiple": func(s *Settings) { s.OverloadMultiple = 0 },
		"requestClasses.1.aim":    func(s *Settings) { s.Classes[1].Objective = math.NaN() },
		"tenants.2.portion":       func(s *Settings) { s.Tenants[2].ReservedShare = -1 },
		"tenants.0.quotaRps":      func(s *Settings) { s.Tenants[0].Quota = math.NaN() },
		"overShareWorth":          func(s *Settings) { s.OverQuotaWeight = -0.5 },
		"invariants.fall":         func(s *Settings) { s.OverloadWindow = math.Inf(1) },
	}
	for key, invalidate := range tests {
		s := base()
		invalidate(&s)
		_, err := New(s, 1)
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("New returned error %v, want one that names %s", err, key)
		}
	}
}

// Unusual but valid settings: there must be no panic and no division by zero, and jobs are served.
func TestUnusualSettingsAreAccepted(t *testing.T) {
	tests := map[string]func(*Settings){
		"no tenants":      func(s *Settings) { s.Tenants = nil },
		"all shares zero": func(s *Settings) { s.Tenants = []Tenant{{}, {}} },
		"one share zero":  func(s *Settings) { s.Tenants[0].ReservedShare = 0 },
		"zero objective":  func(s *Settings) { s.Classes[0].Objective, s.Classes[0].ObjectivePerWork = 0, 0 },
		"zero intervals": func(s *Settings) {
			s.MinStepInterval, s.ProgressInterval, s.ConnectTimeout, s.ConnIdleTimeout = 0, 0, 0, 0
		},
		"zero rule limits": func(s *Settings) {
			s.OverloadWindow, s.MaxSlowStartDuration, s.SlowStartMinShare, s.MaxPollInterval, s.DrainGrace = 0, 0, 0, 0, 0
		},
		"zero priority weight": func(s *Settings) { s.Classes[0].PriorityWeight = 0 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			s := base()
			change(&s)
			r := newRig(t, s, ready(7, 0))
			got := r.step(request(1, 0, 0, 1))
			if len(actionsOf(got, ActSend, 1)) != 1 {
				t.Fatalf("got actions %v, want one send of job 1", got)
			}
			for range 20 {
				r.after(100, Event{Kind: EvTimer})
			}
			got = r.after(10, outcome(1, 0, 7, Served))
			if len(r.d.jobs.byID) != 0 {
				t.Errorf("job still open after its outcome, actions %v", got)
			}
			if c := r.d.capacity.slots; math.IsNaN(c) || math.IsInf(c, 0) {
				t.Errorf("got capacity %v, want a finite number", c)
			}
		})
	}
}

// Open jobs keep the rules under which they arrived, later jobs follow the new rules, and a rejected update changes
// nothing.
func TestUpdateSettingsKeepsRulesOfOpenJobs(t *testing.T) {
	s := base()
	r := newRig(t, s, ready(1, 0), ready(2, 0))
	r.step(request(1, 0, 0, 1)) // class 0 is idempotent: up to four attempts
	next := s
	next.MaxAttempts = 1
	next.Classes = append(
		append([]Class{}, s.Classes...),
		Class{Objective: 500, Deadline: 6000, PriorityWeight: 1, RetrySafety: AtMostOnce, Kind: -1},
	)
	if err := r.d.UpdateSettings(next, map[int]int{3: 2}); err != nil {
		t.Fatal(err)
	}
	attempts := map[uint32]uint16{}
	run := func(events ...Event) {
		for range 400 {
			out := r.after(5, events...)
			events = nil
			for _, a := range out {
				if a.Kind == ActSend {
					events = append(events, outcome(a.Job, attempts[a.Job], a.Executor, Reset))
					attempts[a.Job]++
				}
			}
		}
	}
	attempts[1] = 1
	run(outcome(1, 0, 1, Reset), request(2, 0, 0, 1), request(3, 3, 0, 1))
	if attempts[1] < 2 || attempts[2] != 1 || attempts[3] != 1 {
		t.Errorf("got attempts %v, want several of job 1 from before the update and one of each later job", attempts)
	}
	r.step(request(4, 1, 0, 1))
	changed := next
	changed.Classes = append([]Class{}, next.Classes...)
	changed.Classes[1].RetrySafety = AtMostOnce
	if err := r.d.UpdateSettings(changed, nil); err == nil || r.d.settings.Classes[1].RetrySafety != Keyed {
		t.Errorf("got error %v, want an error and unchanged rules of a class with an open job", err)
	}
	if err := r.d.UpdateSettings(Settings{}, nil); err == nil || r.d.settings.MaxAttempts != 1 {
		t.Errorf("got error %v without classes, want an error and unchanged settings", err)
	}
	fewer := next
	fewer.Classes = next.Classes[:2]
	if err := r.d.UpdateSettings(fewer, nil); err == nil {
		t.Error("an update that removes classes was accepted")
	}
}
