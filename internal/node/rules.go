package node

import (
	"fmt"
	"math"
	"slices"
	"time"

	"gatetack/internal/dispatch"
)

// Rules are the settings in force and the names of their positions. One value is never changed: a retune makes another.
type Rules struct {
	Settings dispatch.Settings
	Names    Names
}

// RetiredClass is the place of a class that is no longer named, or whose rules are new: what clients still send under its
// name is taken until a time, unless the name stands for another place, and from another time on nothing of it can be
// open.
type RetiredClass struct {
	Name          string
	Class         int
	AcceptedUntil time.Time
	ReusableAt    time.Time
}

// Retune makes rules of those in force and of settings read anew. A class or tenant is the same if its name is; a class
// whose rules differ gets a place of its own, so that open jobs keep those they came under. It says where the places
// whose rules are new take what was learned from. Everything but classes, tenants and what dispatch.Dispatcher.Retune
// takes over stays as it is. Late is how long a class that is no longer named is still taken.
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
			return nil, nil, fmt.Errorf("settings.requestClasses.%d.name: %q stands twice, expected a name of its own", i, name)
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
	for _, i := range free { // until another takes the place
		next.Names.Retired = append(next.Names.Retired, RetiredClass{Class: i})
	}
	return next, from, next.retuneTenants(r, s, names)
}

// tenants keeps the tenants' places by name; one that is no longer named keeps its place with no share.
func (r *Rules) retuneTenants(was *Rules, s dispatch.Settings, names Names) error {
	r.Names.Tenants = slices.Clone(was.Names.Tenants)
	r.Settings.Tenants = make([]dispatch.Tenant, len(was.Settings.Tenants))
	if len(was.Settings.Tenants) == 0 && len(s.Tenants) > 0 || len(was.Settings.Tenants) > 0 && len(s.Tenants) == 0 {
		return fmt.Errorf(
			"settings.tenants: %d in place of %d, expected some or none as at the start",
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
