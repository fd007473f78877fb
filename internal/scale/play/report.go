package play

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gatetack/internal/scale/faults"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/result"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

// requestedRate returns the requested task starts per second at the time now.
func (r *run) requestedRate(now time.Time) float64 {
	d := &r.Description
	if d.StartsTo <= d.Starts {
		return d.Starts
	}
	return d.Starts + (d.StartsTo-d.Starts)*min(1, float64(now.Sub(r.loadStart))/float64(d.Duration))
}

// report judges the run and returns its result.
func (r *run) report(s *sampler, played time.Duration) *result.Result {
	events := r.record.Events()
	end := r.record.Now()
	out := &result.Result{Tool: result.Tool, Format: result.Format, Commit: r.Commit, Command: r.Command, Machine: machine(), StartedAt: r.loadStart.UTC().Truncate(time.Second),
		Description: r.Description, Faults: faultNames(r.Faults), Seconds: played.Seconds(), Verdict: verdict.JudgeEvents(verdict.RulesFor(&r.Description, max(r.lag.worst(), r.clientLag)), events, end),
		Traffic: r.traffic.Sum(), Saturated: s.saturated, ToolLag: r.lag.sum(), MemoryMB: float64(s.peak) / (1 << 20), Changes: r.changes.sum(), Notes: r.notes()}
	out.Machine.LoadBefore = r.loadAverage
	out.RulesKept = out.Verdict.Passed()
	out.Jobs = r.jobs()
	whole, part, none, spread := r.record.Gangs()
	out.Gangs = result.Gangs{Whole: whole, Part: part, None: none, SpreadMS: float64(spread) / float64(time.Millisecond)}
	out.Running = r.running(events)
	for _, w := range s.watched {
		out.Processes = append(out.Processes, w.result(played))
	}
	return out
}

func faultNames(specs []faults.Spec) []string {
	out := []string{}
	for _, s := range specs {
		name := string(s.Name)
		if s.Value > 0 {
			name += "=" + strconv.FormatFloat(s.Value, 'g', -1, 64)
		}
		out = append(out, name)
	}
	return out
}

func (r *run) jobs() []result.Jobs {
	latencies, counts := r.record.Latencies(), r.clients.Results().Counts()
	var out []result.Jobs
	for kind := range workload.Kinds {
		j := result.Jobs{Kind: kind.String(), Tasks: counts.Tasks[kind], Served: counts.Served[kind],
			Rejected: counts.Refused[kind], Failed: counts.Failed[kind]}
		j.StartNotified = latency(latencies[kind], j.Tasks)
		out = append(out, j)
	}
	return out
}

// latency summarizes a histogram in microseconds. The share within the target is relative to the number of due tasks.
func latency(h *hdrhistogram.Histogram, due int64) result.Latency {
	ms := func(quantile float64) float64 { return float64(h.ValueAtQuantile(quantile)) / 1000 }
	l := result.Latency{Count: h.TotalCount(), P50: ms(50), P90: ms(90), P99: ms(99), Max: float64(h.Max()) / 1000}
	if due > 0 {
		within := int64(0)
		for _, bar := range h.Distribution() {
			if bar.To <= fleet.UrgentStartTarget.Microseconds() {
				within += bar.Count
			}
		}
		l.Within = math.Round(1000*float64(within)/float64(due)) / 1000
	}
	return l
}

// running counts concurrently running tasks and starts per second. The events must be in the order of their times.
func (r *run) running(events []verdict.Event) result.Running {
	d := &r.Description
	out := result.Running{MeanRunMillis: float64(d.MeanRun()) / float64(time.Millisecond)}
	for _, x := range r.plan {
		out.Slots += x.Slots
	}
	starts, requested := map[int]int{}, map[int]int{}
	running := map[int32]int32{} // number of running tasks by executor
	seen := map[int32]bool{}
	now, total, tasks := 0, 0, 0
	for _, e := range events {
		second := int(e.At / time.Second)
		switch e.Kind {
		case verdict.Submitted:
			if !seen[e.Task] {
				seen[e.Task] = true
				tasks++
				requested[second]++
			}
		case verdict.Started:
			now++
			total++
			starts[second]++
			running[e.Executor]++
			out.Peak = max(out.Peak, now)
		case verdict.Ended:
			now--
			running[e.Executor]--
		case verdict.Died:
			now -= int(running[e.Executor])
			running[e.Executor] = 0
		}
	}
	for _, n := range starts {
		out.StartsPeakPS = max(out.StartsPeakPS, n)
	}
	for _, n := range requested {
		out.RequestedPeakPS = max(out.RequestedPeakPS, n)
	}
	out.StartsPerS = float64(total) / d.Duration.Seconds()
	out.RequestedPerS = float64(tasks) / d.Duration.Seconds()
	return out
}

func machine() result.Machine {
	m := result.Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	if text, err := os.ReadFile("/proc/sys/kernel/osrelease"); err == nil {
		m.Kernel = strings.TrimSpace(string(text))
	}
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		kb := 0
		if _, err := fmt.Sscanf(string(text), "MemTotal: %d kB", &kb); err == nil {
			m.MemoryMB = kb >> 10
		}
	}
	return m
}
