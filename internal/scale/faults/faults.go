// Package faults generates the schedule of faults of a scale run from a seed. It does no I/O and reads no clock.
package faults

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"gatetack/internal/scale/fleet"
)

// Name is the name of a kind of fault.
type Name string

// The kinds of faults.
const (
	Machine     Name = "machine"     // machines fail at the rate of the operators' fleet times the value
	Rolling     Name = "rolling"     // a number of executors are drained and restarted cold, one after another over the run
	Rack        Name = "rack"        // a rack fails for a third of the run and restarts cold
	Zone        Name = "zone"        // a zone fails for a third of the run and restarts cold
	CutInward   Name = "cut-in"      // a region's executors receive nothing from other regions, for a third of the run
	CutOutward  Name = "cut-out"     // other regions receive nothing from a region's executors, for a third of the run
	Cut         Name = "cut"         // both directions are cut
	Leader      Name = "leader"      // the store's leader is killed and restarted after a third of the run
	Reconfigure Name = "reconfigure" // the dispatchers' configuration changes at an interval in seconds
)

// machinesPerDay is how many of the fleetSize machines of the operators' fleet fail a day.
const (
	machinesPerDay = 59
	fleetSize      = 6200
)

// defaultValues are the values of faults that are given without one. A fault that takes no value has 0.
var defaultValues = map[Name]float64{Machine: 1000, Rolling: 20, Rack: 0, Zone: 0, CutInward: 0, CutOutward: 0, Cut: 0, Leader: 0, Reconfigure: 1}

// Spec is a requested fault.
type Spec struct {
	Name  Name
	Value float64
}

// Parse parses NAME or NAME=VALUE.
func Parse(text string) (Spec, error) {
	name, value, given := strings.Cut(text, "=")
	s := Spec{Name: Name(name)}
	defaultValue, ok := defaultValues[s.Name]
	if !ok {
		return s, &fleet.FieldError{Field: "fault", Got: text, Expected: "one of " + names()}
	}
	if s.Value = defaultValue; !given {
		return s, nil
	}
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || defaultValue == 0 || !(v > 0) {
		return s, &fleet.FieldError{Field: "fault", Got: text, Expected: fmt.Sprintf("%s=NUMBER over 0 for machine, rolling or reconfigure, and no value for others", name)}
	}
	s.Value = v
	return s, nil
}

func names() string {
	var all []string
	for n := range defaultValues {
		all = append(all, string(n))
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}

// ActionKind is the kind of an Action. The comments of the constants name the fields of Action that are set.
type ActionKind uint8

// The actions.
const (
	Kill          ActionKind = iota // Executors are killed
	Boot                            // Executors start cold
	ListDraining                    // Executors become draining in the endpoint list
	ListRemoved                     // Executors become removed in the endpoint list
	ListReady                       // Executors become ready in the endpoint list, with their new start times
	SetCut                          // Region is cut off in the directions Inward and Outward
	LiftCut                         // the cut by SetCut with the same fields is lifted
	KillLeader                      // the store's leader is killed
	RestartLeader                   // the member killed by KillLeader is restarted
	Change                          // the dispatchers' configuration is changed
)

// Action is one step of a fault. At is the time since the load's start.
type Action struct {
	At              time.Duration
	Kind            ActionKind
	Executors       []int
	Region          int
	Inward, Outward bool
	Cause           Name
}

// Delays until the endpoint list shows a change of an executor, and durations of repairs and restarts.
const (
	minRemovedDelay = time.Second
	maxRemovedDelay = 3 * time.Second
	minReadyDelay   = 500 * time.Millisecond
	maxReadyDelay   = 2 * time.Second
	repairDuration  = 5 * time.Second // downtime of a machine that failed
	restartDuration = time.Second     // downtime of an executor in a rolling restart
)

// schedule generates actions.
type schedule struct {
	d       *fleet.Description
	plan    []fleet.Executor
	random  *rand.Rand
	actions []Action
}

// Schedule returns the actions of the requested faults in the order of their times.
func Schedule(d *fleet.Description, plan []fleet.Executor, specs []Spec) ([]Action, error) {
	s := &schedule{d: d, plan: plan, random: rand.New(rand.NewPCG(d.Seed, 0xfa17))}
	for _, spec := range specs {
		if spec.Name == Leader && d.StoreMembers == 0 {
			return nil, &fleet.FieldError{Field: "fault", Got: spec.Name, Expected: "store-members over 0 where the leader is killed"}
		}
		s.add(spec)
	}
	slices.SortStableFunc(s.actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return s.actions, nil
}

func (s *schedule) add(spec Spec) {
	third := s.d.Duration / 3
	switch spec.Name {
	case Machine:
		s.machineFailures(spec.Value)
	case Rolling:
		s.rollingRestart(int(spec.Value))
	case Rack:
		rack := s.plan[s.random.IntN(len(s.plan))].Rack
		s.outage(Rack, third, s.d.Duration/3, s.matching(func(x fleet.Executor) bool { return x.Rack == rack }))
	case Zone:
		zone := s.random.IntN(min(s.d.Zones(), len(s.plan)))
		s.outage(Zone, third, s.d.Duration/3, s.matching(func(x fleet.Executor) bool { return x.Zone == zone }))
	case CutInward, CutOutward, Cut:
		a := Action{At: third, Kind: SetCut, Region: s.random.IntN(s.d.Regions), Inward: spec.Name != CutOutward,
			Outward: spec.Name != CutInward, Cause: spec.Name}
		s.actions = append(s.actions, a)
		a.At, a.Kind = a.At+third, LiftCut
		s.actions = append(s.actions, a)
	case Leader:
		s.actions = append(s.actions, Action{At: third, Kind: KillLeader, Cause: Leader}, Action{At: 2 * third, Kind: RestartLeader, Cause: Leader})
	case Reconfigure:
		every := time.Duration(spec.Value * float64(time.Second))
		for at := every; at < s.d.Duration; at += every {
			s.actions = append(s.actions, Action{At: at, Kind: Change, Cause: Reconfigure})
		}
	}
}

func (s *schedule) matching(match func(fleet.Executor) bool) (out []int) {
	for _, x := range s.plan {
		if match(x) {
			out = append(out, x.Number)
		}
	}
	return out
}

func (s *schedule) between(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.random.Int64N(int64(maximum-minimum)))
}

// outage kills executors at the time at and restarts them after the duration down. The endpoint list shows both changes with a delay.
func (s *schedule) outage(why Name, at, down time.Duration, executors []int) {
	up := at + down
	s.actions = append(s.actions,
		Action{At: at, Kind: Kill, Executors: executors, Cause: why},
		Action{At: at + min(down/2, s.between(minRemovedDelay, maxRemovedDelay)), Kind: ListRemoved, Executors: executors, Cause: why},
		Action{At: up, Kind: Boot, Executors: executors, Cause: why},
		Action{At: up + s.between(minReadyDelay, maxReadyDelay), Kind: ListReady, Executors: executors, Cause: why})
}

// machineFailures adds failures of single machines at the rate of the operators' fleet times factor.
func (s *schedule) machineFailures(factor float64) {
	perSecond := factor * machinesPerDay / (24 * time.Hour).Seconds() * float64(len(s.plan)) / fleetSize
	for at := time.Duration(0); ; {
		at += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= s.d.Duration {
			return
		}
		s.outage(Machine, at, repairDuration, []int{s.random.IntN(len(s.plan))})
	}
}

// rollingRestart restarts executors one after another: each is drained, stopped after twice the mean running time, and restarted cold.
func (s *schedule) rollingRestart(count int) {
	count = min(count, len(s.plan))
	order := s.random.Perm(len(s.plan))[:count]
	drain := 2 * s.d.MeanRun()
	for i, x := range order {
		at := s.d.Duration * time.Duration(i) / time.Duration(count)
		one := []int{x}
		down := at + drain
		s.actions = append(s.actions,
			Action{At: at, Kind: ListDraining, Executors: one, Cause: Rolling},
			Action{At: down, Kind: Kill, Executors: one, Cause: Rolling},
			Action{At: down, Kind: ListRemoved, Executors: one, Cause: Rolling},
			Action{At: down + restartDuration, Kind: Boot, Executors: one, Cause: Rolling},
			Action{At: down + restartDuration + s.between(minReadyDelay, maxReadyDelay), Kind: ListReady, Executors: one, Cause: Rolling})
	}
}
