package callbackrelay

import (
	"io/fs"
	"os"

	"gatetack/internal/atomicfile"
)

// Directory is the part of a file system that a Relay uses. Programs use osDirectory; tests wrap it to inject faults.
type Directory interface {
	atomicfile.FS
	// MkdirAll creates a directory and its parents.
	MkdirAll(path string, mode fs.FileMode) error
	// ReadDir returns the entries of a directory.
	ReadDir(path string) ([]fs.DirEntry, error)
	// ReadFile returns the content of a file.
	ReadFile(path string) ([]byte, error)
}

type osDirectory struct{ atomicfile.FS }

func (osDirectory) MkdirAll(path string, mode fs.FileMode) error { return os.MkdirAll(path, mode) }
func (osDirectory) ReadDir(path string) ([]fs.DirEntry, error)   { return os.ReadDir(path) }
func (osDirectory) ReadFile(path string) ([]byte, error)         { return os.ReadFile(path) }
