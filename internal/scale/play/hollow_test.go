package play

import (
	"context"
	"strings"
	"testing"
	"time"

	"gatetack/internal/scale/faults"
	"gatetack/internal/scale/fleet"
)

// A hollow dispatcher sends executors, and is told by them, as much for a task as a real one: the slopes over three sizes of the
// same load, by least squares, are within a tenth. Tasks are shorter than the time between reports of progress, so that the number of
// messages does not go by the machine's speed.
func TestHollowDispatcherSendsWhatARealOneSends(t *testing.T) {
	t.Parallel()
	spans := []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second}
	measure := func(t *testing.T, dispatchers, hollow int) (tasks, messages, bytes []float64) {
		for _, span := range spans {
			d := fleet.Default()
			d.Dispatchers, d.Hollow, d.Executors, d.Tenants, d.Starts, d.Running, d.Duration = dispatchers, hollow, 40, 4, 40, 4, span
			d.MemoryMB, d.Sockets = 192, 1024
			r, err := Run(context.Background(), options(t, d))
			if err != nil {
				t.Fatal(err)
			}
			if !r.RulesKept || r.Partial {
				t.Fatalf("partial %v; %+v", r.Partial, r.Verdict.Violations)
			}
			if r.Verdict.Counts.Served == 0 {
				t.Fatalf("%+v", r.Verdict.Counts)
			}
			e, c := r.Traffic["executor"], r.Traffic["callback"]
			tasks = append(tasks, float64(r.Verdict.Counts.Attempts))
			messages = append(messages, float64(e.MessagesOut+c.MessagesIn))
			bytes = append(bytes, float64(e.BytesOut+c.BytesIn))
		}
		return tasks, messages, bytes
	}
	var realTasks, realMessages, realBytes, hollowTasks, hollowMessages, hollowBytes []float64
	t.Run("side by side", func(t *testing.T) {
		t.Run("real", func(t *testing.T) {
			t.Parallel()
			realTasks, realMessages, realBytes = measure(t, 1, 0)
		})
		t.Run("hollow", func(t *testing.T) {
			t.Parallel()
			hollowTasks, hollowMessages, hollowBytes = measure(t, 0, 1)
		})
	})
	if t.Failed() {
		return
	}
	for _, c := range []struct {
		what         string
		real, hollow float64
	}{
		{"messages", slope(realTasks, realMessages), slope(hollowTasks, hollowMessages)},
		{"bytes", slope(realTasks, realBytes), slope(hollowTasks, hollowBytes)},
	} {
		t.Logf("%s an attempt: real %.2f, hollow %.2f", c.what, c.real, c.hollow)
		if c.hollow < 0.9*c.real || c.hollow > 1.1*c.real {
			t.Errorf("%s an attempt: real %.2f, hollow %.2f, want them within a tenth", c.what, c.real, c.hollow)
		}
	}
}

// slope of a line through points, by least squares.
func slope(x, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	for i, v := range x {
		sx, sy, sxx, sxy = sx+v, sy+y[i], sxx+v*v, sxy+v*y[i]
	}
	n := float64(len(x))
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// The decision modules alone, on virtual time, come to what real dispatchers come to under the same load and zone outage: the same
// tasks, and as many of them served to within a twentieth.
func TestVirtualTimeAgainstRealDispatchers(t *testing.T) {
	t.Parallel()
	zone := faults.Spec{Name: faults.Zone}
	real, err := Run(context.Background(), options(t, small(), zone))
	if err != nil {
		t.Fatal(err)
	}
	alone, err := RunVirtual(options(t, small(), zone))
	if err != nil {
		t.Fatal(err)
	}
	if !real.RulesKept || !alone.RulesKept || !alone.Virtual {
		t.Errorf("%+v %+v", real.Verdict.Violations, alone.Verdict.Violations)
	}
	for i := range real.Jobs {
		if a, b := real.Jobs[i].Tasks, alone.Jobs[i].Tasks; a != b {
			t.Errorf("%s: %d tasks, and %d on virtual time", real.Jobs[i].Kind, a, b)
		}
	}
	a, b := real.Verdict.Counts, alone.Verdict.Counts
	t.Logf("real %+v\nvirtual %+v", a, b)
	if d := a.Served - b.Served; d > a.Served/20 || -d > a.Served/20 {
		t.Errorf("served %d, and %d on virtual time", a.Served, b.Served)
	}
}

// What is none of the decision module's can not be played on virtual time.
func TestVirtualFaults(t *testing.T) {
	t.Parallel()
	for _, name := range []faults.Name{faults.Cut, faults.Leader, faults.Reconfigure} {
		if _, err := RunVirtual(options(t, small(), faults.Spec{Name: name})); err == nil || !strings.Contains(err.Error(), "virtual time") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
