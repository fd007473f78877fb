// Package sharedids keeps the IDs of the requests that the processes of a node have open, in a file that all of these
// processes map into their memory. While one process replaces another, both accept requests; an ID that is open in
// one of them must not be accepted by the other. Package idclaims decides that; this package opens the file, keeps the
// clock that the processes share, and knows which open requests are not in the file.
//
// A claim is a few memory accesses and no system call, whether or not another process is running, and never waits for
// another process.
package sharedids

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"gatetack/internal/idclaims"
)

// ErrUnknown is returned by Claim while another process may have requests open whose IDs it does not share.
var ErrUnknown = errors.New("sharedids: the open requests of the node's other process are not known")

// retryInterval is the time between attempts to create and map the file.
const retryInterval = time.Second

// IDs are the IDs that the processes of this node have open. It is safe for concurrent use, except for Refresh.
type IDs struct {
	path      string
	log       *slog.Logger
	startedAt time.Time // when startMs was read
	startMs   int64     // on the clock that all processes of the machine share

	// Used by Refresh only. It accesses the file without holding the lock: a disk may hang.
	file    os.FileInfo // of the mapped file
	retryAt time.Time   // after an attempt to map the file that failed

	mu       sync.Mutex
	table    *idclaims.Table // nil while the file cannot be mapped
	shared   int             // open requests whose IDs are in the file
	unshared int             // open requests whose IDs are not
	others   Others
}

// Others is what is known of the other processes of this node.
type Others uint8

// The states of the other processes.
const (
	Unknown Others = iota // another process may have open requests whose IDs it does not share
	Sharing               // other processes are running, and share the IDs of all their open requests
	None                  // no other process is running
)

// Open returns the IDs that are shared in a directory. It logs an error if the file cannot be used; Refresh tries
// again. Until ObserveOthers is called, no ID can be claimed.
func Open(dir string, log *slog.Logger) *IDs {
	ids := &IDs{path: filepath.Join(dir, fileName), log: log, startedAt: time.Now(), startMs: machineTimeMs()}
	ids.Refresh()
	return ids
}

// machineTimeMs returns the machine's monotonic time, which is the same for all processes and does not follow steps of
// the wall clock.
func machineTimeMs() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0 // does not occur: the clock exists on every Linux
	}
	return now.Nano() / int64(time.Millisecond)
}

func (s *IDs) milliseconds(t time.Time) int64 { return s.startMs + t.Sub(s.startedAt).Milliseconds() }

// Claim claims the ID of a request for as long as the request is open, and at most until end. It returns
// idclaims.ErrOpen if a request of this ID is open in any process of the node, ErrUnknown if that is not known, and
// idclaims.ErrFull if too many are open.
func (s *IDs) Claim(id string, now, end time.Time) (idclaims.Claim, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known() {
		return idclaims.Claim{}, ErrUnknown
	}
	if s.table == nil {
		s.unshared++
		return idclaims.Claim{}, nil
	}
	claim, err := s.table.Claim(id, s.milliseconds(now), s.milliseconds(end))
	if err == nil {
		s.shared++
	}
	return claim, err
}

// known reports whether it is known which IDs are open. A process without the file knows only its own. The caller holds
// the lock.
func (s *IDs) known() bool { return s.others == None || s.others == Sharing && s.table != nil }

// Release ends a claim that Claim returned without an error, once its request is no longer open.
func (s *IDs) Release(claim idclaims.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if claim.In(s.table) {
		s.shared--
	} else {
		s.unshared--
	}
	claim.Release()
}

// OpenElsewhere reports whether another process has a request of an ID open, as far as that is shared.
func (s *IDs) OpenElsewhere(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.table.ClaimedByOther(id, s.milliseconds(time.Now()))
}

// Shared reports whether the IDs of all open requests of this process are in the file.
func (s *IDs) Shared() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.unshared == 0
}

// Known reports whether it is known which IDs are open in the other processes, so that IDs can be claimed.
func (s *IDs) Known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known()
}

// ObserveOthers takes the state of the other processes.
func (s *IDs) ObserveOthers(others Others) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.known()
	s.others = others
	if known := s.known(); known != before {
		s.log.Info("open requests of other processes", "known", known)
	}
}

// Refresh maps the file again if it was replaced or removed, as happens to temporary files, or could not be mapped
// before. The open requests of this process are then not in the file. Calls must not overlap.
func (s *IDs) Refresh() {
	if s.file != nil {
		current, err := os.Stat(s.path)
		replaced := errors.Is(err, fs.ErrNotExist) || err == nil && !os.SameFile(current, s.file)
		if !replaced {
			return
		}
		s.file = nil
		s.setTable(nil)
	}
	if time.Now().Before(s.retryAt) {
		return
	}
	table, file, err := openTable(s.path)
	if err != nil {
		s.log.Error("file of open request IDs not usable", "file", s.path, "err", err)
		s.retryAt = time.Now().Add(retryInterval)
		return
	}
	table.Purge(s.milliseconds(time.Now()))
	s.file = file
	s.setTable(table)
}

// setTable replaces the table. Open requests are not in the new one.
func (s *IDs) setTable(table *idclaims.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unshared, s.shared = s.unshared+s.shared, 0
	s.table = table
}

// openTable opens the file, which it creates if necessary, and maps its table.
func openTable(path string) (*idclaims.Table, os.FileInfo, error) {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		if err := createFile(path); err != nil {
			return nil, nil, err
		}
		file, err = os.OpenFile(path, os.O_RDWR, 0)
	}
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = file.Close() }() // a mapping does not need the descriptor
	info, err := file.Stat()
	if err != nil {
		return nil, nil, err
	}
	table, err := mapTable(file, info.Size())
	if err != nil {
		return nil, nil, fmt.Errorf("mapping %s: %w", path, err)
	}
	return table, info, nil
}
