// Package filter is the small language in which jobs and machines are selected, by the batch front's calls and by the
// command line alike:
//
//	state in (QUEUED, RUNNING) and category = "area-render" and submitted > 5m ago
//
// A condition compares a field with a value: = != < <= > >= for numbers and times, = != ~ (holds) for text, "in" and
// "not in" for lists of values. Conditions are joined by and, or, not and parentheses; and binds closer than or. A time
// is written as RFC 3339 has it, or as a span ago: 90s ago, 5m ago, 2h ago, 1d ago; a span alone is a length of time.
// Words are compared without regard to case. Errors name the column. The package keeps no state.
package filter

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
)

// Kind is the type of a field's value.
type Kind uint8

// The kinds.
const (
	Text   Kind = iota // a string
	Word               // a string out of a list
	Number             // a float64
	Time               // a time.Time
	Span               // a time.Duration
	List               // a []string, which is equal to each of its members
)

// Field is one that conditions may name.
type Field struct {
	Name  string
	Kind  Kind
	Words []string // of a Word
	Help  string
}

// Schema has all fields.
type Schema []Field

func (s Schema) find(name string) *Field {
	for i := range s {
		if strings.EqualFold(s[i].Name, name) {
			return &s[i]
		}
	}
	return nil
}

// Names lists the fields, for messages.
func (s Schema) Names() string {
	names := make([]string, len(s))
	for i := range s {
		names[i] = s[i].Name
	}
	return strings.Join(names, ", ")
}

// Row returns a field's value: a string, float64, time.Time, time.Duration or []string as the field's kind says.
// Nil is a value that is absent: it is equal to nothing, and different from everything.
type Row func(name string) any

// Error is what is wrong with a filter.
type Error struct {
	Column int // from 1
	Text   string
}

// Error names the column and what is wrong there.
func (e *Error) Error() string { return fmt.Sprintf("column %d: %s", e.Column, e.Text) }

// MaxText bounds a filter, in bytes.
const MaxText = 4096

// maxDepth bounds how deep parentheses are nested. The parser calls itself for each: a text of nothing else must
// not use up the stack.
const maxDepth = 64

// Filter selects rows.
type Filter struct {
	text  string
	match predicate // nil: all rows
}

// Parse reads a filter. An empty one selects everything.
func Parse(s Schema, text string) (*Filter, error) {
	f := &Filter{text: text}
	if strings.TrimSpace(text) == "" {
		return f, nil
	}
	if len(text) > MaxText {
		return nil, &Error{MaxText, fmt.Sprintf("a filter is longer than %d bytes", MaxText)}
	}
	if err := checkDepth(text); err != nil {
		return nil, err
	}
	tree, err := grammar.ParseString("", text)
	if err != nil {
		return nil, syntaxError(err)
	}
	if f.match, err = s.disjunction(tree); err != nil {
		return nil, err
	}
	return f, nil
}

func checkDepth(text string) error {
	depth := 0
	for i, c := range text {
		switch c {
		case '(':
			if depth++; depth > maxDepth {
				return &Error{i + 1, fmt.Sprintf("more than %d parentheses within one another", maxDepth)}
			}
		case ')':
			depth--
		}
	}
	return nil
}

// syntaxError is the error of the parser, with the column where it knows it.
func syntaxError(err error) *Error {
	if at := participle.Error(nil); errors.As(err, &at) {
		return &Error{max(at.Position().Column, 1), at.Message()}
	}
	return &Error{1, err.Error()}
}

// String is the filter as it was written.
func (f *Filter) String() string { return f.text }

// Match reports whether a row is selected.
func (f *Filter) Match(row Row, now time.Time) bool { return f.match == nil || f.match(row, now) }
