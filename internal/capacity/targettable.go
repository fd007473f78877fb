package capacity

import (
	"fmt"
	"strings"
)

// targetTable has a row for each of the operators' figures: its interpretation and whether the measurements meet it.
func targetTable(all *Results) (string, error) {
	factorOf := func(id string) string {
		for _, r := range Rows {
			if r.SeriesID != id {
				continue
			}
			series, _, ok := all.Series(id)
			if !ok {
				return notMeasured
			}
			fit, err := FitSeries(series.Points)
			if err != nil || r.Budget == nil {
				return notMeasured
			}
			return factorText(r.Figure(Target, fit) / r.Budget(Target, fit))
		}
		return notMeasured
	}
	rows := [][]string{
		{fmt.Sprintf("%s executors, %s accelerators among them", short(Target.Executors), short(Accelerators)),
			"14 slots an executor, 86,800 in all; accelerators are slots: 5,400 executors with 1 and 800 with 4", "a list at each process: memory " + factorOf("decision.bytes.executors") + ", processor of a job " + factorOf("decision.job.executors")},
		{fmt.Sprintf("%s jobs a day, %s task starts a second at the peak", short(JobsPerDay), short(Target.Starts)),
			"the mix below; each start is asked of the hub and written to the store", "hub's bytes: " + factorOf("hub.out.executors") + "; store's writes: " + factorOf("store.rate.held")},
		{fmt.Sprintf("%s tasks running", short(Target.Running)), "as many records that may not be lost", "limits `StoreValues`, `StoreBytes` below"},
		{fmt.Sprintf("gangs of up to %d", MaxGangSize), "all tasks start together or none, over several executors", "**no mechanism**: arrays start one by one, wide jobs take slots of one executor"},
		{fmt.Sprintf("%s teams with quotas", short(Target.Tenants)), "tenants with limit, reserved share and borrowing", "processor of a job, by tenants: " + factorOf("decision.job.tenants")},
		{fmt.Sprintf("urgent work starts within %v s", MaxUrgentStartSeconds), "from submission to the told start, at full load, also beside a gang that waits", urgentText(all)},
		{fmt.Sprintf("%d regions with %d zones", Regions, Zones), "413 executors a zone; links between regions are lost for minutes", "**no mechanism**: one raft log spans all; a region that is cut off writes nothing"},
		{fmt.Sprintf("%s changes of configuration a day, in force everywhere within %v s", short(Target.ChangesPerDay), MaxChangeSeconds),
			"one each 5.8 s in the mean, each to 320 processes", "time: " + notMeasured + "; processor in each process: " + factorOf("settings.retune.tenants")},
		{"control on a node: 2.9% of a core, 64 MB, 4 KB a second", "read twice: on each dispatcher's node, and on each executor's machine", "dispatcher: the table of roles; executor's machine: " + notMeasured},
		{fmt.Sprintf("%d machines set aside", ControlMachines), fmt.Sprintf("each %d cores and %d GiB, as the machine of the figures", ControlMachineCores, ControlMachineBytes>>30), "store's processor: " + factorOf("store.leader.held")},
		{fmt.Sprintf("%d machines fail a day, %s are restarted or replaced, a rack or switch each week, a zone once or twice a year", FailuresPerDay, short(RestartsPerDay)),
			"each as changes of the list", "the table of faults; a zone's return: " + factorOf("list.row.executors")},
	}
	return table([]string{"the operators' figure", "what it is taken to be", "how it stands"}, rows), nil
}

// urgentText returns the share of urgent work that started in time in each scale run.
func urgentText(all *Results) string {
	var parts []string
	for _, name := range all.scaleNames() {
		r := all.ScaleRuns[name]
		parts = append(parts, fmt.Sprintf("%s (%s running at most, `%s`)", urgentStarts(r), short(float64(r.Running.Peak)), name))
	}
	if len(parts) == 0 {
		return notMeasured
	}
	return strings.Join(parts, "; ")
}
