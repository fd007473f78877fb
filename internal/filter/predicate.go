package filter

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// predicate is a compiled filter or part of a filter.
type predicate func(row Row, now time.Time) bool

func (s Schema) disjunction(n *orNode) (predicate, error) {
	return combine(n.Conjunctions, s.conjunction, true)
}

func (s Schema) conjunction(n *andNode) (predicate, error) {
	return combine(n.Negations, s.negation, false)
}

// combine returns the predicate of several parts: it is equal to decisive if any part is, and to its negation
// otherwise.
func combine[N any](nodes []N, build func(N) (predicate, error), decisive bool) (predicate, error) {
	var parts []predicate
	for _, n := range nodes {
		part, err := build(n)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	if len(parts) == 1 {
		return parts[0], nil
	}
	return func(row Row, now time.Time) bool {
		for _, part := range parts {
			if part(row, now) == decisive {
				return decisive
			}
		}
		return !decisive
	}, nil
}

func (s Schema) negation(n *notNode) (predicate, error) {
	var inner predicate
	var err error
	if n.Expr != nil {
		inner, err = s.disjunction(n.Expr)
	} else {
		inner, err = s.condition(n.Condition)
	}
	if err != nil || !n.Not {
		return inner, err
	}
	return func(row Row, now time.Time) bool { return !inner(row, now) }, nil
}

func (s Schema) condition(n *condNode) (predicate, error) {
	field := s.find(n.Field)
	if field == nil {
		return nil, &Error{n.Pos.Column, fmt.Sprintf("no field is named %q; there are %s", n.Field, s.Names())}
	}
	if n.Op == "" {
		return field.membership(n)
	}
	matches, err := field.comparison(n.Op, n.Value)
	if err != nil {
		return nil, err
	}
	return func(row Row, now time.Time) bool { return matches(row(field.Name), now) }, nil
}

// membership returns the predicate of "in" or "not in".
func (f *Field) membership(n *condNode) (predicate, error) {
	var members []comparison
	for _, v := range n.In {
		equal, err := f.comparison("=", v)
		if err != nil {
			return nil, err
		}
		members = append(members, equal)
	}
	return func(row Row, now time.Time) bool {
		value := row(f.Name)
		found := slices.ContainsFunc(members, func(equal comparison) bool { return equal(value, now) })
		return found != n.NotIn
	}, nil
}

// comparison compares the value of a row with the value in the filter.
type comparison func(value any, now time.Time) bool

var orderOperators = []string{"=", "!=", "<", "<=", ">", ">="}

// comparison returns the comparison of the field with a value in the filter.
func (f *Field) comparison(operator string, v *valueNode) (comparison, error) {
	ordered := slices.Contains(orderOperators, operator)
	switch f.Kind {
	case Number:
		return f.numberComparison(operator, v, ordered)
	case Span:
		want, ok := v.span()
		if !ok || v.Ago || !ordered {
			return nil, f.mismatch(v, "a length of time such as 90s or 5m, by = != < <= > or >=")
		}
		return func(value any, _ time.Time) bool {
			got, ok := value.(time.Duration)
			return isSatisfied(operator, ok, cmp.Compare(got, want))
		}, nil
	case Time:
		want, ok := v.time()
		if !ok || !ordered {
			return nil, f.mismatch(v, "a time such as 2026-12-01T10:00:00Z or 5m ago, by = != < <= > or >=")
		}
		return func(value any, now time.Time) bool {
			got, ok := value.(time.Time)
			return isSatisfied(operator, ok && !got.IsZero(), got.Compare(want(now)))
		}, nil
	}
	return f.textComparison(operator, v)
}

func (f *Field) numberComparison(operator string, v *valueNode, ordered bool) (comparison, error) {
	if v.Number == nil || !ordered {
		return nil, f.mismatch(v, "a number, by = != < <= > or >=")
	}
	want, err := strconv.ParseFloat(*v.Number, 64)
	if err != nil {
		return nil, f.mismatch(v, "a number")
	}
	return func(value any, _ time.Time) bool {
		got, ok := value.(float64)
		return isSatisfied(operator, ok, compareNumbers(got, want))
	}, nil
}

// compareNumbers orders two numbers. NaN compares as equal to every number.
func compareNumbers(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (f *Field) textComparison(operator string, v *valueNode) (comparison, error) {
	want, ok := v.text()
	if !ok || operator != "=" && operator != "!=" && operator != "~" {
		return nil, f.mismatch(v, "text, by = != or ~")
	}
	if f.Kind == Word && operator != "~" && !f.hasWord(want) {
		return nil, f.mismatch(v, "one of "+strings.Join(f.Words, ", ")+"; "+strconv.Quote(want)+" is none of them")
	}
	matches := func(got string) bool { return strings.EqualFold(got, want) }
	if operator == "~" {
		matches = func(got string) bool { return strings.Contains(strings.ToLower(got), strings.ToLower(want)) }
	}
	return func(value any, _ time.Time) bool {
		found := false
		switch value := value.(type) {
		case string:
			found = matches(value)
		case []string:
			found = slices.ContainsFunc(value, matches)
		}
		return found != (operator == "!=")
	}, nil
}

func (f *Field) hasWord(want string) bool {
	return slices.ContainsFunc(f.Words, func(word string) bool { return strings.EqualFold(word, want) })
}

// mismatch returns the error for a value or an operator that does not fit the kind of the field.
func (f *Field) mismatch(v *valueNode, want string) error {
	return &Error{v.Pos.Column, fmt.Sprintf("%s is compared with %s", f.Name, want)}
}

// isSatisfied reports whether an operator is satisfied by two values that compare as order. An absent value satisfies
// only !=.
func isSatisfied(operator string, present bool, order int) bool {
	if !present {
		return operator == "!="
	}
	switch operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	}
	return order >= 0
}
