package atomicfiletest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"golang.org/x/sys/unix"
)

// Devices that stand for a disk that fails.
const (
	// FullDevice fails every write with ENOSPC.
	FullDevice = "/dev/full"
	// UnsyncedDevice takes every write, keeps nothing of it, and fails every sync with EINVAL: a disk that tells of a
	// write that it lost only when it is asked.
	UnsyncedDevice = "/dev/null"
)

// ReplaceOpenFile puts a device in the place of a file that this process has open, for libraries that open their files
// themselves. What they mapped of it stays readable. The function that it returns puts the file back.
func ReplaceOpenFile(path, device string) (restore func() error, err error) {
	fd, err := descriptorOf(path)
	if err != nil {
		return nil, err
	}
	saved, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0) // the copy also keeps the file's lock
	if err != nil {
		return nil, err
	}
	with, err := unix.Open(device, unix.O_RDWR|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Join(err, unix.Close(saved))
	}
	if err := unix.Dup3(with, fd, unix.O_CLOEXEC); err != nil {
		return nil, errors.Join(err, unix.Close(saved), unix.Close(with))
	}
	return func() error {
		return errors.Join(unix.Dup3(saved, fd, unix.O_CLOEXEC), unix.Close(saved), unix.Close(with))
	}, nil
}

// descriptorOf returns the descriptor by which this process has a file open.
func descriptorOf(path string) (int, error) {
	path, err := filepath.EvalSymlinks(path)
	if err != nil {
		return 0, err
	}
	const descriptors = "/proc/self/fd"
	entries, err := os.ReadDir(descriptors)
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(descriptors, entry.Name())); err == nil && target == path {
			return strconv.Atoi(entry.Name())
		}
	}
	return 0, fmt.Errorf("%s is not open", path)
}
