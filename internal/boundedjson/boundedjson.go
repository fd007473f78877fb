// Package boundedjson parses JSON text that another process sent, at a cost that is bounded by the text's length. The
// validator of gjson calls itself for each level of nesting, so a text of a few kilobytes of brackets makes it grow the
// goroutine's stack to many megabytes. Parse determines the depth first, without recursion and without allocation, and
// rejects a text that is nested deeper than its kind needs.
//
// All JSON that the program reads with gjson is validated here; a linter rule rejects other calls of its validator.
package boundedjson

import (
	"errors"
	"fmt"

	"github.com/tidwall/gjson"
)

// Maximum depths of objects and arrays in the kinds of JSON text that the program reads.
const (
	// MessageDepth is for messages with a fixed form: callbacks of executors and calls between members.
	MessageDepth = 8
	// DocumentDepth is for documents whose form others choose: job templates, configurations, endpoint lists and the
	// bodies of actors' calls.
	DocumentDepth = 32
)

// ErrSyntax is returned for a text that is not valid JSON.
var ErrSyntax = errors.New("not valid JSON")

// DepthError reports a text that is nested deeper than its reader allows.
type DepthError struct {
	MaxDepth int
	Offset   int // of the bracket that exceeds MaxDepth, in bytes
}

func (e *DepthError) Error() string {
	return fmt.Sprintf("byte %d: nested deeper than %d levels", e.Offset, e.MaxDepth)
}

// Parse validates a JSON text and returns its value. The error is a *DepthError if objects and arrays are nested deeper
// than maxDepth, and ErrSyntax if the text is not valid JSON.
func Parse(text []byte, maxDepth int) (gjson.Result, error) {
	if err := checkDepth(text, maxDepth); err != nil {
		return gjson.Result{}, err
	}
	if !gjson.ValidBytes(text) { //nolint:forbidigo // the depth has been checked
		return gjson.Result{}, ErrSyntax
	}
	return gjson.ParseBytes(text), nil
}

// ErrNotObject is returned for valid JSON that is not an object.
var ErrNotObject = errors.New("not a JSON object")

// ParseObject is like Parse, and returns ErrNotObject if the value is not an object.
func ParseObject(text []byte, maxDepth int) (gjson.Result, error) {
	value, err := Parse(text, maxDepth)
	if err == nil && !value.IsObject() {
		return gjson.Result{}, ErrNotObject
	}
	return value, err
}

// Valid reports whether Parse accepts a text.
func Valid(text []byte, maxDepth int) bool {
	return checkDepth(text, maxDepth) == nil && gjson.ValidBytes(text) //nolint:forbidigo // the depth has been checked
}

// checkDepth returns an error if objects and arrays are nested deeper than maxDepth. It stops at the first bracket that
// exceeds it. The text may be invalid: a validator reads it from the front as well, and stops at the first closing
// bracket without an opening one, so a negative depth need not be distinguished.
func checkDepth(text []byte, maxDepth int) error {
	depth, inString := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			if depth++; depth > maxDepth {
				return &DepthError{MaxDepth: maxDepth, Offset: i}
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return nil
}
