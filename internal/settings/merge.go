package settings

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"gatetack/internal/dispatch"
)

// Rules is the settings of a process with the names of its classes and tenants, by index.
type Rules struct {
	Settings dispatch.Settings
	Classes  []string
	Tenants  []string
}

// defaultClass is the class that an item of a new class overrides, as in the platform's settings.
func defaultClass() dispatch.Class {
	return dispatch.Class{PriorityWeight: 1, RetrySafety: dispatch.AtMostOnce, DedupScope: dispatch.ScopeCell, Kind: -1}
}

var classKind = kind[dispatch.Class]{
	prefix:   ClassPrefix,
	required: []string{"deadline", "effect"},
	absent:   defaultClass,
	overlay:  func(item *Item) overlay[dispatch.Class] { return item.class },
}

var tenantKind = kind[dispatch.Tenant]{
	prefix:   TenantPrefix,
	required: []string{"portion", "quotaRps"},
	absent:   func() dispatch.Tenant { return dispatch.Tenant{} },
	overlay:  func(item *Item) overlay[dispatch.Tenant] { return item.tenant },
}

// Merge returns a base configuration with a document's items applied to it. Classes and tenants that the base does not
// have follow its own, in the order of their names. The base is not changed.
func Merge(base Rules, d *Document) (Rules, error) {
	out := base
	var err error
	d.walk("", func(item *Item) bool {
		err = item.err
		return err == nil
	})
	if err != nil {
		return Rules{}, err
	}
	if item, ok := d.Get(GeneralKey); ok {
		item.general.apply(&out.Settings)
	}
	classes, err := classKind.override(d, named[dispatch.Class]{base.Settings.Classes, base.Classes})
	if err != nil {
		return Rules{}, err
	}
	tenants, err := tenantKind.override(d, named[dispatch.Tenant]{base.Settings.Tenants, base.Tenants})
	if err != nil {
		return Rules{}, err
	}
	out.Settings.Classes, out.Classes = classes.values, classes.names
	out.Settings.Tenants, out.Tenants = tenants.values, tenants.names
	return out, nil
}

// kind is how the items of classes, or of tenants, override the values of the base configuration.
type kind[T any] struct {
	prefix   string
	required []string // fields of an item whose name the base does not have
	absent   func() T // the value that such an item overrides
	overlay  func(*Item) overlay[T]
}

// named is the values of one kind with their names, by index.
type named[T any] struct {
	values []T
	names  []string
}

// override applies the items of one kind to the values of the base.
func (k *kind[T]) override(d *Document, base named[T]) (named[T], error) {
	out := named[T]{slices.Clone(base.values), slices.Clone(base.names)}
	index := make(map[string]int, len(out.names))
	for i, name := range out.names {
		index[name] = i
	}
	var err error
	d.walk(k.prefix, func(item *Item) bool {
		name := strings.TrimPrefix(item.Key, k.prefix)
		i, known := index[name]
		if !known {
			if field := k.overlay(item).missing(k.required); field != "" {
				err = &InvalidError{Item: item.Key, Field: field, Got: "absent",
					Expected: "a value, as the base configuration has none of this name"}
				return false
			}
			i = len(out.names)
			out.names, out.values = append(out.names, name), append(out.values, k.absent())
		}
		k.overlay(item).apply(&out.values[i])
		return true
	})
	return out, err
}

// Validate checks whether a process with a base configuration can activate a document.
func Validate(base Rules, d *Document) error {
	merged, err := Merge(base, d)
	if err != nil {
		return err
	}
	return merged.check(base)
}

// check validates the merged settings as a whole.
func (r *Rules) check(base Rules) error {
	if n := len(r.Classes); n > math.MaxUint8 {
		return &InvalidError{
			Item:     ClassPrefix + r.Classes[n-1],
			Got:      fmt.Sprintf("%d classes with it", n),
			Expected: fmt.Sprintf("%d at most", math.MaxUint8),
		}
	}
	if n := len(r.Tenants); n > math.MaxUint16 {
		return &InvalidError{
			Item:     TenantPrefix + r.Tenants[n-1],
			Got:      fmt.Sprintf("%d tenants with it", n),
			Expected: fmt.Sprintf("%d at most", math.MaxUint16),
		}
	}
	if len(base.Tenants) == 0 && len(r.Tenants) > 0 {
		return &InvalidError{
			Item:     TenantPrefix + r.Tenants[0],
			Got:      "the first tenant",
			Expected: "none, as in the base configuration",
		}
	}
	if _, err := dispatch.New(r.Settings, 0); err != nil {
		return &InvalidError{
			Item:     "the merged settings",
			Got:      err.Error(),
			Expected: "settings that the decision module can use",
		}
	}
	return nil
}
