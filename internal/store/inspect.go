package store

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"gatetack/internal/limits"
	"gatetack/internal/membership"
)

// Names in a member's folder.
const (
	logFile      = "raft.db"
	snapshotsDir = "snapshots" // hashicorp/raft uses this name

	retainedSnapshots = 2
)

// inspection checks a member's folder before it is used. It moves aside what is corrupt: a snapshot, the log, or both.
// A log is truncated before a corrupt entry. Only log entries that other members have are deleted.
type inspection struct {
	dir        string
	soleMember bool // the store has one member: there is no other copy
	lim        limits.Limits
	raftLog    hclog.Logger
	log        *slog.Logger

	unreadable membership.Position // the last position that was in the folder and cannot be read
	covered    uint64              // entries up to this one are in an intact snapshot
	damaged    bool                // a snapshot was moved aside
}

// inspectFolder inspects a folder. It returns the last position, as far as it is known, that was in the folder and
// cannot be read; the member receives these entries from the others.
func inspectFolder(dir string, soleMember bool, lim limits.Limits, raftLog hclog.Logger,
	log *slog.Logger) (unreadable membership.Position, err error) {
	in := &inspection{dir: dir, soleMember: soleMember, lim: lim, raftLog: raftLog, log: log}
	err = in.run()
	return in.unreadable, err
}

func (in *inspection) run() error {
	path := filepath.Join(in.dir, logFile)
	_, err := os.Stat(path)
	exists := err == nil
	if exists {
		if damage := verifyPages(path); damage != nil {
			if err := in.moveAside(path, damage); err != nil {
				return err
			}
			// Without the votes and the log, the member would start from an earlier state under the same identity.
			return in.moveSnapshotsAside()
		}
	}
	if err := in.inspectSnapshots(); err != nil || !exists {
		return err
	}
	return in.inspectLog(path)
}

// moveAside renames a corrupt file or directory. For the only member of a store it returns an error instead, because no
// other member has a copy.
func (in *inspection) moveAside(name string, damage error) error {
	if in.soleMember {
		return errors.Join(&DamagedError{name, "no other member has a copy"}, damage)
	}
	to := filepath.Join(in.dir, filepath.Base(name)+time.Now().UTC().Format(".damaged-20060102T150405.000000000"))
	in.log.Error("store folder damaged, moving a part aside and copying it from the other members",
		"path", name, "to", to, "err", damage)
	return os.Rename(name, to)
}

// inspectSnapshots reads all snapshots, the latest first, and moves corrupt ones aside.
func (in *inspection) inspectSnapshots() error {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(in.dir, retainedSnapshots, in.raftLog)
	if err != nil {
		return err
	}
	metas, err := snapshots.List()
	if err != nil {
		return err
	}
	for _, m := range metas {
		damage := in.readSnapshot(snapshots, m.ID)
		if damage == nil {
			in.covered = max(in.covered, m.Index)
			continue
		}
		in.noteUnreadable(membership.Position{Term: m.Term, Index: m.Index})
		in.damaged = true
		if err := in.moveAside(filepath.Join(in.dir, snapshotsDir, m.ID), damage); err != nil {
			return err
		}
	}
	return nil
}

func (in *inspection) readSnapshot(snapshots raft.SnapshotStore, id string) error {
	_, r, err := snapshots.Open(id)
	if err != nil {
		return err
	}
	_, err = readSnapshot(r, in.lim)
	return errors.Join(err, r.Close())
}

// noteUnreadable records that the folder contained entries up to a position.
func (in *inspection) noteUnreadable(end membership.Position) {
	if in.unreadable.Less(end) {
		in.unreadable = end
	}
}

// inspectLog reads the entries of the log and truncates it before a corrupt one.
func (in *inspection) inspectLog(path string) error {
	b, err := openLog(path)
	if err != nil {
		return err
	}
	first, last, end, damage := readableEntries(b, in.covered)
	switch {
	case damage != nil && in.soleMember && last > in.covered:
		in.noteUnreadable(end)
		err = errors.Join(&DamagedError{path, "no other member has a copy"}, damage)
	case damage != nil:
		in.noteUnreadable(end)
		in.log.Error("store log damaged, truncating it and copying entries from the other members",
			"last", last, "end", end, "err", damage)
		err = b.DeleteRange(last+1, end.Index)
	}
	if err = errors.Join(err, b.Close()); err != nil {
		return err
	}
	if first <= in.covered+1 || !in.damaged && in.covered > 0 {
		return nil
	}
	// Entries between the remaining snapshot and the log are missing, so that the state cannot be rebuilt.
	err = in.moveAside(
		path,
		fmt.Errorf("the log begins at entry %d, and the entries before it after entry %d cannot be read",
			first, in.covered),
	)
	if err != nil {
		return err
	}
	return in.moveSnapshotsAside()
}

// moveSnapshotsAside moves all snapshots aside.
func (in *inspection) moveSnapshotsAside() error {
	path := filepath.Join(in.dir, snapshotsDir)
	if _, err := os.Stat(path); err != nil {
		return nil
	}
	return in.moveAside(path, errors.New("the log of these snapshots is damaged"))
}

// openLog opens the log file. The list of free pages is not stored in it, because bbolt would overwrite used pages if
// that list were corrupt.
func openLog(path string) (*boltdb.BoltStore, error) {
	return boltdb.New(
		boltdb.Options{Path: path, BoltOptions: &bolt.Options{NoFreelistSync: true, FreelistType: bolt.FreelistMapType}},
	)
}

// verifyPages reads all pages of the log file in the goroutine of the caller, because the check that bbolt provides
// runs in another goroutine, whose panics cannot be recovered. Keys out of order indicate misplaced pages.
func verifyPages(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // reading a page beyond the end of the file is a memory fault
	defer func() {
		if p := recover(); p != nil {
			err = &DamagedError{path, fmt.Sprint(p)}
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true, Timeout: time.Second})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil // another process has it open, which openLog reports
	}
	if err != nil {
		return &DamagedError{path, err.Error()}
	}
	defer func() { _ = db.Close() }()
	return db.View(func(tx *bolt.Tx) error {
		buckets := 0
		err := tx.ForEach(func(name []byte, b *bolt.Bucket) error {
			buckets++
			var previous []byte
			return b.ForEach(func(k, v []byte) error {
				if previous != nil && bytes.Compare(previous, k) >= 0 {
					return &DamagedError{path, fmt.Sprintf("key %x of %s follows %x", k, name, previous)}
				}
				previous = append(previous[:0], k...)
				return nil
			})
		})
		if err == nil && buckets != 2 && buckets != 0 {
			err = &DamagedError{path, fmt.Sprintf("%d buckets, expected two", buckets)}
		}
		return err
	})
}

// readableEntries reads all entries of a log. Entries that a snapshot covers may be missing. It returns the first
// entry, the last one before a corrupt one, the end of the log, and the error of the corrupt entry.
func readableEntries(b *boltdb.BoltStore, covered uint64) (first, last uint64, end membership.Position, damage error) {
	d := &disk{BoltStore: b}
	first, err := b.FirstIndex()
	if err != nil {
		return 0, 0, end, err
	}
	to, err := b.LastIndex()
	if err != nil {
		return 0, 0, end, err
	}
	last = to
	for i := first; i <= to && i > 0; i++ {
		var l raft.Log
		err := d.GetLog(i, &l)
		if err == nil {
			end = membership.Position{Term: max(end.Term, l.Term), Index: i}
			continue
		}
		if i <= covered && errors.Is(err, raft.ErrLogNotFound) {
			continue
		}
		if damage == nil {
			damage, last = err, i-1
		}
		end.Index = i
	}
	return first, last, end, damage
}
