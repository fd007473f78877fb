package store

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	bolt "go.etcd.io/bbolt"

	"gatetack/internal/limits"
)

// Recover bootstraps a store with other members from the folder of a member whose node is down. It is the last resort
// after the permanent loss of a majority of the voters. members has the addresses by name of all members of the new
// store, including this one. Recover first reports what the folder contains and what may be lost. If dry is set it
// changes nothing.
func Recover(dir, name string, members map[string]string, dry bool, lim limits.Limits, w io.Writer) error {
	if members[name] == "" {
		return fmt.Errorf("store: member %q, whose folder this is, is not among those of the store to be", name)
	}
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(name), hclog.NewNullLogger()
	snaps, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, c.Logger)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	path := filepath.Join(dir, logFile)
	log, err := boltdb.New(boltdb.Options{Path: path, BoltOptions: &bolt.Options{Timeout: time.Second}})
	if err != nil {
		return fmt.Errorf("store: %s: is its node still running? %w", path, err)
	}
	defer func() { _ = log.Close() }()
	exists, err := raft.HasExistingState(log, log, snaps)
	if err != nil || !exists {
		return errors.Join(err, fmt.Errorf("store: %s holds nothing to begin from", dir))
	}
	_, trans := raft.NewInmemTransport("")
	defer func() { _ = trans.Close() }()
	previous, err := raft.GetConfiguration(c, newFSM(lim), log, log, snaps, trans)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	last, err := log.LastIndex()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if metas, err := snaps.List(); err == nil && len(metas) > 0 {
		last = max(last, metas[0].Index)
	}
	reportRecovery(w, name, last, otherServers(previous, name), members)
	if dry {
		_, _ = fmt.Fprintln(w, "nothing was changed")
		return nil
	}
	if err := raft.RecoverCluster(c, newFSM(lim), log, log, snaps, trans, raftConfiguration(members)); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	// The folder gets a new identity, so that the watermark and the identities that other members know no longer apply
	// to it: by recovering, the operator accepts the loss of what the folder lacks.
	if err := log.Set([]byte(folderKey), newIdentity()); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	_, _ = fmt.Fprintln(w, "done: start its node")
	return nil
}

// otherServers returns the names of the members of a configuration without one of them, sorted.
func otherServers(c raft.Configuration, name string) []string {
	var others []string
	for _, x := range c.Servers {
		if string(x.ID) != name {
			others = append(others, string(x.ID))
		}
	}
	slices.Sort(others)
	return others
}

// reportRecovery writes what the folder of a member contains and what may be lost by recovering from it.
func reportRecovery(w io.Writer, name string, last uint64, others []string, members map[string]string) {
	_, _ = fmt.Fprintf(w, "the folder of %s holds all up to entry %d\n", name, last)
	_, _ = fmt.Fprintf(w, "lost is whatever the others (%s) acknowledged after entry %d without it; "+
		"what it has and they had not yet acknowledged stands\n", strings.Join(others, ", "), last)
	_, _ = fmt.Fprintf(w, "the members will be %s: "+
		"none of the others may be started again with its folder, or there are two stores\n",
		strings.Join(slices.Sorted(maps.Keys(members)), ", "))
}
