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
	snapshotsDir = "snapshots" // as hashicorp/raft names it

	retainedSnapshots = 2
)

// inspection looks at a member's folder before anything of it is used, and moves away what can not be trusted: a
// snapshot, the log from a damaged entry on, or all of it. Nothing is deleted but log entries that others have.
type inspection struct {
	dir   string
	alone bool // no other member has what is damaged
	lim   limits.Limits
	quiet hclog.Logger
	log   *slog.Logger

	unreadable membership.Position // the end of what the folder had and can not be read any more
	covered    uint64              // entries up to this one are in a good snapshot
	damaged    bool                // a snapshot was moved away
}

// inspectFolder inspects a folder. It returns the end of what the folder had and can not be read any more, as far as
// that is known: the member gets it from the others.
func inspectFolder(dir string, alone bool, lim limits.Limits, quiet hclog.Logger,
	log *slog.Logger) (unreadable membership.Position, err error) {
	in := &inspection{dir: dir, alone: alone, lim: lim, quiet: quiet, log: log}
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
			// Without the votes and the log, a snapshot would be an earlier state under the same identity.
			return in.moveSnapshotsAside()
		}
	}
	if err := in.inspectSnapshots(); err != nil || !exists {
		return err
	}
	return in.inspectLog(path)
}

// moveAside renames a damaged file or directory. A member that is alone does not start instead: nobody has a copy.
func (in *inspection) moveAside(name string, damage error) error {
	if in.alone {
		return errors.Join(&DamagedError{name, "and no other member has what it held"}, damage)
	}
	to := filepath.Join(in.dir, filepath.Base(name)+time.Now().UTC().Format(".damaged-20060102T150405.000000000"))
	in.log.Error("store folder damaged, moving a part aside and copying it from the other members",
		"path", name, "to", to, "err", damage)
	return os.Rename(name, to)
}

// inspectSnapshots reads all snapshots, the newest first.
func (in *inspection) inspectSnapshots() error {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(in.dir, retainedSnapshots, in.quiet)
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
		in.lose(membership.Position{Term: m.Term, Index: m.Index})
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

// lose notes that the folder had entries up to a position.
func (in *inspection) lose(end membership.Position) {
	if in.unreadable.Less(end) {
		in.unreadable = end
	}
}

// inspectLog reads the log's entries and truncates it before a damaged one.
func (in *inspection) inspectLog(path string) error {
	b, err := openLog(path)
	if err != nil {
		return err
	}
	first, last, end, damage := readableEntries(b, in.covered)
	switch {
	case damage != nil && in.alone && last > in.covered:
		in.lose(end)
		err = errors.Join(&DamagedError{path, "and no other member has what it held"}, damage)
	case damage != nil:
		in.lose(end)
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
	// The entries between the remaining snapshot and the log are lost, so that there is no complete state.
	err = in.moveAside(
		path,
		fmt.Errorf("the log begins at entry %d, and what came before it after entry %d can not be read",
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
	return in.moveAside(path, errors.New("the log that belongs to them is damaged"))
}

// openLog opens the log's file. The list of free pages is not stored: with a damaged list, the library would write
// over used pages.
func openLog(path string) (*boltdb.BoltStore, error) {
	return boltdb.New(
		boltdb.Options{Path: path, BoltOptions: &bolt.Options{NoFreelistSync: true, FreelistType: bolt.FreelistMapType}},
	)
}

// verifyPages walks the pages of the log's file in this goroutine, because the library's own check panics in another
// one. Keys out of order are pages in the wrong place.
func verifyPages(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // reading a page past the file's end is a fault
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
		seen := 0
		err := tx.ForEach(func(name []byte, b *bolt.Bucket) error {
			seen++
			var before []byte
			return b.ForEach(func(k, v []byte) error {
				if before != nil && bytes.Compare(before, k) >= 0 {
					return &DamagedError{path, fmt.Sprintf("key %x of %s stands after %x", k, name, before)}
				}
				before = append(before[:0], k...)
				return nil
			})
		})
		if err == nil && seen != 2 && seen != 0 {
			err = &DamagedError{path, fmt.Sprintf("%d tables, expected two", seen)}
		}
		return err
	})
}

// readableEntries reads all entries of a log past those that a snapshot covers. It returns the first one, the last one
// before a damaged one, and the end of the log.
func readableEntries(b *boltdb.BoltStore, covered uint64) (first, last uint64, end membership.Position, why error) {
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
		if why == nil {
			why, last = err, i-1
		}
		end.Index = i
	}
	return first, last, end, why
}
