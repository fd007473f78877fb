package callbackrelay

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"

	"gatetack/internal/atomicfile"
)

// marker is the content of the file p<pid> of a running process. Programs before version 0.4 write an empty file, which
// stands for the zero value.
type marker struct {
	Node       string // name of the node; "" if unknown
	StartTicks uint64 // when the process with this pid started, in ticks since the machine's start; 0 if unknown
	SharesIDs  bool   // the other processes can see the IDs of all its open requests
}

// markerFormat is the format of a marker's content, with a verb for each field.
const markerFormat = "node=%q start=%d shares=%t\n"

func (m marker) encode() []byte {
	return fmt.Appendf(nil, markerFormat, m.Node, m.StartTicks, m.SharesIDs)
}

// decodeMarker returns the zero value for any other content, since the least is known of its process.
func decodeMarker(content []byte) marker {
	var m marker
	_, err := fmt.Sscanf(string(content), markerFormat, &m.Node, &m.StartTicks, &m.SharesIDs)
	if err != nil || !bytes.Equal(m.encode(), content) { // Sscanf also accepts other forms
		return marker{}
	}
	return m
}

// startTicks returns when a process started, in ticks since the machine's start, or 0 if that cannot be read. Together
// with its pid it identifies a process, because a pid can be used again.
func startTicks(pid int) uint64 {
	stat, err := processStat(pid)
	if err != nil {
		return 0
	}
	return stat.Starttime
}

func processStat(pid int) (procfs.ProcStat, error) {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return procfs.ProcStat{}, err
	}
	return process.Stat()
}

// zombie is the state of a process that has ended and that its parent has not waited for.
const zombie = "Z"

// isRunning reports whether the process that wrote a marker is still running, as far as that can be told.
func (m marker) isRunning(pid int) bool {
	if errors.Is(unix.Kill(pid, 0), syscall.ESRCH) {
		return false
	}
	stat, err := processStat(pid)
	if err != nil {
		return true
	}
	return stat.State != zombie && (m.StartTicks == 0 || m.StartTicks == stat.Starttime)
}

// markerFile is a marker with the name of its file.
type markerFile struct {
	marker
	file string
}

// Others is what the markers tell about the other processes of this node.
type Others struct {
	Running  int  // number of those that are running
	ShareIDs bool // all of them share the IDs of their open requests; also true if none is running

	uncertain []markerFile // of those that do not
}

// Register writes the marker that this process is running. If it fails, the node serves nevertheless and Run tries
// again; until then the other process stores nothing for this one.
func (r *Relay) Register() error {
	if err := r.files.MkdirAll(r.dir, directoryMode); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	current := r.currentMarker()
	if err := atomicfile.Write(r.files, r.marker(), current.encode(), fileMode); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	r.registered = current
	return nil
}

// currentMarker returns the content that this process's marker should have.
func (r *Relay) currentMarker() marker {
	return marker{Node: r.node, StartTicks: r.startTicks, SharesIDs: r.ids.Shared()}
}

// Close removes the marker that this process is running.
func (r *Relay) Close() error { return r.files.Remove(r.marker()) }

func (r *Relay) marker() string { return filepath.Join(r.dir, markerPrefix+strconv.Itoa(r.pid)) }

// others reads the markers of the other processes. It removes those of processes that have ended.
func (r *Relay) others(entries []fs.DirEntry) Others {
	others := Others{ShareIDs: true}
	for _, entry := range entries {
		pid, err := strconv.Atoi(strings.TrimPrefix(entry.Name(), markerPrefix))
		if err != nil || pid == r.pid || !strings.HasPrefix(entry.Name(), markerPrefix) {
			continue
		}
		path := filepath.Join(r.dir, entry.Name())
		content, err := r.files.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue // its process has just ended
		}
		m := decodeMarker(content)
		if !m.isRunning(pid) {
			_ = r.files.Remove(path)
			continue
		}
		if m.Node != "" && m.Node != r.node {
			continue // another node has the same directory for temporary files
		}
		others.Running++
		if !m.SharesIDs {
			others.ShareIDs = false
			others.uncertain = append(others.uncertain, markerFile{m, entry.Name()})
		}
	}
	return others
}

// observeOthers reports what a scan found. A process whose open requests are not known counts as one without any after
// ReplaceTimeout: by then the platform has ended it. If it is not even known when it started, its marker is taken to
// have outlived it, and its pid to belong to an unrelated process.
func (r *Relay) observeOthers(others Others, now time.Time) {
	since := map[string]time.Time{}
	others.ShareIDs = true
	for _, marker := range others.uncertain {
		first, seen := r.uncertainSince[marker.file]
		if !seen {
			first = now
		}
		since[marker.file] = first
		switch {
		case now.Sub(first) < r.limits.ReplaceTimeout:
			others.ShareIDs = false
		case marker.StartTicks == 0:
			others.Running--
		}
	}
	r.uncertainSince = since
	r.ids.ObserveOthers(others)
}
