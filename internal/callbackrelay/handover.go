// Package callbackrelay carries callbacks between the processes of one node while one replaces the other. Both stand on
// the same listening socket, and once the old one takes no connections every callback of an executor reaches the
// new one, the callbacks of the old one's attempts too. A process that gets a callback which is not its own leaves
// it in the directory they share ($TMPDIR), and the other takes it from there; nothing is written while a process
// stands alone.
package callbackrelay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Relay is one process's end. Files are named p<pid> (a process stands here) and c<pid>-<n> (a callback that pid
// left for another).
type Relay struct {
	dir   string
	pid   int
	seq   atomic.Uint64
	every time.Duration // between looks at the directory
	stale time.Duration // a callback nobody took is removed after it
	log   *slog.Logger
}

// Open marks this process as present in dir, which it makes if need be.
func Open(dir string, every, stale time.Duration, log *slog.Logger) (*Relay, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	r := &Relay{dir: dir, pid: os.Getpid(), every: every, stale: stale, log: log}
	if err := os.WriteFile(r.path("p", r.pid, ""), nil, 0o600); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return r, nil
}

func (r *Relay) path(kind string, pid int, rest string) string {
	return filepath.Join(r.dir, kind+strconv.Itoa(pid)+rest)
}

// Close says that this process stands here no longer.
func (r *Relay) Close() error { return os.Remove(r.path("p", r.pid, "")) }

// others says whether another process of the node stands here. A marker of a process that is gone is removed.
func (r *Relay) others() bool {
	names, _ := filepath.Glob(filepath.Join(r.dir, "p*"))
	found := false
	for _, name := range names {
		pid, err := strconv.Atoi(strings.TrimPrefix(filepath.Base(name), "p"))
		if err != nil || pid == r.pid {
			continue
		}
		if errors.Is(unix.Kill(pid, 0), syscall.ESRCH) {
			_ = os.Remove(name)
			continue
		}
		found = true
	}
	return found
}

// Pass leaves a callback that is not this process's for another process of the node, and says whether one stands
// here to take it. It is written whole under another name first, so that no reader sees a part.
func (r *Relay) Pass(body []byte) bool {
	if !r.others() {
		return false
	}
	name := r.path("c", r.pid, "-"+strconv.FormatUint(r.seq.Add(1), 10))
	if err := os.WriteFile(name+".part", body, 0o600); err != nil {
		r.log.Warn("handover: a callback could not be left", "err", err)
		return false
	}
	if err := os.Rename(name+".part", name); err != nil {
		r.log.Warn("handover: a callback could not be left", "err", err)
		return false
	}
	return true
}

// Run takes, until ctx ends, what other processes left; take says whether a callback was this process's. What nobody
// takes is removed once stale.
func (r *Relay) Run(ctx context.Context, take func(body []byte) bool) error {
	tick := time.NewTicker(r.every)
	defer tick.Stop()
	mine := "c" + strconv.Itoa(r.pid) + "-"
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		names, _ := filepath.Glob(filepath.Join(r.dir, "c*"))
		for _, name := range names {
			base := filepath.Base(name)
			if strings.HasSuffix(base, ".part") {
				continue
			}
			if !strings.HasPrefix(base, mine) {
				if body, err := os.ReadFile(name); err == nil && take(body) {
					_ = os.Remove(name)
					continue
				}
			}
			if info, err := os.Stat(name); err == nil && time.Since(info.ModTime()) > r.stale {
				_ = os.Remove(name)
			}
		}
	}
}
