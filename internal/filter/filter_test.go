package filter

import (
	"errors"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gatetack/internal/testenv"
	_ "gatetack/internal/testrand"
)

var schema = Schema{
	{Name: "state", Kind: Word, Words: []string{"QUEUED", "RUNNING", "DONE"}},
	{
		Name: "category",
		Kind: Text,
	},
	{Name: "priority", Kind: Number},
	{Name: "submitted", Kind: Time},
	{Name: "age", Kind: Span},
	{Name: "machine", Kind: List},
}

var now = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func row(name string) any {
	return map[string]any{"state": "RUNNING", "category": "area-render", "priority": 3.0,
		"submitted": now.Add(-4 * time.Minute),
		"age":       4 * time.Minute, "machine": []string{"render1", "render2"}}[name]
}

func TestConditionsSelectRows(t *testing.T) {
	for text, want := range map[string]bool{
		``: true, ` `: true,
		`state in (QUEUED, RUNNING) and category = "area-render" and submitted > 5m ago`: true,
		`state in (QUEUED, RUNNING) and category = "area-render" and submitted > 3m ago`: false,
		`STATE = running`:                                    true,
		`state != running`:                                   false,
		`state not in (queued, done)`:                        true,
		`not state = running`:                                false,
		`state = done or state = running and priority > 5`:   false,
		`(state = done or state = running) and priority > 2`: true,
		`state = running or state = done and priority > 5`:   true,
		`priority >= 3 and priority <= 3`:                    true,
		`priority < -1`:                                      false,
		`category ~ RENDER`:                                  true,
		`category ~ tile`:                                    false,
		`category = 'area-render'`:                           true,
		`category in ("a", "area-render")`:                   true,
		`submitted < 2026-12-01T12:00:00Z`:                   true,
		`submitted > 2026-12-01`:                             true,
		`submitted = 4m ago`:                                 true,
		`submitted > "2026-12-01T11:57:00+00:00"`:            false,
		`age > 200s and age < 1d`:                            true,
		`age >= 0.5h`:                                        false,
		`machine = render2`:                                  true,
		`machine != render2`:                                 false,
		`machine ~ render`:                                   true,
		`not (not (state = running))`:                        true, `category = 7`: false,
	} {
		f, err := Parse(schema, text)
		if err != nil {
			t.Errorf("%s: parse error %v", text, err)
		} else if got := f.Match(row, now); got != want || f.String() != text {
			t.Errorf("%s: got %v", text, got)
		}
		// An absent value is equal to no value and different from every value.
		if f != nil && f.Match(func(string) any { return nil }, now) && strings.Contains(text, "=") &&
			!strings.Contains(text, "not") &&
			!strings.Contains(text, "!=") {
			t.Errorf("%s: unexpected result for a row without values", text)
		}
	}
	if f, err := Parse(
		schema,
		`submitted != 4m ago`,
	); err != nil ||
		!f.Match(func(string) any { return time.Time{} }, now) {
		t.Error("an absent time is equal to a time")
	}
}

func TestErrorsNameColumn(t *testing.T) {
	for text, want := range map[string]string{
		`colour = red`:                     `column 1: no field is named "colour"`,
		`state = asleep`:                   "column 9: state is compared with one of QUEUED",
		`state = done and priority = high`: "column 29: priority is compared with a number",
		`submitted > soon`:                 "column 13: submitted is compared with a time",
		`age > 5m ago`:                     "column 7: age",
		`state = done and`:                 "column 17:",
		`state`:                            "column 6:",
		`state < done`:                     "column 9: state is compared with text",
		strings.Repeat("x", MaxText+1):     "longer than",
		strings.Repeat("(", 100):           "column 65: more than 64 parentheses",
		`state = "done`:                    "column 9:",
	} {
		_, err := Parse(schema, text)
		var e *Error
		if !errors.As(err, &e) || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60s: got error %v, want one containing %q", text, err, want)
		}
	}
}

// A combined filter selects the rows that follow from the results of its parts.
func TestFilterAgreesWithItsParts(t *testing.T) {
	var build func(t *rapid.T, depth int) (string, bool)
	build = func(t *rapid.T, depth int) (string, bool) {
		if depth == 0 || rapid.IntRange(0, 2).Draw(t, "leaf") == 0 {
			if rapid.Bool().Draw(t, "true") {
				return "priority = 3", true
			}
			return "priority = 4", false
		}
		a, av := build(t, depth-1)
		switch rapid.IntRange(0, 2).Draw(t, "join") {
		case 0:
			b, bv := build(t, depth-1)
			return "(" + a + ") and (" + b + ")", av && bv
		case 1:
			b, bv := build(t, depth-1)
			return "(" + a + ") or (" + b + ")", av || bv
		}
		return "not (" + a + ")", !av
	}
	rapid.Check(t, func(t *rapid.T) {
		text, want := build(t, 5)
		if len(text) > MaxText {
			return
		}
		f, err := Parse(schema, text)
		if err != nil || f.Match(row, now) != want {
			t.Fatalf("%s: error %v, want %v", text, err, want)
		}
	})
}

// FuzzParse checks that no text crashes the parser and that the column of an error is within the text or just after it.
func FuzzParse(f *testing.F) {
	for _, s := range []string{`state in (QUEUED)`, `a = "\`, `((((`, `not not not`, `age > 5d ago`,
		`submitted > 2026-99-99`, "\x00", `priority = 1e9`, `category = "\xff"`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		filter, err := Parse(schema, text)
		if err == nil {
			filter.Match(row, now)
			return
		}
		var e *Error
		if !errors.As(err, &e) || e.Column < 1 || e.Column > len(text)+1 {
			t.Fatalf("%q: error %v without a valid column", text, err)
		}
	})
}

// Guards against a short filter that exhausts the stack: parentheses in quoted text neither count as nesting nor hide
// it.
func TestNestingHiddenByQuotedTextIsRejected(t *testing.T) {
	const maxStackGrowth = 4 * MaxText
	for _, text := range []string{
		strings.Repeat(`(category = ')' and `, 200),
		strings.Repeat(`(category = "\")" and `, 180),
		`category = '` + strings.Repeat(")", 2000) + `' and ` + strings.Repeat("(", 2000),
	} {
		var err error
		grown := testenv.StackGrowth(func() { _, err = Parse(schema, text) })
		if invalid, ok := errors.AsType[*Error](err); !ok || !strings.Contains(invalid.Text, "parentheses within") {
			t.Errorf("%.30s...: error %v, want one about nesting", text, err)
		}
		if grown > maxStackGrowth {
			t.Errorf("%.30s...: the stack grew by %d bytes, want at most %d", text, grown, maxStackGrowth)
		}
	}
	if _, err := Parse(schema, `category = '`+strings.Repeat("(", 100)+`'`); err != nil {
		t.Errorf("quoted parentheses: %v", err)
	}
}
