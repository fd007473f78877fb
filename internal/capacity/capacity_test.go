package capacity

import (
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	pagePath    = "../../docs/CAPACITY.md"
	resultsPath = "../../docs/capacity"
	rewriteWith = "go run ./cmd/capacity page"
)

// The page agrees with the result files and the limits in the code.
func TestPageAgreesWithFilesAndLimits(t *testing.T) {
	all, err := Load(resultsPath)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	current := string(data)
	updated, err := Rewrite(current, all)
	if err != nil {
		t.Fatal(err)
	}
	if updated == current {
		return
	}
	currentLines, updatedLines := strings.Split(current, "\n"), strings.Split(updated, "\n")
	for i := range min(len(currentLines), len(updatedLines)) {
		if currentLines[i] != updatedLines[i] {
			t.Fatalf("docs/CAPACITY.md, line %d, is\n%s\nexpected from its result files and the limits in the code\n%s\nRun: %s",
				i+1, currentLines[i], updatedLines[i], rewriteWith)
		}
	}
	t.Fatalf("docs/CAPACITY.md has %d lines, expected %d from its result files and the limits. Run: %s", len(currentLines), len(updatedLines), rewriteWith)
}

// Rewrite replaces a wrong figure or an extra row. If it did not, the comparison of the page with its files would
// detect nothing.
func TestPageFollowsItsFigures(t *testing.T) {
	data, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, modified := range []string{
		strings.Replace(page, "| 4,096 |", "| 8,192 |", 1),
		strings.Replace(page, "<!-- /capacity:roles -->", "| by hand |\n<!-- /capacity:roles -->", 1),
	} {
		if modified == page {
			t.Fatal("the page does not contain the text to be modified")
		}
		all, err := Load(resultsPath)
		if err != nil {
			t.Fatal(err)
		}
		if updated, err := Rewrite(modified, all); err != nil || updated == modified {
			t.Errorf("Rewrite left a modified page unchanged, error %v", err)
		}
	}
	if _, err := Rewrite(strings.ReplaceAll(page, "<!-- capacity:bounds -->", ""), &Results{Files: map[string]Result{}}); err == nil {
		t.Error("Rewrite accepted a page without the mark of a table")
	}
}

// A row with a series has a size, a unit and a mechanism. A missing series is logged; the page calls it not measured.
func TestRowsNameSeries(t *testing.T) {
	all, err := Load(resultsPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range Rows {
		if r.SeriesID == "" {
			continue
		}
		if r.Size == nil || r.Unit == "" || r.Mechanism == "" {
			t.Errorf("%s, %s: row lacks a size, unit or mechanism", r.Role, r.Resource)
		}
		if _, _, ok := all.Series(r.SeriesID); !ok {
			t.Logf("%s is not measured", r.SeriesID)
		}
	}
}

func TestFitFindsTheForm(t *testing.T) {
	sizes := []float64{200, 800, 3100, 6200}
	for _, c := range []struct {
		form Form
		at   func(float64) float64
	}{
		{Constant, func(float64) float64 { return 7 }},
		{Linear, func(n float64) float64 { return 5 + 0.3*n }},
		{NLogN, func(n float64) float64 { return 0.02 * n * math.Log2(n) }},
		{Quadratic, func(n float64) float64 { return 3 + 1e-4*n*n }},
	} {
		var points []Point
		for _, n := range sizes {
			points = append(points, Point{n, c.at(n)})
		}
		fit, err := FitSeries(points)
		if err != nil || fit.Form != c.form || fit.Residual > 1e-6 {
			t.Errorf("%s: got %+v, %v", c.form, fit, err)
		}
		if want := c.at(20000); math.Abs(fit.At(20000)/want-1) > 1e-6 {
			t.Errorf("%s: %v at 20,000, want %v", c.form, fit.At(20000), want)
		}
		if fit.Extrapolated(4*6200) || !fit.Extrapolated(4*6200+1) {
			t.Errorf("%s: Extrapolated does not begin above four times the largest size", c.form)
		}
	}
}

// The mix adds up to the operators' number of jobs per day, and the target has enough slots for its running tasks.
func TestMixMatchesTarget(t *testing.T) {
	jobs := 0.0
	for _, m := range DayMix {
		jobs += m.Jobs
		if m.Kind == "gangs" && m.Size > MaxGangSize {
			t.Errorf("gangs of %v tasks, expected at most %d", m.Size, MaxGangSize)
		}
	}
	if jobs != JobsPerDay {
		t.Errorf("%v jobs per day, want %d", jobs, JobsPerDay)
	}
	if mean := TasksPerDay() / secondsPerDay; mean > Target.Starts {
		t.Errorf("mean of %v starts per second exceeds the peak of %v", mean, Target.Starts)
	}
	const slots, few, many = 14, 5400, 800
	if few+many != Target.Executors || few+4*many != Accelerators || slots*Target.Executors < Target.Running {
		t.Error("executors, accelerators and slots do not match the target")
	}
}

// An invalid result file is rejected with an error that names the file, the field and the expected value.
func TestBadResultFiles(t *testing.T) {
	good := `{"run":{"commit":"c","changed":false,"command":"x","seed":1,"at":"2026-01-01T00:00:00Z","machine":{"processor":"p","cores":8,"memory_mib":1,"go":"g"},"partial":false},` +
		`"series":[{"id":"a","role":"r","what":"w","unit":"us","grows":"n","fixed":"","points":[{"size":1,"value":1},{"size":2,"value":1},{"size":3,"value":1},{"size":30,"value":1}]}]}`
	for _, c := range []struct{ from, to, field string }{
		{"", "", ""},
		{`"commit":"c"`, `"commit":""`, "run.commit"},
		{`"cores":8`, `"cores":0`, "run.machine.cores"},
		{`"unit":"us"`, `"unit":""`, "series[0]: unit"},
		{`{"size":3,"value":1},`, ``, "points: 3"},
		{`"size":30`, `"size":29`, "factor of 30"},
		{`{"size":2,"value":1}`, `{"size":2,"value":-1}`, "points[1]"},
		{`{"size":2,"value":1}`, `{"size":1,"value":1}`, "points[1]"},
		{`"seed":1`, `"seeds":1`, "seeds"},
		{`"seed":1`, `"seed":"one"`, "seed"},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "x.json"), []byte(strings.Replace(good, c.from, c.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(dir)
		if c.field == "" {
			if err != nil {
				t.Errorf("valid file rejected: %v", err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), c.field) || !strings.Contains(err.Error(), "x.json") {
			t.Errorf("%s: %v, want an error that names x.json and %s", c.to, err, c.field)
		}
	}
}

// The handwritten sentences of the page about the aggregator agree with unexported constants of package dispatch.
func TestPageAgreesWithAggregatorLimits(t *testing.T) {
	page, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ file, constant, sentence string }{
		{"aggregator_server.go", `maxAggregatorRate\s+= 1000\b`, "up to 1,000 requests a second"},
		{"aggregator_message.go", `maxEncodedSlots\s+= 11\b`, "11 slots of an executor at most"},
		{"aggregator_message.go", `slotMask\s+= 15\b`, "its tags have 12 bits"},
	} {
		source, err := os.ReadFile(filepath.Join("../dispatch", c.file))
		if err != nil {
			t.Fatal(err)
		}
		if !regexp.MustCompile(c.constant).Match(source) {
			t.Errorf("internal/dispatch/%s has no match for %s, but docs/CAPACITY.md says %q", c.file, c.constant, c.sentence)
		}
		if !strings.Contains(strings.Join(strings.Fields(string(page)), " "), c.sentence) {
			t.Errorf("docs/CAPACITY.md does not say %q", c.sentence)
		}
	}
}
