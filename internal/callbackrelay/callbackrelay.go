// Package callbackrelay forwards callbacks between the processes of one node while one replaces the other. Both have
// the same listening socket, and once the old one accepts no connections every callback of an executor reaches the new
// one, the callbacks of the old one's attempts too. A process that gets a callback which is not its own stores it in a
// directory that both share ($TMPDIR), and the other takes it from there. Nothing is stored while only one process
// runs.
//
// A Relay's scans, and the state that they keep, belong to the goroutine of Run; Forward may be called by any.
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

// Names of files in the directory. Processes of two versions of the program share it, so they can not change.
const (
	markerPrefix   = "p" // p<pid>, empty: a process of the node runs
	callbackPrefix = "c" // c<pid>-..., a callback that the process pid stored for another
	legacyTemp     = ".part"
)

const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// Relay is one process's end.
type Relay struct {
	files    Directory
	dir      string
	pid      int
	name     string // begins the names of this process's callbacks; a later process with the same pid has another
	sequence atomic.Uint64
	interval time.Duration // between scans of the directory
	ttl      time.Duration // a callback that nobody took is removed after it
	log      *slog.Logger

	firstSeen map[string]time.Time // of Run alone: file names, by the monotonic clock
	failing   bool                 // of Run alone: the last scan failed
}

// New returns a relay over a directory, which Run creates. The directory need not be usable yet.
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

// Register marks this process as running. Where that fails the node serves all the same, and Run tries again: until
// then the other process stores nothing for this one.
func (r *Relay) Register() error {
	if err := r.files.MkdirAll(r.dir, directoryMode); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := atomicfile.Write(r.files, r.marker(), nil, fileMode); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Close marks this process as no longer running.
func (r *Relay) Close() error { return r.files.Remove(r.marker()) }

func (r *Relay) marker() string { return filepath.Join(r.dir, markerPrefix+strconv.Itoa(r.pid)) }

// othersRunning reports whether another process of the node runs. It removes the markers of processes that are gone.
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

// Forward stores a callback that is not this process's for another process of the node, and reports whether one runs.
// Its error is a NotStoredError: a process that the callback may belong to runs, or it is not known that none does, and
// the callback is not on disk.
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

// Run takes what other processes stored until the context ends. take reports whether a callback was this process's.
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

// logScan logs that scans begin to fail, and that they work again.
func (r *Relay) logScan(err error) {
	switch {
	case err != nil && !r.failing:
		r.log.Error("callback directory not usable", "dir", r.dir, operr.Attrs(err))
	case err == nil && r.failing:
		r.log.Info("callback directory usable again", "dir", r.dir)
	}
	r.failing = err != nil
}

// scan looks at all files once. A process without a marker, for the directory was not usable or was emptied, gets one.
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

// handleFile has a callback of another process taken, and reports whether the file is still to be looked at. Age counts
// from when this process first saw the file: a file's own time follows the wall clock, which may be stepped past the
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

// isCallback reports whether a name is that of a whole callback, and not of one that is being written.
func isCallback(name string) bool {
	return strings.HasPrefix(name, callbackPrefix) && !strings.HasSuffix(name, legacyTemp)
}
