// Package clockcheck fails when a decision in the shipped program goes by the wall clock. An operator or a time
// server may set that clock by an hour at any moment, so deadlines, windows, waits, leases and ages have to be
// measured on the monotonic clock, which Go's time.Time carries beside the wall clock until it is converted, stored
// or parsed. The few decisions that are about dates, and are to follow a clock that was set, are listed in allowed
// with the reason.
package clockcheck

import (
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/go/packages"
)

const module = "gatetack"

// load returns packages with their syntax and types.
func load(t *testing.T, patterns ...string) []*packages.Package {
	t.Helper()
	config := &packages.Config{Mode: packages.LoadSyntax, Dir: "../.."}
	pkgs, err := packages.Load(config, patterns...)
	if err != nil {
		t.Fatal(err)
	}
	if packages.PrintErrors(pkgs) > 0 {
		t.Fatal("packages that do not compile")
	}
	return pkgs
}

// shipped returns the import paths of the packages that a program is built of and that are ours.
func shipped(t *testing.T, program string) (paths []string) {
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

// A decision of the shipped program goes by the wall clock only in the places that are listed with their reason.
func TestDecisionsUseTheMonotonicClock(t *testing.T) {
	pkgs := load(t, shipped(t, module+"/cmd/gatetack")...)
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
		t.Errorf("%s is allowed to decide by the wall clock and does not: remove it from the list", function)
	}
}

// The analysis finds each kind of bad line in a package made for it, and nothing in the good ones.
func TestAnalysisFindsEachKindOfDecision(t *testing.T) {
	const path = module + "/internal/clockcheck/testdata/sample"
	var bad []string
	for _, f := range analyze(module, load(t, path)) {
		bad = append(bad, strings.TrimPrefix(f.function, "sample."))
	}
	slices.Sort(bad)
	bad = slices.Compact(bad)
	want := []string{"ageOfStored", "comparedNumbers", "connectionDeadline", "expiredAtParsed", "roundedBefore",
		"sinceUTC", "spanOfNumbers", "throughField", "throughParameter", "throughResult", "untilUnix"}
	if !slices.Equal(bad, want) {
		t.Errorf("found in %v, want %v", bad, want)
	}
}
