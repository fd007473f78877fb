package play

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gatetack/internal/scale/faults"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/process"
	"gatetack/internal/scale/result"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

var program, self string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		panic(err)
	}
	program, self = filepath.Join(dir, "gatetack"), filepath.Join(dir, "scalerun")
	if out, err := exec.Command("go", "build", "-o", dir, "gatetack/cmd/gatetack", "gatetack/cmd/scalerun").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// small returns a fleet whose run takes some seconds.
func small() fleet.Description {
	d := fleet.Default()
	d.Executors, d.Dispatchers, d.Tenants, d.Starts, d.Running, d.Duration = 60, 3, 4, 40, 20, 6*time.Second
	d.MemoryMB, d.Sockets = 192, 1024
	return d
}

func options(t *testing.T, d fleet.Description, specs ...faults.Spec) Options {
	return Options{Description: d, Faults: specs, Program: program, Self: self, Dir: t.TempDir(), Command: "test", Commit: "test", Budget: process.DefaultBudget}
}

// A short run with real dispatchers, a zone that fails and restarts cold, and configuration changes. The checks concern only counts
// and rules, which do not depend on the machine's speed.
func TestShortRun(t *testing.T) {
	t.Parallel()
	r, err := Run(context.Background(), options(t, small(), faults.Spec{Name: faults.Zone}, faults.Spec{Name: faults.Reconfigure, Value: 2}))
	if err != nil {
		t.Fatal(err)
	}
	if !r.RulesKept || r.Partial {
		t.Errorf("partial %v %s; %+v", r.Partial, r.PartialWhy, r.Verdict.Violations)
	}
	for _, j := range r.Jobs {
		if j.Served+j.Rejected+j.Failed != j.Tasks {
			t.Errorf("%s: %d tasks, but %d served, %d rejected, %d failed", j.Kind, j.Tasks, j.Served, j.Rejected, j.Failed)
		}
	}
	c := r.Verdict.Counts
	if c.Served == 0 || c.Starts < c.Served || c.Lost+c.Crashed+c.Open+c.Doubled != 0 {
		t.Errorf("%+v", c)
	}
	if r.Changes.Made != 2 || int(r.Changes.InForce.Count)+r.Changes.NotInForce != 2 {
		t.Errorf("changes: %+v", r.Changes)
	}
	if len(r.Processes) != 4 || r.Processes[0].Role != "dispatcher" || r.Processes[0].PrivateMB <= 0 || r.Processes[0].Descriptors == 0 {
		t.Errorf("processes: %+v", r.Processes)
	}
	for _, role := range []string{"client", "executor", "callback", "discovery", "peer"} {
		if x := r.Traffic[role]; x.MessagesIn == 0 || x.BytesOut == 0 {
			t.Errorf("%s: %+v", role, x)
		}
	}
	path := filepath.Join(t.TempDir(), "scalerun-test.json")
	if err := result.Write(path, r); err != nil {
		t.Fatal(err)
	}
	if _, err := result.Read(path); err != nil {
		t.Error(err)
	}
}

// Client processes must submit the same load as clients in the tool's process, and their events must be judged with the others.
func TestClientProcesses(t *testing.T) {
	t.Parallel()
	d := small()
	d.Clients, d.Duration = 2, 4*time.Second
	r, err := Run(context.Background(), options(t, d))
	if err != nil {
		t.Fatal(err)
	}
	tasks, notified := int64(0), int64(0)
	for _, j := range r.Jobs {
		tasks += j.Tasks
		notified += j.StartNotified.Count
	}
	load, want := workload.New(d), int64(0)
	for _, ok := load.Next(); ok; _, ok = load.Next() {
		want++
	}
	if c := r.Verdict.Counts; !r.RulesKept || r.Partial || tasks != want || int64(c.Served+c.Failed) != want || notified == 0 {
		t.Errorf("%d tasks of %d, %d starts notified; %+v %+v %v", tasks, want, notified, c, r.Verdict.Violations, r.Notes)
	}
	if n := len(r.Processes); n != d.Dispatchers+1+d.Clients {
		t.Errorf("%d processes measured", n)
	}
}

// An interrupted run must give a partial result and leave no process.
func TestInterrupted(t *testing.T) {
	t.Parallel()
	d := small()
	d.Duration = time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	o := options(t, d)
	go func() {
		for !served(o.Dir) {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		cancel()
	}()
	r, err := Run(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	if !r.Partial || r.PartialWhy == "" {
		t.Errorf("partial %v, why %q", r.Partial, r.PartialWhy)
	}
	if n := r.Verdict.ViolationCounts[verdict.FinalAnswer]; n != 0 {
		t.Errorf("%d requests that were open when the run was interrupted count as lost", n)
	}
}

// served reports whether the first dispatcher has written to its log.
func served(dir string) bool {
	info, err := os.Stat(filepath.Join(dir, fleet.DispatcherName(0), "log"))
	return err == nil && info.Size() > 0
}

// A run that needs more memory or processes than its budget must not start.
func TestBounds(t *testing.T) {
	t.Parallel()
	o := options(t, small())
	o.Budget = process.Budget{MemoryBytes: 1 << 20, Processes: 200}
	if r, err := Run(context.Background(), o); err == nil || r != nil {
		t.Errorf("%+v %v", r, err)
	}
	o.Budget = process.Budget{MemoryBytes: 12 << 30, Processes: 3}
	if r, err := Run(context.Background(), o); err == nil || r != nil {
		t.Errorf("%+v %v", r, err)
	}
}

// Each fault on sockets must leave all rules kept, and each task must end exactly once.
func TestFaults(t *testing.T) {
	t.Parallel()
	for _, name := range []faults.Name{faults.Cut, faults.CutInward, faults.CutOutward, faults.Rack, faults.Machine, faults.Rolling} {
		t.Run(string(name), func(t *testing.T) {
			t.Parallel()
			spec, err := faults.Parse(string(name))
			if err != nil {
				t.Fatal(err)
			}
			switch name { // values that give several faults in a short run with few executors
			case faults.Machine:
				spec.Value = 20000
			case faults.Rolling:
				spec.Value = 5
			}
			r, err := Run(context.Background(), options(t, small(), spec))
			if err != nil {
				t.Fatal(err)
			}
			if !r.RulesKept || r.Partial {
				t.Errorf("partial %v %s; %+v", r.Partial, r.PartialWhy, r.Verdict.Violations)
			}
			for _, j := range r.Jobs {
				if j.Served+j.Rejected+j.Failed != j.Tasks {
					t.Errorf("%s: %d tasks, but %d served, %d rejected, %d failed", j.Kind, j.Tasks, j.Served, j.Rejected, j.Failed)
				}
			}
			t.Logf("%+v", r.Verdict.Counts)
		})
	}
}
