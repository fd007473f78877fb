package filter

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The grammar in the notation of participle. Syntax errors contain the names of the types.
type (
	orNode struct {
		Pos          lexer.Position
		Conjunctions []*andNode `parser:"@@ ( 'or' @@ )*"`
	}
	andNode struct {
		Negations []*notNode `parser:"@@ ( 'and' @@ )*"`
	}
	notNode struct {
		Not       bool      `parser:"( @'not' )?"`
		Expr      *orNode   `parser:"( '(' @@ ')'"`
		Condition *condNode `parser:"| @@ )"`
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

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "space", Pattern: `[ \t\r\n]+`},
	{Name: "Time", Pattern: `\d{4}-\d{2}-\d{2}([Tt]\d{2}:\d{2}:\d{2}(\.\d+)?([Zz]|[+-]\d{2}:\d{2}))?`},
	{Name: "Span", Pattern: `\d+(\.\d+)?(ms|s|m|h|d)\b`},
	{Name: "Number", Pattern: `[-+]?\d+(\.\d+)?`},
	{Name: "String", Pattern: `"(\\.|[^"\\])*"|'[^']*'`},
	{Name: "Keyword", Pattern: `(?i)\b(and|or|not|in|ago)\b`},
	{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_.-]*`},
	{Name: "Op", Pattern: `!=|<=|>=|[=<>~(),]`},
})

var grammar = participle.MustBuild[orNode](participle.Lexer(tokens), participle.Elide("space"),
	participle.CaseInsensitive("Keyword"), participle.UseLookahead(2))
