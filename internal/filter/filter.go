// Package filter implements the filter language for jobs and machines that the calls of the batch front and the command
// line share:
//
//	state in (QUEUED, RUNNING) and category = "area-render" and submitted > 5m ago
//
// A condition compares a field with a value: = != < <= > >= for numbers and times, = != ~ (contains) for text, and
// "in" and "not in" for lists of values. Conditions are combined with and, or, not and parentheses; and has a higher
// precedence than or. A time is written in RFC 3339 format or relative to now: 90s ago, 5m ago, 2h ago, 1d ago. A span
// without "ago" is a duration. Text is compared case-insensitively. Errors name the column. The package keeps no
// state.
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

// The kinds and the Go types of their values.
const (
	Text   Kind = iota // string
	Word               // string that is one of Field.Words
	Number             // float64
	Time               // time.Time
	Span               // time.Duration
	List               // []string, which is equal to each of its elements
)

// Field describes a field that conditions may name.
type Field struct {
	Name  string
	Kind  Kind
	Words []string // allowed values of a field of kind Word
	Help  string
}

// Schema lists all fields.
type Schema []Field

func (s Schema) find(name string) *Field {
	for i := range s {
		if strings.EqualFold(s[i].Name, name) {
			return &s[i]
		}
	}
	return nil
}

// Names returns the names of the fields, separated by commas, for messages.
func (s Schema) Names() string {
	names := make([]string, len(s))
	for i := range s {
		names[i] = s[i].Name
	}
	return strings.Join(names, ", ")
}

// Row returns the value of a field, of the Go type of the field's kind. A nil value is absent: it is equal to no value
// and different from every value.
type Row func(name string) any

// Error describes an invalid filter.
type Error struct {
	Column int // starts at 1
	Text   string
}

// Error returns the column and the description of the error.
func (e *Error) Error() string { return fmt.Sprintf("column %d: %s", e.Column, e.Text) }

// MaxText is the maximum length of a filter in bytes.
const MaxText = 4096

// maxDepth bounds the nesting of parentheses. The parser recurses for each level, and a filter of parentheses alone
// must not exhaust the stack.
const maxDepth = 64

// Filter selects rows.
type Filter struct {
	text  string
	match predicate // nil: all rows
}

// Parse parses a filter. An empty filter selects all rows.
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

// checkDepth returns an error for parentheses that are nested deeper than maxDepth. Those in quoted text do not count.
func checkDepth(text string) error {
	depth, quote := 0, byte(0)
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quote == '"' && c == '\\':
			i++
		case quote != 0:
			if c == quote {
				quote = 0
			}
		case c == '"' || c == '\'':
			quote = c
		case c == '(':
			if depth++; depth > maxDepth {
				return &Error{i + 1, fmt.Sprintf("more than %d parentheses within one another", maxDepth)}
			}
		case c == ')':
			depth--
		}
	}
	return nil
}

// syntaxError converts an error of the parser, with its column if the parser knows it.
func syntaxError(err error) *Error {
	if at := participle.Error(nil); errors.As(err, &at) {
		return &Error{max(at.Position().Column, 1), at.Message()}
	}
	return &Error{1, err.Error()}
}

// String returns the text of the filter.
func (f *Filter) String() string { return f.text }

// Match reports whether the filter selects a row. Relative times refer to now.
func (f *Filter) Match(row Row, now time.Time) bool { return f.match == nil || f.match(row, now) }
