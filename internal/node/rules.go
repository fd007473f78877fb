package node

import (
	"fmt"
	"math"
	"slices"
	"time"

	"gatetack/internal/dispatch"
)

// Rules holds the settings in force and their names. A value is immutable: Update returns a new one.
type Rules struct {
	Settings dispatch.Settings
	Names    Names
}

// RetiredClass is the index of a class that the settings no longer contain, or of the old rules of a class whose rules
// have changed. Requests under its name are accepted until AcceptedUntil, unless the name stands for another index. At
// ReusableAt it is no longer accepted, and the index may be reused once no job of it is open.
type RetiredClass struct {
	Name          string
	Class         int
	AcceptedUntil time.Time
	ReusableAt    time.Time
}

// Update derives new rules from the rules in force and new settings. Classes and tenants are identified by name. A
// class whose rules differ gets a new index, so that open jobs keep the rules under which they were accepted; the
// returned map gives for each such index the old index whose learned state it takes over. Everything except classes,
// tenants and what dispatch.Dispatcher.UpdateSettings takes over stays unchanged. Late is how long a class that the
// new settings do not contain is still accepted. InUse reports whether an open job has an index, which is then not
// reused.
func (r *Rules) Update(
	s dispatch.Settings,
	names Names,
	now time.Time,
	late time.Duration,
	inUse func(class int) bool,
) (*Rules, map[int]int, error) {
	next := &Rules{Settings: s, Names: r.Names}
	next.Names.Classes = make([]string, len(r.Names.Classes))
	next.Settings.Classes = slices.Clone(r.Settings.Classes)
	next.Names.Retired = nil
	var free []int
	for _, x := range r.Names.Retired {
		if now.Before(x.ReusableAt) || inUse(x.Class) {
			next.Names.Retired = append(next.Names.Retired, x)
		} else {
			free = append(free, x.Class)
		}
	}
	origins := map[int]int{}
	for i, name := range names.Classes {
		if slices.Contains(names.Classes[:i], name) {
			return nil, nil, fmt.Errorf("settings.requestClasses.%d.name: duplicate name %q, expected unique names", i, name)
		}
		old := slices.Index(r.Names.Classes, name)
		if old >= 0 && r.Settings.Classes[old] == s.Classes[i] {
			next.Names.Classes[old] = name
			continue
		}
		index := len(next.Names.Classes)
		if len(free) > 0 {
			index, free = free[0], free[1:]
		} else {
			next.Names.Classes = append(next.Names.Classes, "")
			next.Settings.Classes = append(next.Settings.Classes, dispatch.Class{})
		}
		next.Names.Classes[index], next.Settings.Classes[index] = name, s.Classes[i]
		if old >= 0 {
			origins[index] = old
		}
	}
	if len(next.Names.Classes) > math.MaxUint8 {
		return nil, nil, &RulesError{len(next.Names.Classes)}
	}
	for i, name := range r.Names.Classes {
		if name != "" && next.Names.Classes[i] != name {
			until := now.Add(late)
			next.Names.Retired = append(next.Names.Retired, RetiredClass{name, i, until,
				until.Add(FromMs(r.Settings.Classes[i].Deadline) + time.Second)})
		}
	}
	next.Settings.ClassPositions = next.positionsIn(names.Classes)
	for _, i := range free { // reusable until another class takes the index
		next.Names.Retired = append(next.Names.Retired, RetiredClass{Class: i})
	}
	return next, origins, next.updateTenants(r, s, names)
}

// updateTenants keeps the index of each tenant by name. A tenant that the new settings do not contain keeps its index
// and has no share.
func (r *Rules) updateTenants(old *Rules, s dispatch.Settings, names Names) error {
	r.Names.Tenants = slices.Clone(old.Names.Tenants)
	r.Settings.Tenants = make([]dispatch.Tenant, len(old.Settings.Tenants))
	if len(old.Settings.Tenants) == 0 && len(s.Tenants) > 0 || len(old.Settings.Tenants) > 0 && len(s.Tenants) == 0 {
		return fmt.Errorf(
			"settings.tenants: %d tenants in place of %d, expected none if there were none at the start, else at least one",
			len(s.Tenants),
			len(old.Settings.Tenants),
		)
	}
	for i, name := range names.Tenants {
		index := slices.Index(r.Names.Tenants, name)
		if index < 0 {
			index = len(r.Names.Tenants)
			r.Names.Tenants = append(r.Names.Tenants, name)
			r.Settings.Tenants = append(r.Settings.Tenants, dispatch.Tenant{})
		}
		r.Settings.Tenants[index] = s.Tenants[i]
	}
	return nil
}

// notConfigured is the position of a class that the configuration does not contain.
const notConfigured = -1

// positionsIn returns the position of each class in a configuration's list of class names.
func (r *Rules) positionsIn(configured []string) []int {
	positions := make([]int, len(r.Settings.Classes))
	for i := range positions {
		positions[i] = notConfigured
		if i < len(r.Names.Classes) && r.Names.Classes[i] != "" {
			positions[i] = slices.Index(configured, r.Names.Classes[i])
		}
	}
	return positions
}
