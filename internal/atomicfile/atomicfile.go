// Package atomicfile replaces files so that a reader finds either the former content or the new content, and never a
// part of it, also after the process was killed or the machine lost power. A write that returns no error is durable.
package atomicfile

import (
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
)

// TempPrefix begins the names of temporary files. A process that is killed during a write leaves one behind, which is
// never read. The names differ from those of the files that they are to replace from the first byte on.
const TempPrefix = ".new-"

// FS is the part of a file system that a durable replacement needs. Programs use OS; tests wrap it to make calls fail.
type FS interface {
	// CreateTemp creates a file with a name of its own, as os.CreateTemp does.
	CreateTemp(dir, pattern string) (File, error)
	// Rename gives a file another name, in one step, and removes the file that had it.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(dir string) error
}

// File is an open temporary file.
type File interface {
	io.Writer
	// Name is the path that CreateTemp chose.
	Name() string
	// Chmod sets the permissions.
	Chmod(mode fs.FileMode) error
	// Sync makes the content durable.
	Sync() error
	// Close ends the use of the file.
	Close() error
}

// WriteError reports the operation of a replacement that failed. Where Op is "sync directory" the new content is in
// place and may be lost in a power loss; after any other operation the former content is in place.
type WriteError struct {
	Op   string
	Path string
	Err  error
}

func (e *WriteError) Error() string { return fmt.Sprintf("%s: %s: %v", e.Path, e.Op, e.Err) }

// Unwrap returns the cause, such as syscall.ENOSPC.
func (e *WriteError) Unwrap() error { return e.Err }

// Write replaces a file's content durably, or creates the file.
func Write(fsys FS, path string, data []byte, mode fs.FileMode) error {
	staged, err := Stage(fsys, path, data, mode)
	if err != nil {
		return err
	}
	return staged.Commit()
}

// Staged is content that is on disk under a temporary name. Several files are replaced together by staging all of them
// before the first is committed: what can fail for want of space has then succeeded.
type Staged struct {
	fsys FS
	temp string
	path string
}

// Stage writes and syncs content beside the file that it is to replace. The caller must call Commit or Discard.
func Stage(fsys FS, path string, data []byte, mode fs.FileMode) (*Staged, error) {
	file, err := fsys.CreateTemp(filepath.Dir(path), TempPrefix+filepath.Base(path)+"-*")
	if err != nil {
		return nil, &WriteError{"create", path, err}
	}
	staged := &Staged{fsys: fsys, temp: file.Name(), path: path}
	op, err := fill(file, data, mode)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		op, err = "close", closeErr
	}
	if err != nil {
		staged.Discard()
		return nil, &WriteError{op, path, err}
	}
	return staged, nil
}

// fill writes and syncs a file. It returns the operation that failed.
func fill(file File, data []byte, mode fs.FileMode) (string, error) {
	n, err := file.Write(data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return "write", err
	}
	if err := file.Chmod(mode); err != nil {
		return "chmod", err
	}
	return "sync", file.Sync()
}

// Commit puts the staged content in the file's place and makes the name durable.
func (s *Staged) Commit() error {
	if err := s.fsys.Rename(s.temp, s.path); err != nil {
		s.Discard()
		return &WriteError{"rename", s.path, err}
	}
	if err := s.fsys.SyncDir(filepath.Dir(s.path)); err != nil {
		return &WriteError{"sync directory", s.path, err}
	}
	return nil
}

// Discard removes the staged content. Failing to remove it is not reported: the file is never read.
func (s *Staged) Discard() { _ = s.fsys.Remove(s.temp) }
