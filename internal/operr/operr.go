// Package operr has what errors that reach an operator, a client or another package share: each is of a type of its own
// in the package that finds it, has a code by which docs/on-call.md lists it, and says what can be done about it. The
// package owns the list of all kinds, which is complete once the program's packages are initialized.
package operr

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
)

// Error is an error with a code and a remedy.
type Error interface {
	error
	// Code names its kind, as "store.damaged".
	Code() string
	// Do is what an operator, or the client that gets the error, can do: one sentence.
	Do() string
}

var (
	mu    sync.Mutex
	kinds = map[string]Error{}
)

// Kind registers a kind of error, by a value of its type, so that the test which compares all kinds with the operators'
// page finds it. It panics on a code that is registered already, which is a mistake in the program's text. The result
// lets a package register its kinds in variable declarations.
func Kind(e Error) struct{} {
	mu.Lock()
	defer mu.Unlock()
	if _, ok := kinds[e.Code()]; ok {
		panic("operr: two kinds have the code " + e.Code())
	}
	kinds[e.Code()] = e
	return struct{}{}
}

// Kinds are all that are registered, by their codes.
func Kinds() []Error {
	mu.Lock()
	defer mu.Unlock()
	var all []Error
	for _, code := range slices.Sorted(maps.Keys(kinds)) {
		all = append(all, kinds[code])
	}
	return all
}

// Do is what can be done about an error, empty where it does not say.
func Do(err error) string {
	if e, ok := errors.AsType[Error](err); ok {
		return e.Do()
	}
	return ""
}

// Attrs are an error's attributes for a log line: the error, its code and what can be done.
func Attrs(err error) slog.Attr {
	if e, ok := errors.AsType[Error](err); ok {
		return slog.Group("", slog.Any("err", err), slog.String("code", e.Code()), slog.String("do", e.Do()))
	}
	return slog.Any("err", err)
}
