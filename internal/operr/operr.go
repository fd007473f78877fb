// Package operr defines the interface of errors that reach an operator, a client or another package. Each such error
// has its own type in the package that detects it, a code under which docs/on-call.md lists it, and a remedy. This
// package also holds the registry of all kinds, which is complete once the packages of the program are initialized.
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
	// Code returns the code of the error's kind, for example "store.damaged".
	Code() string
	// Remedy returns the remedy in one sentence, for an operator or for the client that gets the error.
	Remedy() string
}

var (
	mu    sync.Mutex
	kinds = map[string]Error{}
)

// Register registers a kind of error by a value of its type, for the test that compares all kinds with
// docs/on-call.md. It panics if the code is already registered, which is a programming error. The result allows
// packages to register their kinds in variable declarations.
func Register(e Error) struct{} {
	mu.Lock()
	defer mu.Unlock()
	if _, ok := kinds[e.Code()]; ok {
		panic("operr: duplicate code " + e.Code())
	}
	kinds[e.Code()] = e
	return struct{}{}
}

// Kinds returns all registered kinds, sorted by code.
func Kinds() []Error {
	mu.Lock()
	defer mu.Unlock()
	var all []Error
	for _, code := range slices.Sorted(maps.Keys(kinds)) {
		all = append(all, kinds[code])
	}
	return all
}

// Remedy returns the remedy of err, or "" if it has none.
func Remedy(err error) string {
	if e, ok := errors.AsType[Error](err); ok {
		return e.Remedy()
	}
	return ""
}

// Attrs returns the log attributes of an error: the error and, if it is an Error, its code and remedy.
func Attrs(err error) slog.Attr {
	if e, ok := errors.AsType[Error](err); ok {
		return slog.Group("", slog.Any("err", err), slog.String("code", e.Code()), slog.String("do", e.Remedy()))
	}
	return slog.Any("err", err)
}
