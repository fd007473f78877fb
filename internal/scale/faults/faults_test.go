package faults

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gatetack/internal/scale/fleet"
)

func mustSchedule(t *testing.T, d fleet.Description, texts ...string) []Action {
	t.Helper()
	var specs []Spec
	for _, text := range texts {
		s, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		specs = append(specs, s)
	}
	actions, err := Schedule(&d, d.Plan(), specs)
	if err != nil {
		t.Fatal(err)
	}
	return actions
}

// All executors of a zone fail together. The list shows the outage and the restart only after they happen.
func TestZone(t *testing.T) {
	d := fleet.Default()
	actions := mustSchedule(t, d, "zone")
	var kinds []ActionKind
	for _, a := range actions {
		kinds = append(kinds, a.Kind)
		if len(a.Executors) != 54 && len(a.Executors) != 53 {
			t.Errorf("%d executors, want those of one zone", len(a.Executors))
		}
	}
	if want := []ActionKind{Kill, ListRemoved, Boot, ListReady}; !slices.Equal(kinds, want) {
		t.Fatalf("%v, want %v", kinds, want)
	}
	if out := actions[2].At - actions[0].At; out != d.Duration/3 || actions[3].At >= d.Duration {
		t.Errorf("zone down for %v, ready in the list at %v", out, actions[3].At)
	}
}

// In a rolling restart an executor is listed as draining before it stops, and as ready only after it has restarted.
func TestRolling(t *testing.T) {
	d := fleet.Default()
	by := map[int][]ActionKind{}
	for _, a := range mustSchedule(t, d, "rolling=7") {
		by[a.Executors[0]] = append(by[a.Executors[0]], a.Kind)
	}
	if len(by) != 7 {
		t.Errorf("%d executors, want 7", len(by))
	}
	for x, kinds := range by {
		if want := []ActionKind{ListDraining, Kill, ListRemoved, Boot, ListReady}; !slices.Equal(kinds, want) {
			t.Errorf("executor %d: %v, want %v", x, kinds, want)
		}
	}
}

// 59 failures a day times a factor of 1,000 on 6,200 executors are 41 a minute.
func TestMachines(t *testing.T) {
	d := fleet.Default()
	d.Executors, d.Duration = 6200, 10*time.Minute
	failures := 0
	for _, a := range mustSchedule(t, d, "machine=1000") {
		if a.Kind == Kill {
			failures++
		}
	}
	if failures < 350 || failures > 470 {
		t.Errorf("%d failures in ten minutes, want about 410", failures)
	}
}

func TestCuts(t *testing.T) {
	for text, want := range map[string][2]bool{"cut-in": {true, false}, "cut-out": {false, true}, "cut": {true, true}} {
		actions := mustSchedule(t, fleet.Default(), text)
		if len(actions) != 2 || actions[0].Kind != SetCut || actions[1].Kind != LiftCut || [2]bool{actions[0].Inward, actions[0].Outward} != want {
			t.Errorf("%s: %+v", text, actions)
		}
	}
}

// Equal seeds must give equal schedules.
func TestSeeds(t *testing.T) {
	d := fleet.Default()
	all := []string{"zone", "rack", "machine", "rolling", "cut", "reconfigure=2"}
	if diff := cmp.Diff(mustSchedule(t, d, all...), mustSchedule(t, d, all...)); diff != "" {
		t.Error(diff)
	}
}

// The error of an invalid fault has the fault and the expected values.
func TestInvalidFaults(t *testing.T) {
	for _, text := range []string{"", "zones", "zone=2", "machine=", "machine=-1", "rolling=many", "machine=NaN"} {
		_, err := Parse(text)
		fe := (*fleet.FieldError)(nil)
		if !errors.As(err, &fe) || fe.Field != "fault" || !strings.Contains(err.Error(), "expected") {
			t.Errorf("%q: %v", text, err)
		}
	}
	d := fleet.Default()
	if _, err := Schedule(&d, d.Plan(), []Spec{{Name: Leader}}); err == nil || !strings.Contains(err.Error(), "store-members") {
		t.Errorf("leader fault without a store: %v", err)
	}
}
