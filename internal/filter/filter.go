// Package filter is the small language in which jobs and machines are picked, by the batch front's calls and by the
// command line alike:
//
//	state in (QUEUED, RUNNING) and category = "area-render" and submitted > 5m ago
//
// A condition compares a field with a value: = != < <= > >= for numbers and times, = != ~ (holds) for text, "in" and
// "not in" for lists of values. Conditions are joined by and, or, not and parentheses; and binds closer than or. A time
// is written as RFC 3339 has it, or as a span ago: 90s ago, 5m ago, 2h ago, 1d ago; a span alone is a length of time.
// Words are compared without regard to case. Errors name the column.
package filter

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Kind is what a field holds.
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

// Schema names all fields.
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

// Row gives a field's value: a string, float64, time.Time, time.Duration or []string as the field's kind has it. Nil
// stands for a value that is not there: it is equal to nothing, and different from everything.
type Row func(name string) any

// Error is what is wrong with a filter, and where.
type Error struct {
	Column int // from 1
	Text   string
}

func (e *Error) Error() string { return fmt.Sprintf("column %d: %s", e.Column, e.Text) }

// MaxText bounds a filter, in bytes, and with it the depth to which it can be nested.
const MaxText = 4096

const maxDepth = 64

// Filter picks rows.
type Filter struct {
	text string
	root expr
}

// The grammar, as participle reads it.
type (
	orNode struct {
		Pos lexer.Position
		And []*andNode `parser:"@@ ( 'or' @@ )*"`
	}
	andNode struct {
		Not []*notNode `parser:"@@ ( 'and' @@ )*"`
	}
	notNode struct {
		Not  bool      `parser:"( @'not' )?"`
		Expr *orNode   `parser:"( '(' @@ ')'"`
		Cond *condNode `parser:"| @@ )"`
	}
	condNode struct {
		Pos   lexer.Position
		Field string       `parser:"@Ident"`
		Op    string       `parser:"( @( '=' | '!=' | '<=' | '>=' | '<' | '>' | '~' )"`
		Value *valueNode   `parser:"  @@"`
		NotIn bool         `parser:"| ( @'not' )? 'in'"`
		In    []*valueNode `parser:"  '(' @@ ( ',' @@ )* ')' )"`
	}
	valueNode struct {
		Pos    lexer.Position
		String *string `parser:"  @String"`
		Time   *string `parser:"| @Time"`
		Span   *string `parser:"| @Span"`
		Ago    bool    `parser:"  ( @'ago' )?"`
		Number *string `parser:"| @Number"`
		Word   *string `parser:"| @Ident"`
	}
)

var words = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "space", Pattern: `[ \t\r\n]+`},
	{Name: "Time", Pattern: `\d{4}-\d{2}-\d{2}([Tt]\d{2}:\d{2}:\d{2}(\.\d+)?([Zz]|[+-]\d{2}:\d{2}))?`},
	{Name: "Span", Pattern: `\d+(\.\d+)?(ms|s|m|h|d)\b`},
	{Name: "Number", Pattern: `[-+]?\d+(\.\d+)?`},
	{Name: "String", Pattern: `"(\\.|[^"\\])*"|'[^']*'`},
	{Name: "Keyword", Pattern: `(?i)\b(and|or|not|in|ago)\b`},
	{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_.-]*`},
	{Name: "Op", Pattern: `!=|<=|>=|[=<>~(),]`},
})

var grammar = participle.MustBuild[orNode](participle.Lexer(words), participle.Elide("space"),
	participle.CaseInsensitive("Keyword"), participle.UseLookahead(2))

// Parse reads a filter. An empty one picks everything.
func Parse(s Schema, text string) (*Filter, error) {
	f := &Filter{text: text}
	if strings.TrimSpace(text) == "" {
		return f, nil
	}
	if len(text) > MaxText {
		return nil, &Error{MaxText, fmt.Sprintf("a filter is longer than %d bytes", MaxText)}
	}
	// The parser calls itself for each parenthesis: a text of nothing else must not take the stack.
	depth := 0
	for i, c := range text {
		switch c {
		case '(':
			if depth++; depth > maxDepth {
				return nil, &Error{i + 1, fmt.Sprintf("more than %d parentheses within one another", maxDepth)}
			}
		case ')':
			depth--
		}
	}
	tree, err := grammar.ParseString("", text)
	if err != nil {
		e := &Error{1, err.Error()}
		if pe := participle.Error(nil); errors.As(err, &pe) {
			e.Column, e.Text = max(pe.Position().Column, 1), pe.Message()
		}
		return nil, e
	}
	f.root, err = s.or(tree)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// String is the filter as it was written.
func (f *Filter) String() string { return f.text }

// Match says whether a row is picked.
func (f *Filter) Match(row Row, now time.Time) bool { return f.root == nil || f.root(row, now) }

// expr is a filter, or a part of one, made ready.
type expr func(row Row, now time.Time) bool

func (s Schema) or(n *orNode) (expr, error) { return joined(n.And, s.and, true) }

func (s Schema) and(n *andNode) (expr, error) { return joined(n.Not, s.not, false) }

// joined is true for the first part that is, where that decides, or else false for the first that is not.
func joined[N any](nodes []N, each func(N) (expr, error), decides bool) (expr, error) {
	var all []expr
	for _, n := range nodes {
		e, err := each(n)
		if err != nil {
			return nil, err
		}
		all = append(all, e)
	}
	if len(all) == 1 {
		return all[0], nil
	}
	return func(row Row, now time.Time) bool {
		for _, e := range all {
			if e(row, now) == decides {
				return decides
			}
		}
		return !decides
	}, nil
}

func (s Schema) not(n *notNode) (expr, error) {
	var e expr
	var err error
	if n.Expr != nil {
		e, err = s.or(n.Expr)
	} else {
		e, err = s.cond(n.Cond)
	}
	if err != nil || !n.Not {
		return e, err
	}
	return func(row Row, now time.Time) bool { return !e(row, now) }, nil
}

func (s Schema) cond(n *condNode) (expr, error) {
	field := s.find(n.Field)
	if field == nil {
		return nil, &Error{n.Pos.Column, fmt.Sprintf("no field is named %q; there are %s", n.Field, s.Names())}
	}
	if n.Op == "" {
		var any []test
		for _, v := range n.In {
			t, err := field.test(n, "=", v)
			if err != nil {
				return nil, err
			}
			any = append(any, t)
		}
		name, not := field.Name, n.NotIn
		return func(row Row, now time.Time) bool {
			v := row(name)
			return slices.ContainsFunc(any, func(t test) bool { return t(v, now) }) != not
		}, nil
	}
	t, err := field.test(n, n.Op, n.Value)
	if err != nil {
		return nil, err
	}
	name := field.Name
	return func(row Row, now time.Time) bool { return t(row(name), now) }, nil
}

// test compares a row's value with the one in the filter.
type test func(v any, now time.Time) bool

var ordered = []string{"=", "!=", "<", "<=", ">", ">="}

func (f *Field) test(n *condNode, op string, v *valueNode) (test, error) {
	bad := func(want string) error {
		return &Error{v.Pos.Column, fmt.Sprintf("%s is compared with %s", f.Name, want)}
	}
	switch f.Kind {
	case Number:
		if v.Number == nil || !slices.Contains(ordered, op) {
			return nil, bad("a number, by = != < <= > or >=")
		}
		want, err := strconv.ParseFloat(*v.Number, 64)
		if err != nil {
			return nil, bad("a number")
		}
		return func(x any, _ time.Time) bool {
			got, ok := x.(float64)
			return compared(op, ok, func() int { return order(got, want) })
		}, nil
	case Span:
		want, ok := v.span()
		if !ok || v.Ago || !slices.Contains(ordered, op) {
			return nil, bad("a length of time such as 90s or 5m, by = != < <= > or >=")
		}
		return func(x any, _ time.Time) bool {
			got, ok := x.(time.Duration)
			return compared(op, ok, func() int { return order(got, want) })
		}, nil
	case Time:
		at, ok := v.time()
		if !ok || !slices.Contains(ordered, op) {
			return nil, bad("a time such as 2026-12-01T10:00:00Z or 5m ago, by = != < <= > or >=")
		}
		return func(x any, now time.Time) bool {
			got, ok := x.(time.Time)
			return compared(op, ok && !got.IsZero(), func() int { return got.Compare(at(now)) })
		}, nil
	}
	want, ok := v.word()
	if !ok || op != "=" && op != "!=" && op != "~" {
		return nil, bad("text, by = != or ~")
	}
	if f.Kind == Word && op != "~" && !slices.ContainsFunc(f.Words, func(w string) bool { return strings.EqualFold(w, want) }) {
		return nil, bad("one of " + strings.Join(f.Words, ", ") + "; " + strconv.Quote(want) + " is none of them")
	}
	holds := func(got string) bool {
		if op == "~" {
			return strings.Contains(strings.ToLower(got), strings.ToLower(want))
		}
		return strings.EqualFold(got, want)
	}
	return func(x any, _ time.Time) bool {
		out := false
		switch x := x.(type) {
		case string:
			out = holds(x)
		case []string:
			out = slices.ContainsFunc(x, holds)
		}
		return out != (op == "!=")
	}, nil
}

func order[T int | float64 | time.Duration](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// compared applies an operator to two values in order; what is not there is equal to nothing.
func compared(op string, there bool, order func() int) bool {
	if !there {
		return op == "!="
	}
	c := order()
	switch op {
	case "=":
		return c == 0
	case "!=":
		return c != 0
	case "<":
		return c < 0
	case "<=":
		return c <= 0
	case ">":
		return c > 0
	}
	return c >= 0
}

func (v *valueNode) word() (string, bool) {
	switch {
	case v.Word != nil:
		return *v.Word, true
	case v.Number != nil: // an id may look like one
		return *v.Number, true
	case v.String != nil:
		text := *v.String
		if text[0] == '\'' {
			return text[1 : len(text)-1], true
		}
		out, err := strconv.Unquote(text)
		return out, err == nil
	}
	return "", false
}

func (v *valueNode) span() (time.Duration, bool) {
	if v.Span == nil {
		return 0, false
	}
	text, unit := *v.Span, time.Duration(0)
	if days, ok := strings.CutSuffix(text, "d"); ok {
		text, unit = days+"h", 24
	}
	d, err := time.ParseDuration(text)
	if unit > 0 {
		d *= unit
	}
	return d, err == nil && d >= 0
}

func (v *valueNode) time() (func(now time.Time) time.Time, bool) {
	if v.Ago {
		d, ok := v.span()
		return func(now time.Time) time.Time { return now.Add(-d) }, ok
	}
	text := ""
	switch {
	case v.Time != nil:
		text = strings.ToUpper(*v.Time)
	case v.String != nil:
		text, _ = v.word()
	default:
		return nil, false
	}
	for _, form := range []string{time.RFC3339Nano, time.DateOnly} {
		if at, err := time.Parse(form, text); err == nil {
			return func(time.Time) time.Time { return at }, true
		}
	}
	return nil, false
}
