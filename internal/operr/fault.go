// Package operr is what errors that reach an operator, a client or another package have in common: each is of a type of its own
// in the package that finds it, has a code by which docs/on-call.md lists it, and says what can be done.
package operr

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
)

// Told is such an error.
type Told interface {
	error
	// Code names its kind, as "store.damaged".
	Code() string
	// Do is what an operator, or the client where it is told to one, can do: one sentence.
	Do() string
}

var (
	mu    sync.Mutex
	kinds = map[string]Told{}
)

// Kind makes a kind known; a package's errors are, from its first use on. The value is only looked at, by the test that goes
// through all of them. It panics on a code that stands twice: that is a mistake in the program's text.
func Kind(e Told) struct{} {
	mu.Lock()
	defer mu.Unlock()
	if _, ok := kinds[e.Code()]; ok {
		panic("fault: two kinds have the code " + e.Code())
	}
	kinds[e.Code()] = e
	return struct{}{}
}

// Kinds are all, by their codes.
func Kinds() []Told {
	mu.Lock()
	defer mu.Unlock()
	var out []Told
	for _, code := range slices.Sorted(maps.Keys(kinds)) {
		out = append(out, kinds[code])
	}
	return out
}

// Do is what can be done about an error, empty where it does not say.
func Do(err error) string {
	if t, ok := errors.AsType[Told](err); ok {
		return t.Do()
	}
	return ""
}

// Attrs are an error's for a log line: the error, its code and what can be done.
func Attrs(err error) slog.Attr {
	if t, ok := errors.AsType[Told](err); ok {
		return slog.Group("", slog.Any("err", err), slog.String("code", t.Code()), slog.String("do", t.Do()))
	}
	return slog.Any("err", err)
}
