package play

import (
	"context"
	"testing"
	"time"

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
			if !r.Kept || r.Partial {
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
