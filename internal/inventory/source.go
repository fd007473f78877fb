// Package inventory reads the executors from a CSV or YAML file, as configuration tools write it, and delivers endpoint
// lists in the place of discovery. A Source owns its entries; only its goroutine that follows the file changes them. A
// second goroutine shares them through the replicated store, if there is one.
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

// Source follows an inventory file. It replaces discovery.
type Source struct {
	path     string
	names    node.Names
	limits   limits.Limits
	sink     Sink
	store    Store // nil: none
	log      *slog.Logger
	requests chan struct{} // requests to deliver the list

	// The fields below belong to the goroutine that follows the file.
	entries   []node.Endpoint
	index     uint64
	data      []byte // contents of the file at the last check
	writtenAt int64  // when the current entries were written, in Unix milliseconds
	stored    []byte // value in the store at the last check
}

// Open reads the file once and returns an error if it is invalid, so that a node does not start with an invalid file.
func Open(
	path string, names node.Names, lim limits.Limits, sink Sink, store Store, log *slog.Logger,
) (*Source, error) {
	s := &Source{path: path, names: names, limits: lim, sink: sink, store: store, log: log,
		requests: make(chan struct{}, 1)}
	if _, err := s.read(); err != nil {
		return nil, fmt.Errorf("inventory %s: %w", path, err)
	}
	return s, nil
}

// read reads the file and reports whether its contents have changed. It adopts the entries of a valid file.
func (s *Source) read() (changed bool, err error) {
	file, err := os.Open(s.path)
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, int64(s.limits.InventoryBytes)+1))
	if err != nil || s.index > 0 && bytes.Equal(data, s.data) {
		return false, err
	}
	s.data = data // invalid contents are reported once, not at each check
	entries, err := Parse(s.path, data, s.names, s.limits)
	if err != nil {
		return false, err
	}
	s.entries = entries
	s.index++
	s.writtenAt = time.Now().UnixMilli()
	if info, err := file.Stat(); err == nil {
		s.writtenAt = info.ModTime().UnixMilli()
	}
	return true, nil
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

// Run follows the file until the context ends. It keeps the previous list if the file cannot be read or is invalid.
func (s *Source) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	out := make(chan inventory, 1)
	if s.store != nil {
		g.Go(func() error { s.share(ctx, out); return nil })
	}
	g.Go(func() error { s.follow(ctx, out); return nil })
	return g.Wait()
}

// follow delivers the list on request and after each change of the file or of the store's inventory.
func (s *Source) follow(ctx context.Context, out chan inventory) {
	s.offer(out)
	tick := time.NewTicker(s.limits.InventoryCheckInterval)
	defer tick.Stop()
	for {
		changed := false
		select {
		case <-s.requests:
		case <-tick.C:
			if changed = s.refresh(out); !changed {
				continue
			}
		case <-ctx.Done():
			return
		}
		s.sink.UpdateEndpoints(
			node.EndpointList{Form: dispatch.ListSnapshot, Index: s.index, Entries: slices.Clone(s.entries)})
		if changed {
			s.log.Info("inventory changed", "file", s.path, "rows", len(s.entries))
		}
	}
}

// refresh checks the file and, if that has not changed, the store. It reports whether the entries have changed.
func (s *Source) refresh(out chan inventory) bool {
	changed, err := s.read()
	if err != nil {
		s.log.Error("inventory rejected, keeping the previous list", "file", s.path, "err", err)
	}
	if changed {
		s.offer(out)
		return true
	}
	return s.store != nil && s.adopt()
}

// offer passes the entries to the goroutine that shares them and replaces an inventory that is still waiting there.
func (s *Source) offer(out chan inventory) {
	select {
	case <-out:
	default:
	}
	out <- inventory{at: s.writtenAt, entries: slices.Clone(s.entries)}
}
