package settings

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"gatetack/internal/dispatch"
)

// Rules are the settings of a process with the names of its classes and tenants, by their places.
type Rules struct {
	Settings dispatch.Settings
	Classes  []string
	Tenants  []string
}

// defaultClass is what a class has under the fields that its item does not name, as in the platform's settings.
func defaultClass() dispatch.Class {
	return dispatch.Class{Worth: 1, Effect: dispatch.Unsafe, Scope: dispatch.ScopeCell, Kind: -1}
}

// Merge returns a base configuration with a document's items over it. Classes and tenants that the base does not have come behind
// its own, in the order of their names. The base stays as it is.
func Merge(base Rules, d *Document) (Rules, error) {
	out := base
	out.Settings.Classes, out.Classes = slices.Clone(base.Settings.Classes), slices.Clone(base.Classes)
	out.Settings.Tenants, out.Tenants = slices.Clone(base.Settings.Tenants), slices.Clone(base.Tenants)
	var err error
	d.each("", func(item *Item) bool {
		err = item.err
		return err == nil
	})
	if err != nil {
		return Rules{}, err
	}
	if item, ok := d.Get(GeneralKey); ok {
		item.general.apply(&out.Settings)
	}
	out.Settings.Classes, out.Classes, err = lay(d, ClassPrefix, out.Settings.Classes, out.Classes, classRequired, defaultClass,
		func(item *Item) overlay[dispatch.Class] { return item.class })
	if err != nil {
		return Rules{}, err
	}
	out.Settings.Tenants, out.Tenants, err = lay(d, TenantPrefix, out.Settings.Tenants, out.Tenants, tenantRequired,
		func() dispatch.Tenant { return dispatch.Tenant{} }, func(item *Item) overlay[dispatch.Tenant] { return item.tenant })
	if err != nil {
		return Rules{}, err
	}
	return out, nil
}

// lay writes the items of one kind over the values of the base.
func lay[T any](d *Document, prefix string, values []T, names, required []string, absent func() T, of func(*Item) overlay[T]) ([]T, []string, error) {
	place := make(map[string]int, len(names))
	for i, name := range names {
		place[name] = i
	}
	var err error
	d.each(prefix, func(item *Item) bool {
		name := strings.TrimPrefix(item.Key, prefix)
		at, known := place[name]
		if !known {
			if lacking := of(item).lacks(required); lacking != "" {
				err = &InvalidError{Item: item.Key, Field: lacking, Got: "absent", Expected: "a value, as the base configuration has none of this name"}
				return false
			}
			at = len(names)
			names, values = append(names, name), append(values, absent())
		}
		of(item).apply(&values[at])
		return true
	})
	return values, names, err
}

// Validate says whether a process with a base configuration can put a document in force.
func Validate(base Rules, d *Document) error {
	merged, err := Merge(base, d)
	if err != nil {
		return err
	}
	return merged.check(base)
}

// check says what of the whole can not be used.
func (r *Rules) check(base Rules) error {
	if n := len(r.Classes); n > math.MaxUint8 {
		return &InvalidError{Item: ClassPrefix + r.Classes[n-1], Got: fmt.Sprintf("%d classes with it", n), Expected: fmt.Sprintf("%d at most", math.MaxUint8)}
	}
	if n := len(r.Tenants); n > math.MaxUint16 {
		return &InvalidError{Item: TenantPrefix + r.Tenants[n-1], Got: fmt.Sprintf("%d tenants with it", n), Expected: fmt.Sprintf("%d at most", math.MaxUint16)}
	}
	if len(base.Tenants) == 0 && len(r.Tenants) > 0 {
		return &InvalidError{Item: TenantPrefix + r.Tenants[0], Got: "the first tenant", Expected: "none, as in the base configuration"}
	}
	if _, err := dispatch.New(r.Settings, 0); err != nil {
		return &InvalidError{Item: "the merged settings", Got: err.Error(), Expected: "settings that the decision module can use"}
	}
	return nil
}
