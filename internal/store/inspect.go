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

// inspectFolder looks at a member's folder before anything of it is used, and takes out what can not be trusted: a snapshot, the log
// from a bad entry on, or all of it. What is taken out is put aside, not deleted. It says how far the log had gone, as far as
// that can still be read: the member has forgotten that, and gets it from the others.
func inspectFolder(dir string, alone bool, lim limits.Limits, quiet hclog.Logger, log *slog.Logger) (lost membership.Position, err error) {
	path := filepath.Join(dir, "raft.db")
	aside := func(name string, why error) error {
		to := filepath.Join(dir, filepath.Base(name)+time.Now().UTC().Format(".damaged-20060102T150405.000000000"))
		if alone {
			return errors.Join(&DamagedError{name, "and no other member has what it held"}, why)
		}
		log.Error("store: damage was found in this member's folder; it is put aside, and what it held is copied from the others",
			"what", name, "why", why, "to", to)
		return os.Rename(name, to)
	}
	if _, err := os.Stat(path); err == nil {
		if why := verifyPages(path); why != nil {
			if err := aside(path, why); err != nil {
				return lost, err
			}
			// Snapshots without the votes and the log that followed them would begin an earlier state of this identity.
			return lost, wipeSnapshots(dir, aside)
		}
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(dir, 2, quiet)
	if err != nil {
		return lost, err
	}
	metas, err := snaps.List()
	if err != nil {
		return lost, err
	}
	covered := uint64(0)
	bad := false
	for _, m := range metas { // the newest first
		_, r, err := snaps.Open(m.ID)
		if err == nil {
			_, rerr := readSnapshot(r, lim)
			err = errors.Join(rerr, r.Close())
		}
		if err != nil {
			if p := (membership.Position{Term: m.Term, Index: m.Index}); lost.Less(p) {
				lost = p
			}
			bad = true
			if err := aside(filepath.Join(dir, "snapshots", m.ID), err); err != nil {
				return lost, err
			}
			continue
		}
		covered = max(covered, m.Index)
	}
	if _, err := os.Stat(path); err != nil {
		return lost, nil
	}
	b, err := openLog(path)
	if err != nil {
		return lost, err
	}
	first, last, end, why := readableEntries(b, covered)
	if lost.Less(end) && why != nil {
		lost = end
	}
	switch {
	case why != nil && alone && last > covered:
		err = errors.Join(&DamagedError{path, "and no other member has what it held"}, why)
	case why != nil:
		log.Error("store: entries of the log are damaged: it is cut off before them, and they are copied from the others", "why", why,
			"left", last, "held", end)
		err = b.DeleteRange(last+1, end.Index)
	}
	err = errors.Join(err, b.Close())
	if err != nil {
		return lost, err
	}
	if first > covered+1 && (bad || covered == 0) {
		// What stood between the snapshot that is left and the log is gone: nothing here makes a state.
		if err := aside(path, fmt.Errorf("the log begins at entry %d, and what came before it after entry %d can not be read", first, covered)); err != nil {
			return lost, err
		}
		return lost, wipeSnapshots(dir, aside)
	}
	return lost, nil
}

// wipeSnapshots puts all snapshots aside.
func wipeSnapshots(dir string, aside func(string, error) error) error {
	at := filepath.Join(dir, "snapshots")
	if _, err := os.Stat(at); err != nil {
		return nil
	}
	return aside(at, errors.New("the log that belongs to them is damaged"))
}

// openLog opens the log's file. Which of its pages are free is not kept in it: a damaged list of them would have the library
// write over what is used.
func openLog(path string) (*boltdb.BoltStore, error) {
	return boltdb.New(boltdb.Options{Path: path, BoltOptions: &bolt.Options{NoFreelistSync: true, FreelistType: bolt.FreelistMapType}})
}

// verifyPages walks all that stands in the log's file, in this goroutine: the library's own check panics in one of its own. Keys that
// are out of order are pages that are not where they belong.
func verifyPages(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a page that would be past the file's end is none of its memory
	defer func() {
		if p := recover(); p != nil {
			err = &DamagedError{path, fmt.Sprint(p)}
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true, Timeout: time.Second})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil // another process has it open: that is for the opening to say
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

// readableEntries reads all entries of a log past those that a snapshot covers. It says which are first and the last before a damaged
// one, and how far the log had gone.
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
