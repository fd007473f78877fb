// Package clockcheck tests that no decision in the released program depends on the wall clock. An operator or a time
// server may set that clock by an hour at any time, so deadlines, windows, waits, leases and ages must be measured on
// the monotonic clock. Go's time.Time contains a monotonic reading beside the wall clock until it is converted, stored
// or parsed. The few decisions about dates, which must follow a clock that is set, are listed in allowed with the
// reason.
package clockcheck

import (
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/go/packages"
)

const module = "gatetack"

// load returns the packages that match the patterns, with their syntax and types.
func load(t *testing.T, patterns ...string) []*packages.Package {
	t.Helper()
	config := &packages.Config{Mode: packages.LoadSyntax, Dir: "../.."}
	pkgs, err := packages.Load(config, patterns...)
	if err != nil {
		t.Fatal(err)
	}
	if packages.PrintErrors(pkgs) > 0 {
		t.Fatal("loaded packages have errors")
	}
	return pkgs
}

// linkedPackages returns the import paths of this module's packages that are linked into a program.
func linkedPackages(t *testing.T, program string) (paths []string) {
	t.Helper()
	config := &packages.Config{Mode: packages.NeedName | packages.NeedImports | packages.NeedDeps, Dir: "../.."}
	pkgs, err := packages.Load(config, program)
	if err != nil {
		t.Fatal(err)
	}
	packages.Visit(pkgs, nil, func(p *packages.Package) {
		if strings.HasPrefix(p.PkgPath, module+"/") {
			paths = append(paths, p.PkgPath)
		}
	})
	return paths
}

// Only the functions listed in allowed make decisions by the wall clock in the released program.
func TestDecisionsUseTheMonotonicClock(t *testing.T) {
	pkgs := load(t, linkedPackages(t, module+"/cmd/gatetack")...)
	unused := map[string]bool{}
	for function := range allowed {
		unused[function] = true
	}
	for _, f := range analyze(module, pkgs) {
		if allowed[f.function] == "" {
			t.Errorf("%v", f)
		}
		delete(unused, f.function)
	}
	for function := range unused {
		t.Errorf("%s does not decide by the wall clock: remove it from the allowed functions", function)
	}
}

// The analysis finds each kind of wall-clock decision in the sample package and reports no other function of it.
func TestAnalysisFindsEachKindOfDecision(t *testing.T) {
	const path = module + "/internal/clockcheck/testdata/sample"
	var reported []string
	for _, f := range analyze(module, load(t, path)) {
		reported = append(reported, strings.TrimPrefix(f.function, "sample."))
	}
	slices.Sort(reported)
	reported = slices.Compact(reported)
	want := []string{"ageOfStored", "comparedNumbers", "connectionDeadline", "expiredAtParsed", "roundedBefore",
		"sinceUTC", "spanOfNumbers", "throughField", "throughParameter", "throughResult", "untilUnix"}
	if !slices.Equal(reported, want) {
		t.Errorf("functions with findings: %v, want %v", reported, want)
	}
}
