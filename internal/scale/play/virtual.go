package play

import (
	"fmt"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"gatetack/internal/scale/faults"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/hollow"
	"gatetack/internal/scale/process"
	"gatetack/internal/scale/result"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/virtual"
	"gatetack/internal/scale/workload"
)

// threadMeter measures the processor time of the steps of all modules, which run on one thread.
type threadMeter struct {
	began time.Duration
	spent []time.Duration
	worst time.Duration // longest time of one step
	err   error
}

func (m *threadMeter) now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		m.err = err
	}
	return time.Duration(t.Nano())
}

// Begin starts the measurement of a step.
func (m *threadMeter) Begin(int) { m.began = m.now() }

// End adds the time of a step.
func (m *threadMeter) End(dispatcher int) {
	elapsed := m.now() - m.began
	m.spent[dispatcher] += elapsed
	m.worst = max(m.worst, elapsed)
}

// RunVirtual runs the decision modules of a fleet alone, on virtual time.
func RunVirtual(o Options) (*result.Result, error) {
	d := &o.Description
	if err := d.Check(); err != nil {
		return nil, err
	}
	if err := virtualFaults(o.Faults); err != nil {
		return nil, err
	}
	actions, err := faults.Schedule(d, d.Plan(), o.Faults)
	if err != nil {
		return nil, err
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	load, err := process.LoadAverage()
	if err != nil {
		return nil, err
	}
	before := heapBytes()
	m := &threadMeter{spent: make([]time.Duration, d.TotalDispatchers())}
	began := time.Now()
	w, err := virtual.New(*d, actions, verdict.RulesFor(d, 0), m)
	if err != nil {
		return nil, err
	}
	found, counts := w.Play()
	if m.err != nil {
		return nil, fmt.Errorf("processor time: %w", m.err)
	}
	out := &result.Result{Tool: result.Tool, Format: result.Format, Commit: o.Commit, Command: o.Command, Machine: machine(), StartedAt: began.UTC().Truncate(time.Second),
		Description: *d, Faults: faultNames(o.Faults), Virtual: true, Seconds: d.Duration.Seconds(), RulesKept: found.Passed(), Verdict: found,
		Traffic:  map[string]hollow.RoleTraffic{hollow.RolePeer.String(): {MessagesOut: int64(counts.GossipMessages), BytesIn: int64(counts.GossipBytes)}},
		MemoryMB: float64(heapBytes()-before) / (1 << 20)}
	out.Machine.LoadBefore = load
	for kind := range workload.Kinds {
		out.Jobs = append(out.Jobs, virtualJobs(kind, &counts))
	}
	out.Running = virtualRunning(d, &counts, found)
	for i, spent := range m.spent {
		out.Processes = append(out.Processes, result.Process{Name: fleet.DispatcherName(i), Role: "decision module", CPUSeconds: spent.Seconds(), CPUMean: spent.Seconds() / d.Duration.Seconds()})
	}
	out.Notes = []string{fmt.Sprintf("ran in %.1f s; %d steps, the longest %.1f ms; %d attempts, %d health checks; %d tasks were running when the load ended", time.Since(began).Seconds(),
		counts.Steps, float64(m.worst)/float64(time.Millisecond), counts.Sends, counts.HealthChecks, counts.RunningAtEnd)}
	runtime.KeepAlive(w)
	return out, nil
}

// virtualFaults returns an error for faults that are not available on virtual time.
func virtualFaults(specs []faults.Spec) error {
	for _, s := range specs {
		switch s.Name {
		case faults.Machine, faults.Rolling, faults.Rack, faults.Zone:
		default:
			return &fleet.FieldError{Field: "fault", Got: s.Name, Expected: "machine, rolling, rack or zone on virtual time"}
		}
	}
	return nil
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func virtualJobs(kind workload.Kind, c *virtual.Counts) result.Jobs {
	h := hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), latencyDigits)
	for _, latency := range c.StartLatencies[kind] {
		_ = h.RecordValue(max(1, latency.Microseconds()))
	}
	j := result.Jobs{Kind: kind.String(), Tasks: int64(c.Tasks[kind]), Served: int64(c.Served[kind]), Rejected: int64(c.Rejected[kind]), Failed: int64(c.Failed[kind])}
	j.StartNotified = latency(h, j.Tasks)
	return j
}

func virtualRunning(d *fleet.Description, c *virtual.Counts, v *verdict.Verdict) result.Running {
	out := result.Running{Peak: c.RunningPeak, StartsPerS: float64(v.Counts.Starts) / d.Duration.Seconds(), MeanRunMillis: float64(d.MeanRun()) / float64(time.Millisecond)}
	for _, x := range d.Plan() {
		out.Slots += x.Slots
	}
	for _, n := range c.Tasks {
		out.RequestedPerS += float64(n) / d.Duration.Seconds()
	}
	return out
}
