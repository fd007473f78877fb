package store

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"

	"gatetack/internal/limits"
)

// ErrDamaged reports that a part of a member's folder is corrupt.
var ErrDamaged = errors.New("store: the folder is damaged")

// Verify checks the folder of a member and writes a report: the checksums of each snapshot, the pages of the log file,
// and each log entry. It changes nothing. No node may have the folder open.
func Verify(dir string, lim limits.Limits, w io.Writer) error {
	findings, covered := 0, uint64(0) // entries up to covered are in an intact snapshot
	report := func(what string, err error, format string, args ...any) {
		if err != nil {
			findings++
			_, _ = fmt.Fprintf(w, "BAD   %s: %v\n", what, err)
			return
		}
		_, _ = fmt.Fprintf(w, "good  %s: %s\n", what, fmt.Sprintf(format, args...))
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	metas, err := snaps.List()
	if err != nil {
		return err
	}
	for _, m := range metas {
		values := 0
		_, r, err := snaps.Open(m.ID)
		if err == nil {
			state, rerr := readSnapshot(r, lim)
			if err = errors.Join(rerr, r.Close()); err == nil {
				for _, t := range state.Snapshot().Tables() {
					values += t[0]
				}
				covered = max(covered, m.Index)
			}
		}
		report("snapshot "+m.ID, err, "%d values up to entry %d", values, m.Index)
	}
	path := filepath.Join(dir, logFile)
	err = verifyPages(path)
	report("pages of "+path, err, "all in order")
	if err == nil {
		err = verifyEntries(path, covered, func(index uint64, err error) { report(fmt.Sprintf("entry %d", index), err, "") },
			func(first, last uint64) { report("log", nil, "entries %d to %d", first, last) })
		if err != nil {
			report("log", err, "")
		}
	}
	if findings > 0 {
		return fmt.Errorf("%w: %d findings", ErrDamaged, findings)
	}
	return nil
}

// verifyEntries reads all entries of a log. Unreadable entries that a snapshot covers are permitted, because a restored
// snapshot leaves a gap before the log.
func verifyEntries(
	path string, covered uint64, reportDamaged func(uint64, error), reportRange func(first, last uint64),
) error {
	log, err := boltdb.New(boltdb.Options{Path: path, BoltOptions: nil})
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	first, err := log.FirstIndex()
	if err != nil {
		return err
	}
	last, err := log.LastIndex()
	if err != nil {
		return err
	}
	for i := first; i <= last && i > 0; i++ {
		var l raft.Log
		if err := (&disk{BoltStore: log}).GetLog(i, &l); err != nil {
			if i > covered {
				reportDamaged(i, err)
			}
			continue
		}
		if l.Type == raft.LogCommand {
			if _, err := decodeTxn(l.Data); err != nil {
				reportDamaged(i, err)
			}
		}
	}
	reportRange(first, last)
	return nil
}
