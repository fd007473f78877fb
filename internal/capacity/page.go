package capacity

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Each table of the page is enclosed in two comment lines with its name.
const (
	beginMark = "<!-- capacity:%s -->\n"
	endMark   = "<!-- /capacity:%s -->"
)

const notMeasured = "not measured"

// tables maps the names of the page's tables to the functions that write them.
var tables = map[string]func(*Results) (string, error){
	"target": targetTable,
	"roles":  rolesTable,
	"slopes": slopesTable,
	"bounds": boundsTable,
	"breaks": breaksTable,
	"faults": faultsTable,
	"mix":    mixTable,
	"runs":   runsTable,

	"scaleruns": scaleRunsTable,
}

// Rewrite returns the page with all its tables regenerated.
func Rewrite(page string, all *Results) (string, error) {
	var failed error
	for name, write := range tables {
		text, err := write(all)
		if err == nil {
			page, err = replace(page, name, text)
		}
		failed = errors.Join(failed, err)
	}
	return page, failed
}

// replace replaces the table between the marks of a name.
func replace(page, name, text string) (string, error) {
	opening, closing := fmt.Sprintf(beginMark, name), fmt.Sprintf(endMark, name)
	head, rest, ok := strings.Cut(page, opening)
	if !ok {
		return page, fmt.Errorf("the line %q is missing", strings.TrimSpace(opening))
	}
	_, tail, ok := strings.Cut(rest, closing)
	if !ok {
		return page, fmt.Errorf("the line %q is missing after %q", closing, strings.TrimSpace(opening))
	}
	return head + opening + text + closing + tail, nil
}

// table formats rows as a Markdown table.
func table(head []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(head)
	delimiters := make([]string, len(head))
	for i := range delimiters {
		delimiters[i] = "---"
	}
	line(delimiters)
	for _, row := range rows {
		line(row)
	}
	return b.String()
}

// rolesTable has a row for each role and resource.
func rolesTable(all *Results) (string, error) {
	head := []string{"role", "what", "slope", "today", "a tenth", "the target", "budget", "factor", "carried by", "how known"}
	var rows [][]string
	for _, r := range Rows {
		row, err := r.cells(all)
		if err != nil {
			return "", err
		}
		rows = append(rows, row)
	}
	return table(head, rows), nil
}

func (r Row) cells(all *Results) ([]string, error) {
	series, run, ok := all.Series(r.SeriesID)
	if !ok {
		return []string{r.Role, r.Resource, notMeasured, "", "", "", r.BudgetText, "", r.Mechanism, notMeasured}, nil
	}
	fit, err := FitSeries(series.Points)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", series.ID, err)
	}
	cells := []string{r.Role, r.Resource, fmt.Sprintf("%s, by %s", fit.Form, series.GrowsWith)}
	for _, s := range sizes {
		cells = append(cells, amount(r.Figure(s, fit), r.Unit))
	}
	budget, factor := "none given", ""
	if r.Budget != nil {
		budget = r.BudgetText
		if r.Need != nil {
			budget = amount(r.Budget(Target, fit), r.Unit) + " " + r.BudgetText
		}
		factor = factorText(r.Figure(Target, fit) / r.Budget(Target, fit))
	}
	provenance := "measured"
	if fit.Extrapolated(r.Size(Target)) {
		provenance = "extrapolated"
	}
	if run.Partial {
		provenance += ", partial run"
	}
	return append(cells, budget, factor, r.Mechanism, provenance), nil
}

// factorText describes the ratio of the need to the budget: the factor that is missing or left.
func factorText(needed float64) string {
	if needed > 1 {
		return "**missing " + short(needed) + "**"
	}
	if needed <= 0 {
		return "nothing needed"
	}
	return "left " + short(1/needed)
}

// slopesTable has a row for each series with its points and its fit.
func slopesTable(all *Results) (string, error) {
	var rows [][]string
	for _, file := range all.Names() {
		result := all.Files[file]
		for _, s := range result.Series {
			fit, err := FitSeries(s.Points)
			if err != nil {
				return "", fmt.Errorf("%s: %w", s.ID, err)
			}
			var points []string
			for _, p := range s.Points {
				points = append(points, fmt.Sprintf("%s: %s", short(p.Size), short(p.Value)))
			}
			rows = append(rows, []string{s.Role, s.Quantity + " (" + s.Unit + ")", s.GrowsWith, strings.Join(points, "; "),
				fit.formula(), fmt.Sprintf("%.1f%%", 100*fit.Residual), "`" + result.Run.Command + "`"})
		}
	}
	return table([]string{"role", "what (unit)", "grows with", "measured", "fit", "residual", "command"}, rows), nil
}

// formula returns the fit as text.
func (f Fit) formula() string {
	if f.Form == Constant {
		return "constant " + short(f.Base)
	}
	return fmt.Sprintf("%s: %s + %s x %s", f.Form, short(f.Base), short(f.Slope), map[Form]string{Linear: "n", NLogN: "n log2 n", Quadratic: "n^2"}[f.Form])
}

func boundsTable(*Results) (string, error) {
	var rows [][]string
	for _, b := range Bounds() {
		rows = append(rows, []string{"`" + b.Name + "`", b.What, short(b.Limit), short(b.Need), b.Reason, factorText(b.Factor())})
	}
	return table([]string{"limit", "what", "in the code", "needed at the target", "why", "factor"}, rows), nil
}

// breaksTable lists what breaks on the way to the target, by the size at which it breaks.
func breaksTable(all *Results) (string, error) {
	type breakage struct {
		at   float64
		what string
		how  string
	}
	var list []breakage
	for _, r := range Rows {
		series, _, ok := all.Series(r.SeriesID)
		if !ok || r.Budget == nil {
			continue
		}
		fit, err := FitSeries(series.Points)
		if err != nil {
			return "", fmt.Errorf("%s: %w", series.ID, err)
		}
		if at := r.BreaksAt(fit); at <= 1 {
			list = append(list, breakage{at, r.Role + ": " + r.Resource, factorText(r.Figure(Target, fit) / r.Budget(Target, fit))})
		}
	}
	for _, b := range Bounds() {
		if b.Factor() > 1 && b.GrowsWithFleet {
			list = append(list, breakage{1 / b.Factor(), "limit `" + b.Name + "`: " + b.What, factorText(b.Factor())})
		}
	}
	slices.SortStableFunc(list, func(a, b breakage) int { return cmp.Compare(a.at, b.at) })
	var rows [][]string
	for i, b := range list {
		s := Target.scaled(b.at)
		rows = append(rows, []string{fmt.Sprint(i + 1), b.what, fmt.Sprintf("%s executors, %s running, %s starts a second", short(s.Executors), short(s.Running), short(s.Starts)), b.how})
	}
	return table([]string{"", "what breaks", "at", "at the target"}, rows), nil
}

// Fault is a kind of fault in the operators' figures.
type Fault struct {
	What      string
	Frequency string
	Updates   float64 // updates of the endpoint list
}

// Faults lists the faults of the target. An executor that fails and recovers causes two updates of the endpoint list.
var Faults = []Fault{
	{"a machine fails", "59 a day", 2},
	{"a machine is restarted or replaced", "2,000 a day", 2},
	{"a rack or switch is lost (taken as a sixth of a zone)", "each week", 2 * 6200.0 / Zones / 6},
	{"a zone is lost and returns", "once or twice a year", 2 * 6200.0 / Zones},
}

func faultsTable(all *Results) (string, error) {
	updateSeries, _, hasUpdates := all.Series("list.row.executors")
	listSeries, _, hasList := all.Series("list.bytes.executors")
	var rows [][]string
	for _, f := range Faults {
		cells := []string{f.What, f.Frequency, short(math.Round(f.Updates)), notMeasured, notMeasured, "`" + "internal/dispatch" + "`, `internal/discovery`"}
		if hasUpdates && hasList {
			updateFit, err := FitSeries(updateSeries.Points)
			if err != nil {
				return "", err
			}
			listFit, err := FitSeries(listSeries.Points)
			if err != nil {
				return "", err
			}
			cells[3] = amount(f.Updates*updateFit.At(Target.Executors)*perMicro, "core seconds")
			cells[4] = amount(f.Updates*listFit.At(Target.Executors)/Target.Executors, "bytes")
		}
		rows = append(rows, cells)
	}
	return table([]string{"fault", "how often", "rows of the list that change", "processor, in each process", "bytes, to each process", "carried by"}, rows), nil
}

func mixTable(*Results) (string, error) {
	var rows [][]string
	jobs := 0.0
	for _, m := range DayMix {
		jobs += m.Jobs
		rows = append(rows, []string{m.Kind, short(m.Jobs), short(m.Size), short(m.Jobs * m.Size)})
	}
	rows = append(rows, []string{"all", short(jobs), "", short(TasksPerDay())})
	return table([]string{"kind", "jobs a day", "tasks of one", "tasks a day"}, rows), nil
}

func runsTable(all *Results) (string, error) {
	var rows [][]string
	for _, name := range all.scaleNames() {
		r := all.ScaleRuns[name]
		state := "whole"
		if r.Partial {
			state = "partial: " + r.PartialWhy
		}
		rows = append(rows, []string{"`" + name + "`", "`" + r.Commit + "`", "`" + r.Command + "`", fmt.Sprint(r.Description.Seed), r.StartedAt.Format("2006-01-02 15:04"),
			fmt.Sprintf("%d cores, %s GiB, %s", r.Machine.Cores, short(math.Round(float64(r.Machine.MemoryMB)/102.4)/10), r.Machine.Go), state})
	}
	for _, name := range all.Names() {
		r := all.Files[name].Run
		state := "whole"
		if r.Partial {
			state = "partial"
		}
		if r.Changed {
			state += ", with changes since the commit"
		}
		rows = append(rows, []string{"`" + name + "`", "`" + r.Commit + "`", "`" + r.Command + "`", fmt.Sprint(r.Seed), r.At.Format("2006-01-02 15:04"),
			fmt.Sprintf("%s, %d cores, %s GiB, %s", r.Machine.Processor, r.Machine.Cores, short(math.Round(float64(r.Machine.MemoryMiB)/102.4)/10), r.Machine.Go), state})
	}
	return table([]string{"file", "program measured", "command", "seed", "at", "machine", "state"}, rows), nil
}

// amount formats a value with its unit, in the usual multiples of the unit.
func amount(value float64, unit string) string {
	switch unit {
	case "bytes", "bytes/s":
		suffix := strings.TrimPrefix(unit, "bytes")
		for _, m := range []struct {
			from float64
			name string
		}{{1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}} {
			if value >= m.from {
				return short(value/m.from) + " " + m.name + suffix
			}
		}
		return short(value) + " B" + suffix
	case "cores":
		return short(100*value) + "% of a core"
	}
	return short(value) + " " + unit
}

// short formats a number with three significant digits and thousands separators. Whole numbers keep all their digits.
func short(value float64) string {
	if value == 0 {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(value))))
	if value == math.Trunc(value) {
		digits = 0
	}
	text := fmt.Sprintf("%.*f", max(digits, 0), value)
	if digits < 0 && value != math.Trunc(value) {
		text = fmt.Sprintf("%.0f", value)
	}
	whole, decimals, fraction := strings.Cut(text, ".")
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if fraction {
		if decimals = strings.TrimRight(decimals, "0"); decimals != "" {
			return whole + "." + decimals
		}
	}
	return whole
}
