package node

import (
	"fmt"
	"math"
	"slices"
	"time"

	"gatetack/internal/dispatch"
)

// Rules holds the settings in force and their names. A value is immutable: Retune returns a new one.
type Rules struct {
	Settings dispatch.Settings
	Names    Names
}

// RetiredClass is the index of a class that the settings no longer contain, or of the old rules of a class whose rules
// have changed. Requests under its name are accepted until AcceptedUntil, unless the name stands for another index. At
// ReusableAt no job of it can be open any more, and the index may be reused.
type RetiredClass struct {
	Name          string
	Class         int
	AcceptedUntil time.Time
	ReusableAt    time.Time
}

// Retune derives new rules from the rules in force and new settings. Classes and tenants are identified by name. A
// class whose rules differ gets a new index, so that open jobs keep the rules under which they were accepted; the
// returned map gives for each such index the old index whose learned state it takes over. Everything except classes,
// tenants and what dispatch.Dispatcher.Retune takes over stays unchanged. Late is how long a class that the new
// settings do not contain is still accepted.
func (r *Rules) Retune(
	s dispatch.Settings,
	names Names,
	now time.Time,
	late time.Duration,
) (*Rules, map[int]int, error) {
	next := &Rules{Settings: s, Names: r.Names}
	next.Names.Classes = make([]string, len(r.Names.Classes))
	next.Settings.Classes = slices.Clone(r.Settings.Classes)
	next.Names.Retired = nil
	var free []int
	for _, x := range r.Names.Retired {
		if now.Before(x.ReusableAt) {
			next.Names.Retired = append(next.Names.Retired, x)
		} else {
			free = append(free, x.Class)
		}
	}
	from := map[int]int{}
	for i, name := range names.Classes {
		if slices.Contains(names.Classes[:i], name) {
			return nil, nil, fmt.Errorf("settings.requestClasses.%d.name: duplicate name %q, expected unique names", i, name)
		}
		was := slices.Index(r.Names.Classes, name)
		if was >= 0 && r.Settings.Classes[was] == s.Classes[i] {
			next.Names.Classes[was] = name
			continue
		}
		at := len(next.Names.Classes)
		if len(free) > 0 {
			at, free = free[0], free[1:]
		} else {
			next.Names.Classes = append(next.Names.Classes, "")
			next.Settings.Classes = append(next.Settings.Classes, dispatch.Class{})
		}
		next.Names.Classes[at], next.Settings.Classes[at] = name, s.Classes[i]
		if was >= 0 {
			from[at] = was
		}
	}
	if len(next.Names.Classes) > math.MaxUint8 {
		return nil, nil, fmt.Errorf("settings.requestClasses: %d rules would stand at a time, expected %d at most",
			len(next.Names.Classes), math.MaxUint8)
	}
	for i, name := range r.Names.Classes {
		if name != "" && next.Names.Classes[i] != name {
			until := now.Add(late)
			next.Names.Retired = append(next.Names.Retired, RetiredClass{name, i, until,
				until.Add(FromMs(r.Settings.Classes[i].Deadline) + time.Second)})
		}
	}
	for _, i := range free { // reusable until another class takes the index
		next.Names.Retired = append(next.Names.Retired, RetiredClass{Class: i})
	}
	return next, from, next.retuneTenants(r, s, names)
}

// retuneTenants keeps the index of each tenant by name. A tenant that the new settings do not contain keeps its index
// and has no share.
func (r *Rules) retuneTenants(was *Rules, s dispatch.Settings, names Names) error {
	r.Names.Tenants = slices.Clone(was.Names.Tenants)
	r.Settings.Tenants = make([]dispatch.Tenant, len(was.Settings.Tenants))
	if len(was.Settings.Tenants) == 0 && len(s.Tenants) > 0 || len(was.Settings.Tenants) > 0 && len(s.Tenants) == 0 {
		return fmt.Errorf(
			"settings.tenants: %d tenants in place of %d, expected none if there were none at the start, else at least one",
			len(s.Tenants),
			len(was.Settings.Tenants),
		)
	}
	for i, name := range names.Tenants {
		at := slices.Index(r.Names.Tenants, name)
		if at < 0 {
			at = len(r.Names.Tenants)
			r.Names.Tenants = append(r.Names.Tenants, name)
			r.Settings.Tenants = append(r.Settings.Tenants, dispatch.Tenant{})
		}
		r.Settings.Tenants[at] = s.Tenants[i]
	}
	return nil
}
