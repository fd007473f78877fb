package atomicfiletest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"golang.org/x/sys/unix"
)

// Devices that simulate a failing disk.
const (
	// FullDevice is a device on which each write fails with ENOSPC.
	FullDevice = "/dev/full"
	// UnsyncedDevice is a device that accepts each write, discards the data, and fails each sync with EINVAL: a disk
	// that reports lost writes only at a sync.
	UnsyncedDevice = "/dev/null"
)

// ReplaceOpenFile replaces a file that this process has open with a device, for libraries that open their files
// themselves. Existing memory mappings of the file remain readable. The returned function restores the file.
func ReplaceOpenFile(path, device string) (restore func() error, err error) {
	fd, err := descriptorOf(path)
	if err != nil {
		return nil, err
	}
	saved, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0) // the duplicate also keeps the lock of the file
	if err != nil {
		return nil, err
	}
	replacement, err := unix.Open(device, unix.O_RDWR|unix.O_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Join(err, unix.Close(saved))
	}
	if err := unix.Dup3(replacement, fd, unix.O_CLOEXEC); err != nil {
		return nil, errors.Join(err, unix.Close(saved), unix.Close(replacement))
	}
	return func() error {
		return errors.Join(unix.Dup3(saved, fd, unix.O_CLOEXEC), unix.Close(saved), unix.Close(replacement))
	}, nil
}

// descriptorOf returns the descriptor with which this process has a file open.
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
