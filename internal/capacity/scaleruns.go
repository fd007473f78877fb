package capacity

import (
	"fmt"
	"slices"
	"strings"

	"gatetack/internal/scale/result"
)

// scaleNames returns the sorted file names of the scale runs.
func (r *Results) scaleNames() []string {
	var names []string
	for name := range r.ScaleRuns {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// scaleRunsTable has a row for each scale run result.
func scaleRunsTable(all *Results) (string, error) {
	head := []string{"file", "played", "starts a second, running at most", "urgent told started within 2.2 s", "served, failed, lost", "rules",
		"a dispatcher: processor, memory, bytes in and out", "an executor: bytes in and out", "saturated first"}
	var rows [][]string
	for _, name := range all.scaleNames() {
		rows = append(rows, scaleRunCells(name, all.ScaleRuns[name]))
	}
	return table(head, rows), nil
}

func scaleRunCells(name string, r *result.Result) []string {
	d := &r.Description
	played := fmt.Sprintf("%s executors, %d dispatchers, %d tenants, faults %s", short(float64(d.Executors)), d.Dispatchers, d.Tenants, strings.Join(r.Faults, ", "))
	if r.Virtual {
		played += "; decision modules alone, on virtual time"
	}
	if r.Partial {
		played += "; **partial**"
	}
	rules := "kept"
	if !r.RulesKept {
		rules = "**broken**"
	}
	return []string{"`" + name + "`", played, fmt.Sprintf("%s asked, %s begun; %s running", short(r.Running.RequestedPerS), short(r.Running.StartsPerS), short(float64(r.Running.Peak))),
		urgentStarts(r), outcomes(r), rules, dispatcherUse(r), executorTraffic(r), saturatedFirst(r)}
}

// urgentStarts returns the share of urgent tasks whose start notification was in time.
func urgentStarts(r *result.Result) string {
	for _, jobs := range r.Jobs {
		if jobs.Kind == "urgent" {
			return fmt.Sprintf("%s of %s", percent(jobs.StartNotified.Within), short(float64(jobs.Tasks)))
		}
	}
	return notMeasured
}

func percent(share float64) string { return short(100*share) + "%" }

func outcomes(r *result.Result) string {
	counts := r.Verdict.Counts
	return fmt.Sprintf("%s, %s, %s of %s", short(float64(counts.Served)), short(float64(counts.Failed)), short(float64(counts.Lost)), short(float64(counts.Requests)))
}

// dispatcherUse returns the mean and peak resource use of the dispatchers.
func dispatcherUse(r *result.Result) string {
	if r.Virtual || r.Seconds <= 0 {
		return notMeasured
	}
	n, cores, peak, memory, traffic := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, p := range r.Processes {
		if p.Role != "dispatcher" {
			continue
		}
		n++
		cores += p.CPUMean
		peak, memory = max(peak, p.CPUPeak), max(memory, p.PrivateMB)
		traffic += float64(p.ReadBytes+p.WrittenBytes) / r.Seconds
	}
	if n == 0 {
		return notMeasured
	}
	return fmt.Sprintf("%s, %s at most; %s MB at most; %s", amount(cores/n, "cores"), amount(peak, "cores"), short(memory), amount(traffic/n, "bytes/s"))
}

// executorTraffic returns the mean traffic of an executor, in both directions.
func executorTraffic(r *result.Result) string {
	if r.Virtual || r.Seconds <= 0 || r.Description.Executors == 0 {
		return notMeasured
	}
	bytes := 0.0
	for _, role := range []string{"executor", "callback"} {
		t := r.Traffic[role]
		bytes += float64(t.BytesIn + t.BytesOut)
	}
	return amount(bytes/r.Seconds/float64(r.Description.Executors), "bytes/s")
}

func saturatedFirst(r *result.Result) string {
	switch {
	case r.Virtual:
		return notMeasured
	case r.Saturated == nil:
		return "nothing"
	}
	return fmt.Sprintf("%s, %s s after the start", r.Saturated.Process, short(r.Saturated.AtSeconds))
}
