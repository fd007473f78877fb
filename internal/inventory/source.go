// Package inventory reads the executors from a file as configuration tools write it, CSV or YAML, and delivers the
// same lists as discovery. A Source owns its entries, which its one goroutine for the file changes; a second
// goroutine shares them through the replicated store, where there is one.
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

// Sink takes lists.
type Sink interface {
	// UpdateEndpoints takes one. It may keep the entries.
	UpdateEndpoints(node.EndpointList)
}

// Source follows a file. It takes the place of discovery.
type Source struct {
	path     string
	names    node.Names
	limits   limits.Limits
	sink     Sink
	store    Keeper // nil: none
	log      *slog.Logger
	requests chan struct{} // for the list

	// Of the goroutine that follows the file.
	entries   []node.Endpoint
	index     uint64
	data      []byte // the file's text at the last look
	writtenAt int64  // when the entries in use were written, in Unix milliseconds
	stored    []byte // what the store had at the last look
}

// Open reads the file once: a node does not start on a bad one.
func Open(
	path string, names node.Names, lim limits.Limits, sink Sink, store Keeper, log *slog.Logger,
) (*Source, error) {
	s := &Source{path: path, names: names, limits: lim, sink: sink, store: store, log: log,
		requests: make(chan struct{}, 1)}
	if _, err := s.read(); err != nil {
		return nil, fmt.Errorf("inventory %s: %w", path, err)
	}
	return s, nil
}

// read takes the file in and reports whether its text has changed.
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
	s.data = data // a bad text is reported once, not at each look
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

// Watch asks for the list; Run delivers it, and each change of it.
func (s *Source) Watch(on bool) {
	if !on {
		return
	}
	select {
	case s.requests <- struct{}{}:
	default:
	}
}

// Fetch asks for the list once more.
func (s *Source) Fetch() { s.Watch(true) }

// Run follows the file until the context ends. A file that can not be read or has a bad row leaves the list as it was.
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

// refresh looks at the file and, if that has not changed, at the store. It reports whether the entries have changed.
func (s *Source) refresh(out chan inventory) bool {
	changed, err := s.read()
	if err != nil {
		s.log.Error("inventory rejected, the former list stays in use", "file", s.path, "err", err)
	}
	if changed {
		s.offer(out)
		return true
	}
	return s.store != nil && s.shared()
}

// offer hands the entries to the goroutine that shares them, in the place of what it has not taken yet.
func (s *Source) offer(out chan inventory) {
	select {
	case <-out:
	default:
	}
	out <- inventory{at: s.writtenAt, entries: slices.Clone(s.entries)}
}
