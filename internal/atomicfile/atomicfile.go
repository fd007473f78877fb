// Package atomicfile replaces files atomically: a reader finds either the previous content or the new content, also
// after the process was killed or the machine lost power. A write that returns no error is durable.
package atomicfile

import (
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
)

// TempPrefix begins the names of temporary files. A process that is killed during a write leaves a temporary file
// behind, which is never read. With the prefix, the name of a temporary file differs from that of its target in the
// first byte.
const TempPrefix = ".new-"

// FS is the file system interface for durable replacements. Programs use OS; tests wrap it to make calls fail.
type FS interface {
	// CreateTemp creates a file with a unique name, like os.CreateTemp.
	CreateTemp(dir, pattern string) (File, error)
	// Rename atomically renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes the entries of a directory durable.
	SyncDir(dir string) error
}

// File is an open temporary file.
type File interface {
	io.Writer
	// Name returns the path that CreateTemp chose.
	Name() string
	// Chmod sets the permissions.
	Chmod(mode fs.FileMode) error
	// Sync makes the content durable.
	Sync() error
	// Close closes the file.
	Close() error
}

// WriteError reports the failed operation of a replacement. If Op is "sync directory", the new content is in place but
// may be lost in a power loss; otherwise the previous content is in place.
type WriteError struct {
	Op   string
	Path string
	Err  error
}

func (e *WriteError) Error() string { return fmt.Sprintf("%s: %s: %v", e.Path, e.Op, e.Err) }

// Unwrap returns the cause, such as syscall.ENOSPC.
func (e *WriteError) Unwrap() error { return e.Err }

// Write durably replaces the content of a file, or creates the file.
func Write(fsys FS, path string, data []byte, mode fs.FileMode) error {
	staged, err := Stage(fsys, path, data, mode)
	if err != nil {
		return err
	}
	return staged.Commit()
}

// Staged is content that is on disk under a temporary name. To replace several files together, all are staged before
// the first is committed: the operations that can fail for lack of space have then succeeded.
type Staged struct {
	fsys FS
	temp string
	path string
}

// Stage writes and syncs content to a temporary file in the directory of the target. The caller must call Commit or
// Discard.
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

// fill writes and syncs a file. On failure it returns the operation that failed.
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

// Commit renames the temporary file to the target and syncs the directory.
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

// Discard removes the staged content. A failure is ignored, because the temporary file is never read.
func (s *Staged) Discard() { _ = s.fsys.Remove(s.temp) }
