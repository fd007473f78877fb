package node

import (
	"fmt"
	"math"
	"slices"
	"time"

	"gatetack/internal/dispatch"
)

// ClassRules is a class by its name, with the rules under which a job was accepted. Unlike the index of a class, it
// keeps its meaning over changes of the settings and over restarts, so a job that waits outside the core keeps its
// rules.
type ClassRules struct {
	Name        string
	Rules       dispatch.Class
	MaxAttempts int
}

// RulesError reports that a class cannot have the rules that it needs in addition to those that other jobs still use.
type RulesError struct{ Count int }

func (e *RulesError) Error() string {
	return fmt.Sprintf("settings.requestClasses: %d rules would stand at a time, expected %d at most", e.Count,
		math.MaxUint8)
}

// ClassRules returns the class at an index that Names.Class returned for a name.
func (r *Rules) ClassRules(name string, index int) *ClassRules {
	return &ClassRules{Name: name, Rules: r.Settings.Classes[index], MaxAttempts: r.Settings.MaxAttempts}
}

// indexOf returns the index at which a class stands with the given rules. It also finds the rules of a class that has
// changed or is no longer contained in the settings, as long as its index was not reused.
func (r *Rules) indexOf(class *ClassRules) (int, bool) {
	for i, name := range r.Names.Classes {
		if name == class.Name && r.Settings.Classes[i] == class.Rules {
			return i, true
		}
	}
	for _, x := range r.Names.Retired {
		if x.Name == class.Name && r.Settings.Classes[x.Class] == class.Rules {
			return x.Class, true
		}
	}
	return 0, false
}

// withRetired returns rules that contain in addition a class that the settings no longer contain with these rules. New
// requests do not find it by its name. The map gives the index whose learned state it takes over, as for Update.
func (r *Rules) withRetired(
	class *ClassRules,
	now time.Time,
	inUse func(class int) bool,
) (next *Rules, origins map[int]int, index int, err error) {
	next = r.clone()
	index, ok := next.takeIndex(now, inUse)
	if !ok {
		return nil, nil, 0, &RulesError{len(next.Names.Classes) + 1}
	}
	next.Settings.Classes[index] = class.Rules
	next.Settings.ClassPositions = next.positionsWithout(index)
	next.Names.Retired = append(next.Names.Retired, RetiredClass{Name: class.Name, Class: index})
	origins = map[int]int{}
	if current, ok := r.Names.Class(class.Name); ok {
		origins[index] = current
	}
	return next, origins, index, nil
}

// positionsWithout returns the positions of the classes in the configuration, of which the class at an index is none.
func (r *Rules) positionsWithout(index int) []int {
	known := r.Settings.ClassPositions
	positions := make([]int, len(r.Settings.Classes))
	for i := range positions {
		switch {
		case i == index || known != nil && i >= len(known):
			positions[i] = notConfigured
		case known == nil:
			positions[i] = i
		default:
			positions[i] = known[i]
		}
	}
	return positions
}

// takeIndex returns an index without a class: a free one, else a new one, else that of a retired class without open
// jobs.
func (r *Rules) takeIndex(now time.Time, inUse func(class int) bool) (int, bool) {
	free := func(x RetiredClass) bool { return x.Name == "" && !inUse(x.Class) }
	expired := func(x RetiredClass) bool { return !now.Before(x.ReusableAt) && !inUse(x.Class) }
	at := slices.IndexFunc(r.Names.Retired, free)
	if at < 0 && len(r.Names.Classes) < math.MaxUint8 {
		r.Names.Classes = append(r.Names.Classes, "")
		r.Settings.Classes = append(r.Settings.Classes, dispatch.Class{})
		return len(r.Names.Classes) - 1, true
	}
	if at < 0 {
		at = slices.IndexFunc(r.Names.Retired, expired)
	}
	if at < 0 {
		return 0, false
	}
	index := r.Names.Retired[at].Class
	r.Names.Retired = slices.Delete(r.Names.Retired, at, at+1)
	return index, true
}

// clone returns a copy whose classes can be changed.
func (r *Rules) clone() *Rules {
	next := *r
	next.Settings.Classes = slices.Clone(r.Settings.Classes)
	next.Names.Classes = slices.Clone(r.Names.Classes)
	next.Names.Retired = slices.Clone(r.Names.Retired)
	return &next
}

// resolveClass sets the class index of a job that names its class by ClassRules. Rules that the settings no longer
// contain are put in force for the job.
func (c *Core) resolveClass(j *job, now time.Time) error {
	class := j.request.AcceptedClass
	if class == nil {
		return nil
	}
	rules := c.rules.Load()
	index, ok := rules.indexOf(class)
	if !ok {
		next, origins, added, err := rules.withRetired(class, now, c.classesInUse())
		if err != nil {
			return err
		}
		if err := c.replaceRules(next, origins, now); err != nil {
			return err
		}
		index = added
	}
	j.request.Class = index
	return nil
}

// classesInUse returns a function that reports whether an open job has a class index. An index is reused only when no
// open job has it, however long the deadline is that its client has set.
func (c *Core) classesInUse() func(class int) bool {
	var open [math.MaxUint8 + 1]bool
	for _, j := range c.jobs.byID {
		open[j.request.Class] = true
	}
	return func(class int) bool { return open[class] }
}

// NoneInUse is for Rules.Update where no job is open or it is only checked whether settings are valid.
func NoneInUse(int) bool { return false }
