package workload

import (
	"math"
	"slices"
	"testing"
	"time"

	"gatetack/internal/scale/fleet"
)

func all(d fleet.Description) []Task {
	g := New(d)
	var out []Task
	for {
		t, ok := g.Next()
		if !ok {
			return out
		}
		out = append(out, t)
	}
}

// The job mix must match the operators' figures: 1,500 task starts a second from 4.0 jobs a second, which is six
// times 57,000 a day, and 84,000 running tasks.
func TestMixGivesTheOperatorsFigures(t *testing.T) {
	d := fleet.Default()
	d.Starts, d.Running, d.Duration, d.Tenants = 1500, 84000, 10*time.Minute, 450
	tasks := all(d)
	jobs, run := map[int]bool{}, time.Duration(0)
	for _, x := range tasks {
		jobs[x.Job] = true
		run += x.Run
	}
	seconds := d.Duration.Seconds()
	if rate := float64(len(tasks)) / seconds; math.Abs(rate-1500) > 150 {
		t.Errorf("%.0f starts a second, want 1500 within a tenth", rate)
	}
	if rate := float64(len(jobs)) / seconds; math.Abs(rate-4.0) > 0.4 {
		t.Errorf("%.2f jobs a second, want 4.0 within a tenth", rate)
	}
	if running := run.Seconds() / seconds; math.Abs(running-84000) > 8400 {
		t.Errorf("%.0f running, want 84,000 within a tenth", running)
	}
}

// Equal seeds must give equal loads, and different seeds different ones. Tasks must be in the order in which they are
// due, and within the bounds of the description.
func TestEqualSeedsDrawEqualLoadsInOrderOfTheirDueTimes(t *testing.T) {
	d := fleet.Default()
	one := all(d)
	if !slices.Equal(one, all(d)) {
		t.Error("two loads from the same seed differ")
	}
	kinds := map[Kind]int{}
	for i, x := range one {
		kinds[x.Kind]++
		if x.Number != i+1 || i > 0 && x.Due < one[i-1].Due || x.Due >= d.Duration || x.Tenant >= d.Tenants ||
			x.Dispatcher >= d.Dispatchers ||
			x.Run <= 0 || x.Run > maxRun*d.MeanRun() ||
			(x.Kind == Urgent) != (x.Class == fleet.ClassUrgent) {
			t.Fatalf("task %d: %+v", i, x)
		}
	}
	if len(kinds) != int(Kinds) {
		t.Errorf("kinds: %v", kinds)
	}
	d.Seed++
	if slices.Equal(one, all(d)) {
		t.Error("two seeds give the same load")
	}
}

// On a ramp the second half must have at least twice as many tasks as the first.
func TestRampDrawsMoreInItsSecondHalf(t *testing.T) {
	d := fleet.Default()
	d.Starts, d.StartsTo, d.Duration = 100, 1000, 2*time.Minute
	halves := [2]int{}
	for _, x := range all(d) {
		halves[int(2*x.Due/d.Duration)]++
	}
	if halves[1] < 2*halves[0] {
		t.Errorf("tasks in the halves of a ramp: %v, want at least twice as many in the second", halves)
	}
}
