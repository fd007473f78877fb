package settings

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"gatetack/internal/dispatch"
)

// Rules contains the settings of a process and the names of its classes and tenants, by index.
type Rules struct {
	Settings dispatch.Settings
	Classes  []string
	Tenants  []string
}

// defaultClass returns the values that an item of a new class overrides. They are those of the platform's settings.
func defaultClass() dispatch.Class {
	return dispatch.Class{PriorityWeight: 1, RetrySafety: dispatch.AtMostOnce, DedupScope: dispatch.ScopeCell, Kind: -1}
}

var classKind = overrideKind[dispatch.Class]{
	prefix:       ClassPrefix,
	required:     []string{"deadline", "effect"},
	defaultValue: defaultClass,
	overlay:      func(item *Item) overlay[dispatch.Class] { return item.class },
}

var tenantKind = overrideKind[dispatch.Tenant]{
	prefix:       TenantPrefix,
	required:     []string{"portion", "quotaRps"},
	defaultValue: func() dispatch.Tenant { return dispatch.Tenant{} },
	overlay:      func(item *Item) overlay[dispatch.Tenant] { return item.tenant },
}

// Merge applies the items of a document to a copy of a base configuration. Classes and tenants that the base does not
// have are appended in the order of their names.
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
	classes, err := classKind.override(d, namedValues[dispatch.Class]{base.Settings.Classes, base.Classes})
	if err != nil {
		return Rules{}, err
	}
	tenants, err := tenantKind.override(d, namedValues[dispatch.Tenant]{base.Settings.Tenants, base.Tenants})
	if err != nil {
		return Rules{}, err
	}
	out.Settings.Classes, out.Classes = classes.values, classes.names
	out.Settings.Tenants, out.Tenants = tenants.values, tenants.names
	return out, nil
}

// overrideKind is how the items of classes, or of tenants, override the values of the base configuration.
type overrideKind[T any] struct {
	prefix       string
	required     []string // required fields of an item whose name the base does not have
	defaultValue func() T // returns the value that such an item overrides
	overlay      func(*Item) overlay[T]
}

// namedValues is the values of one kind with their names, by index.
type namedValues[T any] struct {
	values []T
	names  []string
}

// override applies the items of one kind to a copy of the values of the base.
func (k *overrideKind[T]) override(d *Document, base namedValues[T]) (namedValues[T], error) {
	out := namedValues[T]{slices.Clone(base.values), slices.Clone(base.names)}
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
			out.names, out.values = append(out.names, name), append(out.values, k.defaultValue())
		}
		k.overlay(item).apply(&out.values[i])
		return true
	})
	return out, err
}

// Validate returns an error if a process with a base configuration cannot activate a document.
func Validate(base Rules, d *Document) error {
	merged, err := Merge(base, d)
	if err != nil {
		return err
	}
	return merged.check(base)
}

// check validates the merged settings together.
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
