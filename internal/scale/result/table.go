package result

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"gatetack/internal/scale/verdict"
)

// Table writes a result as a human-readable table.
func Table(w io.Writer, r *Result) error {
	t := &table{w: w}
	d := &r.Description
	t.line("%d hollow executors (%d slots), %d real dispatchers (%d of them store members), %d tenants, seed %d, faults: %s",
		d.Executors, r.Running.Slots, d.Dispatchers, d.StoreMembers, d.Tenants, d.Seed, strings.Join(r.Faults, " "))
	for _, note := range r.Notes {
		t.line("%s", note)
	}
	if r.Virtual {
		t.line("on virtual time: the decision modules alone")
	}
	if r.Partial {
		t.line("PARTIAL: %s", r.PartialWhy)
	}
	t.line("machine: %d cores, load average before the run %.1f", r.Machine.Cores, r.Machine.LoadBefore)
	t.line("asked %.0f starts a second (%d in the busiest), started %.0f (%d in the best), %d running at most; the tool's lag p99 %.1f ms, max %.0f ms",
		r.Running.RequestedPerS, r.Running.RequestedPeakPS, r.Running.StartsPerS, r.Running.StartsPeakPS, r.Running.Peak, r.ToolLag.P99, r.ToolLag.Max)
	t.line("\n| job | tasks | served | refused | failed | start told p50 ms | p90 | p99 | max | within 2.2 s |")
	t.line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, j := range r.Jobs {
		s := j.StartNotified
		t.line("| %s | %d | %d | %d | %d | %.0f | %.0f | %.0f | %.0f | %.3f |", j.Kind, j.Tasks, j.Served, j.Rejected, j.Failed, s.P50, s.P90, s.P99, s.Max, s.Within)
	}
	t.line("gangs: %d whole (%.0f ms from first to last start on the mean), %d in part, %d not at all", r.Gangs.Whole, r.Gangs.SpreadMS, r.Gangs.Part, r.Gangs.None)
	if r.Changes.Made > 0 {
		c := r.Changes
		t.line("changes: %d made, in force at the last dispatcher after p50 %.0f ms, p99 %.0f ms, max %.0f ms; %d not within 6 s", c.Made, c.InForce.P50, c.InForce.P99, c.InForce.Max, c.NotInForce)
	}
	t.processes(r)
	t.line("\n| traffic | bytes in | bytes out | messages in | messages out |\n| --- | --- | --- | --- | --- |")
	for _, role := range slices.Sorted(maps.Keys(r.Traffic)) {
		x := r.Traffic[role]
		t.line("| %s | %d | %d | %d | %d |", role, x.BytesIn, x.BytesOut, x.MessagesIn, x.MessagesOut)
	}
	t.verdict(r)
	return t.err
}

type table struct {
	w   io.Writer
	err error
}

func (t *table) line(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format+"\n", args...)
	}
}

func (t *table) processes(r *Result) {
	t.line("\n| process | cpu mean | cpu peak | private MB | descriptors | read MB | written MB | |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, p := range r.Processes {
		t.line("| %s | %.4f | %.2f | %.1f | %d | %.1f | %.1f | %s |", p.Name, p.CPUMean, p.CPUPeak, p.PrivateMB, p.Descriptors,
			float64(p.ReadBytes)/1e6, float64(p.WrittenBytes)/1e6, p.Ended)
	}
	if s := r.Saturated; s != nil {
		t.line("saturated first: %s at %.0f s (%.2f cores), with %.0f starts a second asked for", s.Process, s.AtSeconds, s.Cores, s.StartsPerS)
	} else {
		t.line("no process was saturated")
	}
}

func (t *table) verdict(r *Result) {
	c := r.Verdict.Counts
	t.line("\nrequests %d: served %d, refused %d, failed %d, lost %d, crashed %d, unreached %d, open %d; doubled starts %d",
		c.Requests, c.Served, c.Rejected, c.Failed, c.Lost, c.Crashed, c.Unreached, c.Open, c.Doubled)
	for _, rule := range verdict.AllRules {
		state := "kept"
		if n := r.Verdict.ViolationCounts[rule]; n > 0 {
			state = fmt.Sprintf("BROKEN %d times", n)
		}
		t.line("%s: %s", rule, state)
	}
	for _, v := range r.Verdict.Violations {
		t.line("  %s at %.3f s: %s: %s", v.Request, v.At.Seconds(), v.Rule, v.Text)
	}
	if r.RulesKept {
		t.line("VERDICT: all rules kept")
		return
	}
	t.line("VERDICT: broken")
}
