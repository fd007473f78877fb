package settings

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
	"gatetack/internal/simprotocol"
)

// maxAttempts is the greatest value of limits.maxAttempts.
const maxAttempts = 1000

// setter writes a decoded value to a field of a T.
type setter[T any] func(*T)

// field describes a field that an item may have.
type field[T any] struct {
	expected string
	parse    func(gjson.Result) (setter[T], bool)
}

// number describes a field of a number that is accepted.
func number[T any](expected string, accept func(float64) bool, target func(*T) *float64) field[T] {
	return field[T]{expected, func(v gjson.Result) (setter[T], bool) {
		n, ok := finite(v)
		return func(t *T) { *target(t) = n }, ok && accept(n)
	}}
}

func nonNegative[T any](target func(*T) *float64) field[T] {
	return number("a number of 0 or more", func(n float64) bool { return n >= 0 }, target)
}

func duration[T any](target func(*T) *float64) field[T] {
	return number("milliseconds over 0", func(n float64) bool { return n > 0 }, target)
}

// enum describes a field that has one of some words.
func enum[T, V any](values map[string]V, target func(*T) *V) field[T] {
	expected := "one of " + strings.Join(slices.Sorted(maps.Keys(values)), ", ")
	return field[T]{expected, func(v gjson.Result) (setter[T], bool) {
		value, ok := values[v.Str]
		return func(t *T) { *target(t) = value }, ok && v.Type == gjson.String
	}}
}

// finite parses a finite number. A string in place of one is rejected.
func finite(v gjson.Result) (float64, bool) {
	if v.Type != gjson.Number {
		return 0, false
	}
	n, err := strconv.ParseFloat(v.Raw, 64)
	return n, err == nil && !math.IsInf(n, 0) && !math.IsNaN(n)
}

var classFields = map[string]field[dispatch.Class]{
	"aim":        nonNegative(func(c *dispatch.Class) *float64 { return &c.Objective }),
	"deadline":   duration(func(c *dispatch.Class) *float64 { return &c.Deadline }),
	"worth":      nonNegative(func(c *dispatch.Class) *float64 { return &c.PriorityWeight }),
	"window":     nonNegative(func(c *dispatch.Class) *float64 { return &c.DedupWindow }),
	"aimStretch": nonNegative(func(c *dispatch.Class) *float64 { return &c.ObjectivePerWork }),
	"effect":     enum(simprotocol.Effects, func(c *dispatch.Class) *dispatch.RetrySafety { return &c.RetrySafety }),
	"dedupScope": enum(simprotocol.Scopes, func(c *dispatch.Class) *dispatch.DedupScope { return &c.DedupScope }),
}

var tenantFields = map[string]field[dispatch.Tenant]{
	"portion":  nonNegative(func(t *dispatch.Tenant) *float64 { return &t.ReservedShare }),
	"quotaRps": nonNegative(func(t *dispatch.Tenant) *float64 { return &t.Quota }),
}

// generalFields are named as in the platform's settings, with a dot for each level.
var generalFields = map[string]field[dispatch.Settings]{
	"limits.maxAttempts": {
		expected: "a whole number from 1 to " + strconv.Itoa(maxAttempts),
		parse: func(v gjson.Result) (setter[dispatch.Settings], bool) {
			n, ok := finite(v)
			return func(s *dispatch.Settings) { s.MaxAttempts = int(n) }, ok && n == math.Trunc(n) && n >= 1 && n <= maxAttempts
		},
	},
	"limits.maxRetryAfter": nonNegative(func(s *dispatch.Settings) *float64 { return &s.MaxRetryAfter }),
	"fees.crossZone":       nonNegative(func(s *dispatch.Settings) *float64 { return &s.Fees.CrossZone }),
	"fees.handshake":       nonNegative(func(s *dispatch.Settings) *float64 { return &s.Fees.Handshake }),
	"fees.origin":          nonNegative(func(s *dispatch.Settings) *float64 { return &s.Fees.Origin }),
	"overShareWorth":       nonNegative(func(s *dispatch.Settings) *float64 { return &s.OverQuotaWeight }),
	"worthBy": enum(
		map[string]bool{"request": false, "work": true},
		func(s *dispatch.Settings) *bool { return &s.WeightByWork },
	),
}
