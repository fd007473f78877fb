package inventory

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"gatetack/internal/kv"
)

// Store is this node's member of the replicated store, through which the nodes share one inventory.
type Store interface {
	// CatchUp returns once this member has applied all transactions that were committed before the call.
	CatchUp(ctx context.Context) error
	// View returns the state of this member, which may be stale before CatchUp.
	View() *kv.View
	// Recovered returns the state that this member's folder holds, which includes entries that may not be committed.
	Recovered() *kv.View
	// Txn commits a transaction.
	Txn(ctx context.Context, t *kv.Txn) (*kv.Result, error)
}

// stored is what a state of the store holds for one node.
type stored struct {
	accepted
	file        mergedFile // of the node, if hasFile is set
	hasFile     bool
	fileVersion uint64
}

// readStored reads the inventory, and the merged contents of a node's file, from a state of the store.
func readStored(view *kv.View, node string) stored {
	out := stored{accepted: accept(view.History(storeTable, storeKey))}
	entry, ok := view.Get(storeTable, fileKeyPrefix+node)
	if !ok {
		return out
	}
	out.fileVersion = entry.Version
	file, err := decodeFile(entry.Value)
	out.file, out.hasFile = file, err == nil
	return out
}

// versions are the versions of the entries that readStored reads, 0 for an absent one.
type versions struct{ inventory, file uint64 }

func readVersions(view *kv.View, node string) (out versions) {
	if entry, ok := view.Get(storeTable, storeKey); ok {
		out.inventory = entry.Version
	}
	if entry, ok := view.Get(storeTable, fileKeyPrefix+node); ok {
		out.file = entry.Version
	}
	return out
}

// proposal is what a node wants the shared inventory to include.
type proposal struct {
	first   []row  // contents of the file when the process first read it
	file    []row  // contents now
	basedOn uint64 // serial number of the shared inventory that the node had when the file changed
	inForce []row  // rows that the node uses, with which the shared inventory begins if there is none
}

// change returns the change of the file according to the store. Without a record of the node's file the contents at the
// start of the process are not a change: nothing shows that they are newer than the shared inventory.
func (p proposal) change(s stored) fileChange {
	change := fileChange{previous: p.first, current: p.file, basedOn: p.basedOn}
	if s.hasFile {
		change.previous, change.mergedIn = s.file.rows, s.file.mergedIn
	}
	return change
}

// plan returns the operations that bring a proposal into the store, none if the store includes it, and the parts of the
// change that do not take effect. Each operation is conditional on the version that was read.
func (p proposal) plan(s stored, node string, nowMs int64) (ops []kv.Op, conflicts []conflict, err error) {
	next, write := withSerial(listOf(p.inForce), sharedList{}), true
	file := mergedFile{rows: p.file, mergedIn: next.serial}
	if s.exists {
		next, conflicts = merge(s.sharedList, p.change(s))
		write = next.serial != s.serial || s.stale
		if file.mergedIn = s.file.mergedIn; next.serial != s.serial {
			file.mergedIn = next.serial
		}
	}
	inventory := kv.Op{Verb: kv.Check, Table: storeTable, Key: storeKey, Cond: true, If: s.version}
	if write {
		next.serial = s.serial + 1
		next.stampMs = max(s.stampMs+1, nowMs)
		inventory.Verb, inventory.Keep = kv.Put, true
		if inventory.Value, err = next.encode(); err != nil {
			return nil, nil, err
		}
	}
	recorded := s.hasFile && slices.Equal(s.file.rows, p.file)
	if recorded && !write {
		return nil, nil, nil
	}
	ops = append(ops, inventory)
	if !recorded {
		value, err := file.encode()
		if err != nil {
			return nil, nil, err
		}
		ops = append(ops, kv.Op{Verb: kv.Put, Table: storeTable, Key: fileKeyPrefix + node, Value: value, Keep: true,
			Cond: true, If: s.fileVersion})
	}
	return ops, conflicts, nil
}

// writer brings the proposals of a node into the store, in its own goroutine: a store without a leader must not delay
// changes of the file, such as a drain.
type writer struct {
	store    Store
	node     string
	backoff  time.Duration
	caughtUp chan struct{} // closed once this member's state has been up to date in this process
	log      *slog.Logger
}

func (w *writer) hasCaughtUp() bool {
	select {
	case <-w.caughtUp:
		return true
	default:
		return false
	}
}

// run writes proposals until the context ends.
func (w *writer) run(ctx context.Context, in <-chan proposal) {
	for {
		select {
		case p := <-in:
			w.putUntilReplaced(ctx, p, in)
		case <-ctx.Done():
			return
		}
	}
}

// putUntilReplaced retries to write a proposal until it succeeds or a newer proposal is available. A write whose
// outcome is unknown is retried as well: if it was committed, the store has the record of the node's file.
func (w *writer) putUntilReplaced(ctx context.Context, p proposal, in <-chan proposal) {
	for ctx.Err() == nil && len(in) == 0 {
		err := w.put(ctx, p)
		if err == nil {
			return
		}
		if !errors.Is(err, errOutdated) {
			w.log.Warn("inventory not written to the store, retrying", "err", err)
		}
		select {
		case <-time.After(w.backoff):
		case <-ctx.Done():
		}
	}
}

// errOutdated reports that another node has written the inventory meanwhile.
var errOutdated = errors.New("inventory: the store has a later version than the one that was read")

// put merges a proposal into the inventory that the store has now, once this member has caught up with it.
func (w *writer) put(ctx context.Context, p proposal) error {
	if err := w.store.CatchUp(ctx); err != nil {
		return err
	}
	if !w.hasCaughtUp() {
		close(w.caughtUp)
	}
	now := readStored(w.store.View(), w.node)
	ops, conflicts, err := p.plan(now, w.node, time.Now().UnixMilli())
	if err != nil || len(ops) == 0 {
		return err
	}
	result, err := w.store.Txn(ctx, &kv.Txn{Ops: ops})
	switch {
	case err != nil:
		return err
	case result.Err != "":
		return fmt.Errorf("inventory: the store rejects the write: %s", result.Err)
	case !result.OK():
		return errOutdated
	}
	for _, c := range conflicts {
		w.log.Error("change of the inventory file not in force", "executor", c.Name, "reason", c.Reason)
	}
	if now.exists && !now.hasFile && !slices.Equal(p.first, rowsOfList(now.sharedList)) {
		w.log.Warn("inventory file differs from the shared inventory, which stays in force", "node", w.node)
	}
	return nil
}
