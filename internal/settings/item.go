package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
)

// Item is one item of a document. Its value is decoded once, when the item is received. Only Merge returns an error for
// an invalid value, so that a process that cannot use an item can still forward it.
type Item struct {
	Change
	class   overlay[dispatch.Class]
	tenant  overlay[dispatch.Tenant]
	general overlay[dispatch.Settings]
	err     error
}

// overlay contains the fields of an item that override a value of the base configuration, in their order.
type overlay[T any] []fieldOverride[T]

// fieldOverride is one field of an overlay.
type fieldOverride[T any] struct {
	field  string
	assign setter[T]
}

func (o overlay[T]) apply(target *T) {
	for i := range o {
		o[i].assign(target)
	}
}

func (o overlay[T]) contains(field string) bool {
	return slices.ContainsFunc(o, func(x fieldOverride[T]) bool { return x.field == field })
}

// missing returns the first of the required fields that the overlay lacks, or an empty string.
func (o overlay[T]) missing(required []string) string {
	for _, field := range required {
		if !o.contains(field) {
			return field
		}
	}
	return ""
}

// newItem decodes the value of a change that is not a deletion.
func newItem(c Change) *Item {
	item := &Item{Change: c}
	if item.err = validKey(c.Key); item.err != nil {
		return item
	}
	switch {
	case c.Key == GeneralKey:
		item.general, item.err = decode(c, generalFields)
	case strings.HasPrefix(c.Key, ClassPrefix):
		item.class, item.err = decode(c, classFields)
	default:
		item.tenant, item.err = decode(c, tenantFields)
	}
	return item
}

// decode decodes the value of an item, which may contain the given fields.
func decode[T any](c Change, fields map[string]field[T]) (overlay[T], error) {
	if len(c.Value) > MaxValue {
		return nil, &InvalidError{
			Item:     c.Key,
			Got:      strconv.Itoa(len(c.Value)) + " bytes",
			Expected: strconv.Itoa(MaxValue) + " at most",
		}
	}
	if !json.Valid(c.Value) {
		return nil, &InvalidError{Item: c.Key, Got: "not valid JSON", Expected: "a JSON object"}
	}
	object := gjson.ParseBytes(c.Value)
	if !object.IsObject() {
		return nil, &InvalidError{Item: c.Key, Got: shorten(object.Raw), Expected: "a JSON object"}
	}
	var out overlay[T]
	err := decodeObject(c.Key, "", object, fields, &out)
	return out, err
}

func decodeObject[T any](item, prefix string, object gjson.Result, fields map[string]field[T], out *overlay[T]) error {
	var err error
	object.ForEach(func(key, value gjson.Result) bool {
		name := prefix + key.String()
		f, known := fields[name]
		switch {
		case out.contains(name):
			err = &InvalidError{Item: item, Field: name, Got: "stands twice", Expected: "one value"}
		case known:
			assign, ok := f.parse(value)
			if !ok {
				err = &InvalidError{Item: item, Field: name, Got: shorten(value.Raw), Expected: f.expected}
			}
			*out = append(*out, fieldOverride[T]{name, assign})
		case value.IsObject():
			err = decodeObject(item, name+".", value, fields, out)
		default:
			err = &InvalidError{Item: item, Field: name, Got: "not a field that can be set here",
				Expected: "one of " + strings.Join(slices.Sorted(maps.Keys(fields)), ", ")}
		}
		return err == nil
	})
	return err
}

// maxShownBytes bounds how much of an invalid value an error shows.
const maxShownBytes = 40

func shorten(text string) string {
	if len(text) <= maxShownBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxShownBytes], "") + "..."
}
