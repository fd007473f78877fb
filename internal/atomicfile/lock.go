package atomicfile

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	lockTimeout    = 5 * time.Second
	lockRetryDelay = 5 * time.Millisecond
)

// LockTimeoutError reports that another process held the lock of a directory for too long.
type LockTimeoutError struct{ Dir string }

func (e *LockTimeoutError) Error() string {
	return fmt.Sprintf("%s: locked by another process for more than %v", e.Dir, lockTimeout)
}

// Lock locks a directory against other callers of Lock, in this and in other processes, and returns the function that
// unlocks it. A file whose next content depends on its present one is read and written under the lock. The lock ends
// with the process that holds it.
func Lock(dir string) (unlock func(), err error) {
	file, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	for started := time.Now(); ; time.Sleep(lockRetryDelay) {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		switch {
		case err == nil:
			return func() { _ = file.Close() }, nil
		case !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR):
			_ = file.Close()
			return nil, fmt.Errorf("%s: lock: %w", dir, err)
		case time.Since(started) > lockTimeout:
			_ = file.Close()
			return nil, &LockTimeoutError{dir}
		}
	}
}
