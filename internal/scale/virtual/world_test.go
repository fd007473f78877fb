package virtual

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gatetack/internal/scale/faults"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

func some() fleet.Description {
	d := fleet.Default()
	d.Executors, d.Dispatchers, d.Tenants, d.Starts, d.Running, d.Duration = 120, 4, 8, 60, 90, 20*time.Second
	return d
}

func playOne(t *testing.T, d fleet.Description, m Meter, names ...faults.Name) (*verdict.Verdict, Counts) {
	t.Helper()
	var specs []faults.Spec
	for _, name := range names {
		s, err := faults.Parse(string(name))
		if err != nil {
			t.Fatal(err)
		}
		specs = append(specs, s)
	}
	actions, err := faults.Schedule(&d, d.Plan(), specs)
	if err != nil {
		t.Fatal(err)
	}
	w, err := New(d, actions, verdict.RulesFor(&d, 0), m)
	if err != nil {
		t.Fatal(err)
	}
	return w.Play()
}

// Each fault must leave all rules kept, and each task must end exactly once.
func TestFaults(t *testing.T) {
	for _, name := range []faults.Name{faults.Zone, faults.Rack, faults.Machine, faults.Rolling} {
		t.Run(string(name), func(t *testing.T) {
			v, c := playOne(t, some(), nil, name)
			if !v.Passed() || v.Counts.Lost+v.Counts.Open+v.Counts.Doubled != 0 {
				t.Errorf("%+v %+v", v.Counts, v.Violations)
			}
			for kind := range workload.Kinds {
				if n := c.Served[kind] + c.Rejected[kind] + c.Failed[kind]; n != c.Tasks[kind] {
					t.Errorf("%s: %d tasks, %d ends", kind, c.Tasks[kind], n)
				}
			}
			if v.Counts.Served < v.Counts.Requests/2 {
				t.Errorf("%+v", v.Counts)
			}
		})
	}
}

// counter counts the calls of a Meter by dispatcher.
type counter struct{ begun, ended []int }

func (c *counter) Begin(d int) { c.begun[d]++ }
func (c *counter) End(d int)   { c.ended[d]++ }

// Equal seeds must give equal runs, and each step must be measured.
func TestEqualSeeds(t *testing.T) {
	one, other := &counter{make([]int, 4), make([]int, 4)}, &counter{make([]int, 4), make([]int, 4)}
	v1, c1 := playOne(t, some(), one, faults.Zone)
	v2, c2 := playOne(t, some(), other, faults.Zone)
	if diff := cmp.Diff(v1, v2) + cmp.Diff(c1, c2) + cmp.Diff(one.begun, other.begun); diff != "" {
		t.Error(diff)
	}
	steps := 0
	for d := range one.begun {
		if steps += one.begun[d]; one.begun[d] != one.ended[d] {
			t.Errorf("dispatcher %d: %d steps begun, %d ended", d, one.begun[d], one.ended[d])
		}
	}
	if steps != c1.Steps {
		t.Errorf("%d steps measured of %d", steps, c1.Steps)
	}
}

// With enough free slots a task starts one message latency after it is due and ends after its running time, and the number of running
// tasks matches the target. A module without a load report of an executor assumes two slots, so that at the start a task can wait
// behind another on an executor with one slot. A few tasks may therefore miss their deadlines.
func TestFleetWithFreeSlots(t *testing.T) {
	d := some()
	d.Executors, d.Duration = 400, time.Minute
	v, c := playOne(t, d, nil)
	if late := v.Counts.Failed + v.Counts.Rejected; v.Counts.Served+late != v.Counts.Requests || late > v.Counts.Requests/1000 {
		t.Errorf("%+v", v.Counts)
	}
	if c.RunningPeak < 40 || c.RunningPeak > 400 {
		t.Errorf("peak of %d running tasks, want 40 to 400 for a target mean of 90", c.RunningPeak)
	}
	for _, latency := range c.StartLatencies[workload.Urgent] {
		if latency < 2*sameZoneLatency || latency > fleet.UrgentStartTarget {
			t.Errorf("start of an urgent task notified %v after it was due", latency)
		}
	}
}
