// Package inventory reads the executors from a CSV or YAML file, as configuration tools write it, and delivers endpoint
// lists in the place of discovery.
//
// With a store, all nodes share one inventory. What an operator changes in the file of one node is merged into the
// shared one, row by row and field by field; a file that is written anew with the same rows changes nothing. The store
// also has the contents of each node's file that are merged, so that a restarted node recognizes what has changed while
// it was down. Each write is conditional on the version of the inventory that it is based on. The order of changes is
// the order of the store's log; no wall clock and no time of a file has a part in it.
//
// A Source owns its entries; only its goroutine that follows the file and the store changes them. A second goroutine
// writes to the store.
package inventory

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/node"
)

// Sink receives endpoint lists.
type Sink interface {
	// UpdateEndpoints receives a list. It may retain the entries.
	UpdateEndpoints(node.EndpointList)
}

// Config configures a Source.
type Config struct {
	Path   string
	Node   string // name of this node
	Names  node.Names
	Limits limits.Limits
	Store  Store // nil: the file alone counts
	Log    *slog.Logger
}

// Source follows an inventory file. It replaces discovery.
type Source struct {
	cfg      Config
	sink     Sink
	log      *slog.Logger
	writer   *writer       // nil without a store
	requests chan struct{} // requests to deliver the list
	caughtUp chan struct{} // closed by the writer once this member has caught up with the store

	// The fields below belong to the goroutine that follows the file and the store.
	data      []byte // contents of the file at the last check
	first     []row  // contents of the file when it was first read
	file      []row  // the latest valid contents
	stored    stored // what the store holds, as far as this node knows
	versions  versions
	basedOn   uint64 // serial number of the shared inventory when the file changed
	rows      []row  // in force
	entries   []node.Endpoint
	index     uint64
	requested bool
	startedAt time.Time
}

// Open reads the file once and returns an error if it is invalid, so that a node does not start with an invalid file.
func Open(cfg Config, sink Sink) (*Source, error) {
	s := &Source{cfg: cfg, sink: sink, log: cfg.Log, requests: make(chan struct{}, 1),
		caughtUp: make(chan struct{}), startedAt: time.Now()}
	if _, err := s.readFile(); err != nil {
		return nil, fmt.Errorf("inventory %s: %w", cfg.Path, err)
	}
	s.first = s.file
	if cfg.Store != nil {
		s.writer = &writer{store: cfg.Store, node: cfg.Node, backoff: cfg.Limits.StoreElectionTimeout,
			caughtUp: s.caughtUp, log: cfg.Log}
		s.stored = readStored(cfg.Store.Recovered(), cfg.Node)
		s.basedOn = s.stored.serial
	}
	s.update()
	return s, nil
}

// readFile reads the file and reports whether its rows have changed. It keeps the previous rows if the file is invalid.
func (s *Source) readFile() (changed bool, err error) {
	file, err := os.Open(s.cfg.Path)
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, int64(s.cfg.Limits.InventoryBytes)+1))
	if err != nil || s.data != nil && bytes.Equal(data, s.data) {
		return false, err
	}
	s.data = data // invalid contents are reported once, not at each check
	entries, err := Parse(s.cfg.Path, data, s.cfg.Names, s.cfg.Limits)
	if err != nil {
		return false, err
	}
	rows := rowsOf(entries)
	if s.file != nil && slices.Equal(rows, s.file) {
		return false, nil
	}
	s.file = rows
	return true, nil
}

// rowsOf returns the rows of endpoints. The result is never nil.
func rowsOf(entries []node.Endpoint) []row {
	rows := make([]row, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, row{e.Name, e.Address, e.Zone, e.Kind, e.Group, e.Status})
	}
	return rows
}

// Watch requests the list if on is set. Run delivers the list and each later change.
func (s *Source) Watch(on bool) {
	if !on {
		return
	}
	select {
	case s.requests <- struct{}{}:
	default:
	}
}

// Fetch requests the list again.
func (s *Source) Fetch() { s.Watch(true) }

// Run follows the file and the store until the context ends. It keeps the previous list if the file cannot be read or
// is invalid.
func (s *Source) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	out := make(chan proposal, 1)
	if s.writer != nil {
		s.propose(out)
		g.Go(func() error { s.writer.run(ctx, out); return nil })
	}
	g.Go(func() error { s.follow(ctx, out); return nil })
	return g.Wait()
}

// follow delivers the list on request and after each change of the file or of the shared inventory.
func (s *Source) follow(ctx context.Context, out chan proposal) {
	tick := time.NewTicker(s.cfg.Limits.InventoryCheckInterval)
	defer tick.Stop()
	caughtUp := s.caughtUp
	for {
		select {
		case <-s.requests:
			s.requested = true
		case <-caughtUp:
			caughtUp = nil
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if s.refresh(out) {
			s.requested = true
			s.log.Info("inventory changed", "file", s.cfg.Path, "rows", len(s.entries))
		}
		if s.requested && s.ready() {
			s.deliver()
		}
	}
}

func (s *Source) deliver() {
	s.requested = false
	s.sink.UpdateEndpoints(
		node.EndpointList{Form: dispatch.ListSnapshot, Index: s.index, Entries: slices.Clone(s.entries)})
}

// ready reports whether the list may be delivered. A node that has not caught up with the store may not know of a drain
// and waits for as long as discovery may take to answer.
func (s *Source) ready() bool {
	return s.writer == nil || s.writer.hasCaughtUp() || time.Since(s.startedAt) >= s.cfg.Limits.ListCallTimeout
}

// refresh checks the file and the store. It reports whether the list has changed.
func (s *Source) refresh(out chan proposal) bool {
	fileChanged, err := s.readFile()
	if err != nil {
		s.log.Error("inventory rejected, keeping the previous list", "file", s.cfg.Path, "err", err)
	}
	storeChanged := s.writer != nil && s.followStore()
	if s.writer != nil && (fileChanged || storeChanged && s.stored.stale) {
		s.propose(out)
	}
	return (fileChanged || storeChanged) && s.update()
}

// followStore reads the shared inventory from this member's state and reports whether it has been written since the
// last check. The state only counts once it was up to date: after a restart it may be older than what this node has
// acted on.
func (s *Source) followStore() bool {
	if !s.writer.hasCaughtUp() {
		return false
	}
	view := s.cfg.Store.View()
	versions := readVersions(view, s.cfg.Node)
	changed := versions != s.versions
	if changed {
		s.versions = versions
		if now := readStored(view, s.cfg.Node); now.exists {
			s.stored = now
		} // otherwise not written yet, or deleted: the node goes on with the list in force
	}
	if !s.pending() {
		s.basedOn = s.stored.serial
	}
	return changed
}

// pending reports whether the file has changes that the store does not include.
func (s *Source) pending() bool {
	change := s.proposal().change(s.stored)
	return !slices.Equal(change.previous, change.current)
}

func (s *Source) proposal() proposal {
	return proposal{first: s.first, file: s.file, basedOn: s.basedOn, inForce: s.rows}
}

// propose passes a proposal to the writer and replaces one that is still waiting there.
func (s *Source) propose(out chan proposal) {
	select {
	case <-out:
	default:
	}
	out <- s.proposal()
}

// update determines the list in force: the shared inventory as far as it is known, with the changes of this node's
// file. It reports whether the list has changed.
func (s *Source) update() bool {
	rows := s.file
	if s.stored.exists {
		rows = s.mergeInto(s.stored.sharedList)
	}
	entries, err := endpoints(rows, s.cfg.Names, s.cfg.Limits)
	if err != nil {
		s.log.Error("inventory of the store rejected, keeping the previous list", "err", err)
		rows = s.file
		if s.index > 0 {
			rows = s.mergeInto(listOf(s.rows))
		}
		if entries, err = endpoints(rows, s.cfg.Names, s.cfg.Limits); err != nil {
			return false
		}
	}
	if s.index > 0 && slices.Equal(rows, s.rows) {
		return false
	}
	s.rows, s.entries = rows, entries
	s.index++
	return true
}

// mergeInto returns the rows of a list with the changes of this node's file.
func (s *Source) mergeInto(list sharedList) []row {
	merged, _ := merge(list, s.proposal().change(s.stored))
	return rowsOfList(merged)
}
