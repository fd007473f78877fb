package play

import (
	"context"
	"strings"
	"testing"
	"time"

	"gatetack/internal/scale/faults"
	"gatetack/internal/scale/fleet"
)

// A hollow dispatcher must exchange as many messages and bytes with executors per task as a real one: the least-squares slopes over
// three sizes of the same load must agree within a tenth. Tasks are shorter than the progress interval, so that the number of
// messages does not depend on the machine's speed.
func TestHollowDispatcherTrafficMatchesARealOne(t *testing.T) {
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
		quantity     string
		real, hollow float64
	}{
		{"messages", slope(realTasks, realMessages), slope(hollowTasks, hollowMessages)},
		{"bytes", slope(realTasks, realBytes), slope(hollowTasks, hollowBytes)},
	} {
		t.Logf("%s per attempt: real %.2f, hollow %.2f", c.quantity, c.real, c.hollow)
		if c.hollow < 0.9*c.real || c.hollow > 1.1*c.real {
			t.Errorf("%s per attempt: real %.2f, hollow %.2f, want them within a tenth", c.quantity, c.real, c.hollow)
		}
	}
}

// slope returns the slope of the least-squares line through points.
func slope(x, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	for i, v := range x {
		sx, sy, sxx, sxy = sx+v, sy+y[i], sxx+v*v, sxy+v*y[i]
	}
	n := float64(len(x))
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// The decision modules on virtual time must give the results of real dispatchers under the same load and zone outage: the same tasks,
// and numbers of served tasks that agree within a twentieth.
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
			t.Errorf("%s: %d tasks with real dispatchers, %d on virtual time", real.Jobs[i].Kind, a, b)
		}
	}
	a, b := real.Verdict.Counts, alone.Verdict.Counts
	t.Logf("real %+v\nvirtual %+v", a, b)
	if d := a.Served - b.Served; d > a.Served/20 || -d > a.Served/20 {
		t.Errorf("%d served by real dispatchers, %d on virtual time, want them within a twentieth", a.Served, b.Served)
	}
}

// Faults that do not concern the decision module must be an error on virtual time.
func TestVirtualFaults(t *testing.T) {
	t.Parallel()
	for _, name := range []faults.Name{faults.Cut, faults.Leader, faults.Reconfigure} {
		if _, err := RunVirtual(options(t, small(), faults.Spec{Name: name})); err == nil || !strings.Contains(err.Error(), "virtual time") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
