// Package callbackrelay forwards callbacks between the processes of one node while one replaces the other. Both
// processes have the same listening socket. Once the old process accepts no connections, all callbacks of executors
// reach the new process, including those for attempts of the old one. A process that receives a callback for an
// attempt that it does not know stores it in a directory that both share ($TMPDIR), from which the other process takes
// it. Nothing is stored while only one process runs.
//
// A Relay's scans and their state belong to the goroutine of Run; Forward is safe for concurrent use.
package callbackrelay

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gatetack/internal/atomicfile"
	"gatetack/internal/operr"
)

// Prefixes and suffixes of file names in the directory. Processes of two versions of the program share the directory,
// so these must not change.
const (
	markerPrefix   = "p" // p<pid>, empty: a process of the node is running
	callbackPrefix = "c" // c<pid>-...: a callback that the process with that pid stored for another one
	legacyTemp     = ".part"
)

const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// Relay forwards callbacks to, and takes callbacks from, the other processes of the node.
type Relay struct {
	files    Directory
	dir      string
	pid      int
	name     string // prefix of the names of this process's callbacks; unique even if a later process has the same pid
	sequence atomic.Uint64
	interval time.Duration // between scans of the directory
	ttl      time.Duration // a stored callback that no process takes is deleted after it
	log      *slog.Logger

	firstSeen map[string]time.Time // by file name, on the monotonic clock; used by Run only
	failing   bool                 // whether the last scan failed; used by Run only
}

// New returns a relay for a directory. The directory is created when needed, and need not be usable yet.
func New(dir string, interval, ttl time.Duration, log *slog.Logger) *Relay {
	return newRelay(osDirectory{atomicfile.OS}, dir, os.Getpid(), interval, ttl, log)
}

func newRelay(files Directory, dir string, pid int, interval, ttl time.Duration, log *slog.Logger) *Relay {
	name := fmt.Sprintf("%s%d-%x-", callbackPrefix, pid, rand.Uint64())
	return &Relay{
		files:     files,
		dir:       dir,
		pid:       pid,
		name:      name,
		interval:  interval,
		ttl:       ttl,
		log:       log,
		firstSeen: map[string]time.Time{},
	}
}

// Register creates the marker that this process is running. If it fails, the node serves nevertheless and Run tries
// again; until then the other process stores nothing for this one.
func (r *Relay) Register() error {
	if err := r.files.MkdirAll(r.dir, directoryMode); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := atomicfile.Write(r.files, r.marker(), nil, fileMode); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Close removes the marker that this process is running.
func (r *Relay) Close() error { return r.files.Remove(r.marker()) }

func (r *Relay) marker() string { return filepath.Join(r.dir, markerPrefix+strconv.Itoa(r.pid)) }

// othersRunning reports whether another process of the node is running. It removes the markers of processes that have
// ended.
func (r *Relay) othersRunning() (bool, error) {
	entries, err := r.files.ReadDir(r.dir)
	if err != nil {
		return false, err
	}
	running := false
	for _, entry := range entries {
		pid, err := strconv.Atoi(strings.TrimPrefix(entry.Name(), markerPrefix))
		if err != nil || pid == r.pid || !strings.HasPrefix(entry.Name(), markerPrefix) {
			continue
		}
		if errors.Is(unix.Kill(pid, 0), syscall.ESRCH) {
			_ = r.files.Remove(filepath.Join(r.dir, entry.Name()))
			continue
		}
		running = true
	}
	return running, nil
}

// Forward stores a callback that this process does not know for another process of the node, and reports whether one
// is running. Its error is a NotStoredError: another process, to which the callback may belong, is running or may be
// running, and the callback was not stored.
func (r *Relay) Forward(body []byte) (bool, error) {
	running, err := r.othersRunning()
	if err != nil {
		return false, &NotStoredError{err}
	}
	if !running {
		return false, nil
	}
	path := filepath.Join(r.dir, r.name+strconv.FormatUint(r.sequence.Add(1), 10))
	if err := atomicfile.Write(r.files, path, body, fileMode); err != nil {
		return false, &NotStoredError{err}
	}
	return true, nil
}

// Run takes callbacks that other processes stored until the context ends. take reports whether a callback belongs to
// this process.
func (r *Relay) Run(ctx context.Context, take func(body []byte) bool) error {
	tick := time.NewTicker(r.interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		r.logScan(r.scan(take))
	}
}

// logScan logs when scans start to fail and when they succeed again.
func (r *Relay) logScan(err error) {
	switch {
	case err != nil && !r.failing:
		r.log.Error("callback directory not usable", "dir", r.dir, operr.Attrs(err))
	case err == nil && r.failing:
		r.log.Info("callback directory usable again", "dir", r.dir)
	}
	r.failing = err != nil
}

// scan handles all files in the directory once. It registers the process again if its marker is missing, because the
// directory was not usable or was emptied.
func (r *Relay) scan(take func(body []byte) bool) error {
	entries, err := r.files.ReadDir(r.dir)
	if errors.Is(err, fs.ErrNotExist) {
		return r.Register()
	}
	if err != nil {
		return err
	}
	registered, present := false, map[string]time.Time{}
	for _, entry := range entries {
		if entry.Name() == filepath.Base(r.marker()) {
			registered = true
			continue
		}
		if r.handleFile(entry.Name(), take) {
			present[entry.Name()] = r.firstSeen[entry.Name()]
		}
	}
	r.firstSeen = present
	if !registered {
		return r.Register()
	}
	return nil
}

// handleFile passes a callback of another process to take, and reports whether the file remains. A file's age counts
// from when this process first saw it: the file's own time follows the wall clock, of which a step could exceed the
// TTL.
func (r *Relay) handleFile(name string, take func(body []byte) bool) bool {
	if !strings.HasPrefix(name, callbackPrefix) && !strings.HasPrefix(name, atomicfile.TempPrefix) {
		return false
	}
	path := filepath.Join(r.dir, name)
	if isCallback(name) && !strings.HasPrefix(name, r.name) {
		if body, err := r.files.ReadFile(path); err == nil && take(body) {
			return r.files.Remove(path) != nil
		}
	}
	now := time.Now()
	seen, known := r.firstSeen[name]
	if !known {
		r.firstSeen[name] = now
		return true
	}
	if now.Sub(seen) <= r.ttl {
		return true
	}
	return r.files.Remove(path) != nil
}

// isCallback reports whether a name is that of a complete callback, as opposed to one that is being written.
func isCallback(name string) bool {
	return strings.HasPrefix(name, callbackPrefix) && !strings.HasSuffix(name, legacyTemp)
}
