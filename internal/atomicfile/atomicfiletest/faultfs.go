// Package atomicfiletest provides a file system whose calls fail on demand, for tests of packages that write files with
// package atomicfile.
package atomicfiletest

import (
	"sync"

	"gatetack/internal/atomicfile"
)

// Op is an operation on a file or a directory.
type Op string

// Operations of a FaultFS.
const (
	Create  Op = "create"
	Write   Op = "write"
	Sync    Op = "sync"
	Rename  Op = "rename"
	SyncDir Op = "sync directory"
)

// FaultFS forwards calls to the file system of the operating system, records their order, and injects the failures that
// a test configures. It is safe for concurrent use.
type FaultFS struct {
	mu          sync.Mutex
	calls       []Op
	failures    map[Op]failure
	shortWrites int
}

type failure struct {
	skip  int // number of calls that succeed before the first failure
	count int
	err   error
}

// New returns a file system without failures.
func New() *FaultFS { return &FaultFS{failures: map[Op]failure{}} }

// Fail makes the next count calls of an operation fail. With a negative count, all calls fail until Heal.
func (f *FaultFS) Fail(op Op, count int, err error) { f.FailAfter(op, 0, count, err) }

// FailAfter makes calls of an operation fail like Fail, after skip calls that succeed.
func (f *FaultFS) FailAfter(op Op, skip, count int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures[op] = failure{skip, count, err}
}

// ShortenWrites makes the next count writes write only half of the data without returning an error.
func (f *FaultFS) ShortenWrites(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shortWrites = count
}

// Heal removes all configured failures.
func (f *FaultFS) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures, f.shortWrites = map[Op]failure{}, 0
}

// Calls returns the recorded operations in their order.
func (f *FaultFS) Calls() []Op {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Op(nil), f.calls...)
}

// call records an operation and returns the error with which it is to fail.
func (f *FaultFS) call(op Op) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, op)
	next := f.failures[op]
	if next.count == 0 {
		return nil
	}
	if next.skip > 0 {
		next.skip--
		f.failures[op] = next
		return nil
	}
	next.count--
	f.failures[op] = next
	return next.err
}

// shortenWrite reports whether a write is to write only half of the data.
func (f *FaultFS) shortenWrite() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shortWrites == 0 {
		return false
	}
	f.shortWrites--
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

// Remove removes a file. Failures cannot be configured for it.
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

// Write writes data. A write with an injected failure writes half of the data, as on a full disk.
func (f *faultFile) Write(data []byte) (int, error) {
	err, short := f.fs.call(Write), f.fs.shortenWrite()
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
