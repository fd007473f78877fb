// Package callbackrelay forwards callbacks between the processes of one node while one replaces the other. Both
// processes have the same listening socket. Once the old process accepts no connections, all callbacks of executors
// reach the new process, including those for attempts of the old one. A process that receives a callback for an
// attempt that it does not know stores it in a directory that both share ($TMPDIR), from which the other process takes
// it. Nothing is stored while only one process runs, and what is stored at a time is bounded: files in the directory
// count as memory of the node.
//
// Each process has a marker in the directory, which tells the others that it is running and whether they can see which
// requests it has open.
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
	"time"

	"gatetack/internal/atomicfile"
	"gatetack/internal/operr"
)

// Prefixes and suffixes of file names in the directory. Processes of two versions of the program share the directory,
// so these must not change.
const (
	markerPrefix   = "p" // p<pid>: a process of the node is running
	callbackPrefix = "c" // c<pid>-...: a callback that the process with that pid stored for another one
	legacyTemp     = ".part"
)

const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// Relay forwards callbacks to, and takes callbacks from, the other processes of the node.
type Relay struct {
	files      Directory
	dir        string
	node       string // name of the node
	pid        int
	startTicks uint64 // of this process
	name       string // prefix of the names of this process's callbacks; unique even if a later process has the same pid
	sequence   atomic.Uint64
	limits     Limits
	ids        OpenIDs
	log        *slog.Logger
	stored     storedBytes // of callbacks that this process stored and that are still in the directory

	// Used by Start and Run only.
	firstSeen      map[string]time.Time // by file name, on the monotonic clock
	uncertainSince map[string]time.Time // by name of a marker; see observeOthers
	registered     marker               // as last written
	startedAt      time.Time
	scanned        bool // a scan has succeeded
	failing        bool // whether the last scan failed
}

// Limits bound a relay.
type Limits struct {
	Interval       time.Duration // between scans of the directory
	TTL            time.Duration // a stored callback that no process takes is deleted after it
	ReplaceTimeout time.Duration // by which the process that is replaced has ended
	StoredBytes    int           // of the callbacks that one process has stored at a time
	StoredFiles    int           // number of these callbacks
}

// OpenIDs are the IDs of the open requests of this node's processes. Its methods are safe for concurrent use.
type OpenIDs interface {
	// Shared reports whether the other processes can see the IDs of all open requests of this one.
	Shared() bool
	// OpenElsewhere reports whether another process has a request of an ID open, as far as that can be seen.
	OpenElsewhere(id string) bool
	// ObserveOthers takes what is known of the other processes, after each scan.
	ObserveOthers(Others)
}

// New returns a relay of a node for a directory. The directory is created when needed, and need not be usable yet.
func New(dir, node string, limits Limits, ids OpenIDs, log *slog.Logger) *Relay {
	r := newRelay(osDirectory{atomicfile.OS}, dir, os.Getpid(), limits, ids, log)
	r.node = node
	return r
}

func newRelay(files Directory, dir string, pid int, limits Limits, ids OpenIDs, log *slog.Logger) *Relay {
	name := fmt.Sprintf("%s%d-%x-", callbackPrefix, pid, rand.Uint64())
	return &Relay{
		files:      files,
		dir:        dir,
		pid:        pid,
		startTicks: startTicks(pid),
		name:       name,
		limits:     limits,
		ids:        ids,
		log:        log,
		firstSeen:  map[string]time.Time{},
	}
}

// Start makes the first scan and registers the process, so that its first request is accepted knowing the other
// processes. If Start fails, the node serves nevertheless and Run tries again.
func (r *Relay) Start(take func(body []byte) bool) error {
	r.startedAt = time.Now()
	err := r.scan(take)
	r.logScan(err)
	if err != nil {
		r.ids.ObserveOthers(Others{Running: 1})
	}
	return err
}

// Forward stores a callback that this process does not know for another process of the node, and reports whether it
// did. It does if the request of this ID is open in another process, or may be. Its error is a NotStoredError: the
// callback may belong to another process, and was not stored.
func (r *Relay) Forward(id string, body []byte) (bool, error) {
	if !r.ids.OpenElsewhere(id) {
		entries, err := r.files.ReadDir(r.dir)
		if err != nil {
			return false, &NotStoredError{err}
		}
		if r.others(entries).ShareIDs {
			return false, nil // no process has the request open
		}
	}
	name := r.name + strconv.FormatUint(r.sequence.Add(1), 10)
	if !r.stored.reserve(name, len(body), r.limits) {
		return false, &NotStoredError{errStoredLimit}
	}
	if err := atomicfile.Write(r.files, filepath.Join(r.dir, name), body, fileMode); err != nil {
		r.stored.release(name)
		return false, &NotStoredError{err}
	}
	r.stored.wrote(name)
	return true, nil
}

// Run takes callbacks that other processes stored until the context ends. take reports whether a callback belongs to
// this process.
func (r *Relay) Run(ctx context.Context, take func(body []byte) bool) error {
	tick := time.NewTicker(r.limits.Interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		err := r.scan(take)
		r.logScan(err)
		if err != nil && !r.scanned && time.Since(r.startedAt) >= r.limits.ReplaceTimeout {
			r.ids.ObserveOthers(Others{ShareIDs: true}) // a process that was running at the start has ended by now
		}
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
// directory was not usable or was emptied, or if its content has changed.
func (r *Relay) scan(take func(body []byte) bool) error {
	entries, err := r.files.ReadDir(r.dir)
	if errors.Is(err, fs.ErrNotExist) {
		entries, err = nil, nil // nobody has registered
	}
	if err != nil {
		return err
	}
	r.scanned = true
	r.observeOthers(r.others(entries), time.Now())
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
	r.stored.keep(present)
	if !registered || r.registered != r.currentMarker() {
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
	if now.Sub(seen) <= r.limits.TTL {
		return true
	}
	return r.files.Remove(path) != nil
}

// isCallback reports whether a name is that of a complete callback, as opposed to one that is being written.
func isCallback(name string) bool {
	return strings.HasPrefix(name, callbackPrefix) && !strings.HasSuffix(name, legacyTemp)
}
