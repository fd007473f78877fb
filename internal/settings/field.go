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

// maxAttempts bounds the attempts at a job that may be set.
const maxAttempts = 1000

// assignment writes a decoded value to a field of a T.
type assignment[T any] func(*T)

// field describes a field that an item may have.
type field[T any] struct {
	expected string
	parse    func(gjson.Result) (assignment[T], bool)
}

// number describes a field of a number that is accepted.
func number[T any](expected string, accept func(float64) bool, place func(*T) *float64) field[T] {
	return field[T]{expected, func(v gjson.Result) (assignment[T], bool) {
		n, ok := finite(v)
		return func(t *T) { *place(t) = n }, ok && accept(n)
	}}
}

func amount[T any](place func(*T) *float64) field[T] {
	return number("a number of 0 or more", func(n float64) bool { return n >= 0 }, place)
}

func period[T any](place func(*T) *float64) field[T] {
	return number("milliseconds over 0", func(n float64) bool { return n > 0 }, place)
}

// word describes a field that has one of some words.
func word[T, V any](words map[string]V, place func(*T) *V) field[T] {
	expected := "one of " + strings.Join(slices.Sorted(maps.Keys(words)), ", ")
	return field[T]{expected, func(v gjson.Result) (assignment[T], bool) {
		value, ok := words[v.Str]
		return func(t *T) { *place(t) = value }, ok && v.Type == gjson.String
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
	"aim":        amount(func(c *dispatch.Class) *float64 { return &c.Objective }),
	"deadline":   period(func(c *dispatch.Class) *float64 { return &c.Deadline }),
	"worth":      amount(func(c *dispatch.Class) *float64 { return &c.PriorityWeight }),
	"window":     amount(func(c *dispatch.Class) *float64 { return &c.DedupWindow }),
	"aimStretch": amount(func(c *dispatch.Class) *float64 { return &c.ObjectivePerWork }),
	"effect":     word(simprotocol.Effects, func(c *dispatch.Class) *dispatch.RetrySafety { return &c.RetrySafety }),
	"dedupScope": word(simprotocol.Scopes, func(c *dispatch.Class) *dispatch.DedupScope { return &c.DedupScope }),
}

var tenantFields = map[string]field[dispatch.Tenant]{
	"portion":  amount(func(t *dispatch.Tenant) *float64 { return &t.ReservedShare }),
	"quotaRps": amount(func(t *dispatch.Tenant) *float64 { return &t.Quota }),
}

// generalFields are named as in the platform's settings, with a dot for each level.
var generalFields = map[string]field[dispatch.Settings]{
	"limits.maxAttempts": {
		expected: "a whole number from 1 to " + strconv.Itoa(maxAttempts),
		parse: func(v gjson.Result) (assignment[dispatch.Settings], bool) {
			n, ok := finite(v)
			return func(s *dispatch.Settings) { s.MaxAttempts = int(n) }, ok && n == math.Trunc(n) && n >= 1 && n <= maxAttempts
		},
	},
	"limits.maxRetryAfter": amount(func(s *dispatch.Settings) *float64 { return &s.MaxRetryAfter }),
	"fees.crossZone":       amount(func(s *dispatch.Settings) *float64 { return &s.Fees.CrossZone }),
	"fees.handshake":       amount(func(s *dispatch.Settings) *float64 { return &s.Fees.Handshake }),
	"fees.origin":          amount(func(s *dispatch.Settings) *float64 { return &s.Fees.Origin }),
	"overShareWorth":       amount(func(s *dispatch.Settings) *float64 { return &s.OverQuotaWeight }),
	"worthBy": word(
		map[string]bool{"request": false, "work": true},
		func(s *dispatch.Settings) *bool { return &s.WeightByWork },
	),
}
