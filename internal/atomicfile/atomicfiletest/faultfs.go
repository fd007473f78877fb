// Package atomicfiletest has a file system whose calls fail on demand, for the tests of what writes files with package
// atomicfile.
package atomicfiletest

import (
	"sync"

	"gatetack/internal/atomicfile"
)

// Op is an operation on a file or a directory.
type Op string

// The operations.
const (
	Create  Op = "create"
	Write   Op = "write"
	Sync    Op = "sync"
	Rename  Op = "rename"
	SyncDir Op = "sync directory"
)

// FaultFS passes calls on to the operating system's file system, notes their order, and makes those fail that a test
// names. It is safe for concurrent use.
type FaultFS struct {
	mu       sync.Mutex
	calls    []Op
	failures map[Op]failure
	short    int
}

type failure struct {
	passing int // calls that succeed before
	count   int
	err     error
}

// New returns a file system on which nothing fails.
func New() *FaultFS { return &FaultFS{failures: map[Op]failure{}} }

// Fail makes the next calls of an operation fail. A negative count makes all of them fail until Heal.
func (f *FaultFS) Fail(op Op, count int, err error) { f.FailAfter(op, 0, count, err) }

// FailAfter makes calls of an operation fail as Fail does, after some that succeed.
func (f *FaultFS) FailAfter(op Op, passing, count int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures[op] = failure{passing, count, err}
}

// ShortenWrites makes the next writes write only half of the data and report no error.
func (f *FaultFS) ShortenWrites(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.short = count
}

// Heal ends all failures.
func (f *FaultFS) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures, f.short = map[Op]failure{}, 0
}

// Calls returns the operations so far, in their order.
func (f *FaultFS) Calls() []Op {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Op(nil), f.calls...)
}

// call notes an operation and returns the error that it is to fail with.
func (f *FaultFS) call(op Op) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, op)
	next := f.failures[op]
	if next.count == 0 {
		return nil
	}
	if next.passing > 0 {
		next.passing--
		f.failures[op] = next
		return nil
	}
	next.count--
	f.failures[op] = next
	return next.err
}

// shortened reports whether a write is to write half of the data.
func (f *FaultFS) shortened() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.short == 0 {
		return false
	}
	f.short--
	return true
}

// CreateTemp creates a temporary file.
func (f *FaultFS) CreateTemp(dir, pattern string) (atomicfile.File, error) {
	if err := f.call(Create); err != nil {
		return nil, err
	}
	file, err := atomicfile.OS.CreateTemp(dir, pattern)
	if err != nil {
		return nil, err
	}
	return &faultFile{File: file, fs: f}, nil
}

// Rename renames a file.
func (f *FaultFS) Rename(from, to string) error {
	if err := f.call(Rename); err != nil {
		return err
	}
	return atomicfile.OS.Rename(from, to)
}

// Remove removes a file. It never fails on demand.
func (f *FaultFS) Remove(name string) error { return atomicfile.OS.Remove(name) }

// SyncDir syncs a directory.
func (f *FaultFS) SyncDir(dir string) error {
	if err := f.call(SyncDir); err != nil {
		return err
	}
	return atomicfile.OS.SyncDir(dir)
}

type faultFile struct {
	atomicfile.File
	fs *FaultFS
}

// Write writes data. A write that fails leaves half of it in the file, as a full disk does.
func (f *faultFile) Write(data []byte) (int, error) {
	err, short := f.fs.call(Write), f.fs.shortened()
	if err == nil && !short {
		return f.File.Write(data)
	}
	n, writeErr := f.File.Write(data[:len(data)/2])
	if err == nil {
		err = writeErr
	}
	return n, err
}

// Sync syncs the file.
func (f *faultFile) Sync() error {
	if err := f.fs.call(Sync); err != nil {
		return err
	}
	return f.File.Sync()
}
