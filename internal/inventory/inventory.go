// Package inventory reads the executors from a file as configuration tools keep it, CSV or YAML, and gives
// the same list events as discovery.
package inventory

import (
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"go.yaml.in/yaml/v3"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/node"
)

// RowError is a row that cannot be used, and where it stands.
type RowError struct {
	Line int
	Err  error
}

func (e *RowError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap gives the reason.
func (e *RowError) Unwrap() error { return e.Err }

func rowError(line int, format string, args ...any) error {
	return &RowError{line, fmt.Errorf(format, args...)}
}

// columns of a row, all of them needed.
var columns = []string{"name", "address", "zone", "type", "group", "status"}

// Parse reads an inventory; the file's name tells its form. One bad row refuses the whole, so that a list that
// was half written takes no executor away.
func Parse(name string, data []byte, names node.Names, lim limits.Limits) ([]node.Entry, error) {
	if len(data) > lim.InventoryBytes {
		return nil, fmt.Errorf("longer than %d bytes", lim.InventoryBytes)
	}
	b := &builder{names: names, lim: lim, seen: map[string]int{}}
	var err error
	switch strings.ToLower(filepath.Ext(name)) {
	case ".csv":
		err = b.csv(data)
	case ".yaml", ".yml":
		err = b.yaml(data)
	default:
		err = errors.New("neither .csv nor .yaml")
	}
	if err != nil {
		return nil, err
	}
	return b.out, nil
}

type builder struct {
	names node.Names
	lim   limits.Limits
	seen  map[string]int // by name and by address: the line
	out   []node.Entry
}

func (b *builder) csv(data []byte) error {
	r := csv.NewReader(bytes.NewReader(data))
	r.Comment, r.TrimLeadingSpace = '#', true
	header, err := r.Read()
	if errors.Is(err, io.EOF) {
		return rowError(1, "no header")
	}
	if err != nil {
		return csvError(err)
	}
	for i := range header {
		header[i] = strings.ToLower(strings.TrimSpace(header[i]))
		if !slices.Contains(columns, header[i]) || slices.Contains(header[:i], header[i]) {
			return rowError(1, "column %q is unknown or stands twice", header[i])
		}
	}
	if len(header) != len(columns) {
		return rowError(1, "the columns are %s", strings.Join(columns, ", "))
	}
	for {
		fields, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return csvError(err)
		}
		row := map[string]string{}
		for i, f := range fields {
			row[header[i]] = strings.TrimSpace(f)
		}
		line, _ := r.FieldPos(0)
		if err := b.add(line, row); err != nil {
			return err
		}
	}
}

func csvError(err error) error {
	if pe := (*csv.ParseError)(nil); errors.As(err, &pe) {
		return &RowError{pe.Line, pe.Err}
	}
	return err
}

func (b *builder) yaml(data []byte) error {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return err // it names the line itself
	}
	if len(doc.Content) == 0 {
		return rowError(1, "empty")
	}
	list := doc.Content[0]
	if list.Kind != yaml.SequenceNode {
		return rowError(list.Line, "not a list of rows")
	}
	for _, item := range list.Content {
		if item.Kind != yaml.MappingNode {
			return rowError(item.Line, "not a row of names and values")
		}
		row := map[string]string{}
		for i := 0; i+1 < len(item.Content); i += 2 {
			k, v := item.Content[i], item.Content[i+1]
			if _, twice := row[k.Value]; twice || !slices.Contains(columns, k.Value) {
				return rowError(k.Line, "%q is unknown or stands twice", k.Value)
			}
			if v.Kind != yaml.ScalarNode {
				return rowError(v.Line, "%s is not a plain value", k.Value)
			}
			row[k.Value] = v.Value
		}
		if err := b.add(item.Line, row); err != nil {
			return err
		}
	}
	return nil
}

// add takes in a row.
func (b *builder) add(line int, row map[string]string) error {
	if len(b.out) >= b.lim.InventoryRows {
		return rowError(line, "more than %d rows", b.lim.InventoryRows)
	}
	for _, c := range columns {
		if row[c] == "" {
			return rowError(line, "%s is missing", c)
		}
	}
	if _, err := netip.ParseAddrPort(row["address"]); err != nil {
		return rowError(line, "address: %w", err) // there is no DNS
	}
	group, err := strconv.ParseUint(row["group"], 10, 16)
	switch {
	case err != nil:
		return rowError(line, "group: %q is not a number from 0 to 65535", row["group"])
	case !slices.Contains(b.names.Zones, row["zone"]):
		return rowError(line, "zone: %q is none of the settings'", row["zone"])
	case !slices.Contains(b.names.Kinds, row["type"]):
		return rowError(line, "type: %q is none of the settings'", row["type"])
	case row["status"] != "ready" && row["status"] != "draining":
		return rowError(line, "status: %q is neither ready nor draining", row["status"])
	}
	for _, key := range []string{"name " + row["name"], "address " + row["address"]} {
		if at, twice := b.seen[key]; twice {
			return rowError(line, "%s stands on line %d already", key, at)
		}
		b.seen[key] = line
	}
	b.out = append(b.out, node.Entry{Name: row["name"], Address: row["address"], Zone: row["zone"], Kind: row["type"],
		Group: int(group), Status: row["status"], Weight: 1})
	return nil
}

// Sink takes lists.
type Sink interface{ List(node.List) }

// Keeper is the nodes' store, where there is one: a change that one node takes in reaches the others by it.
type Keeper interface {
	Put(ctx context.Context, kind, key string, value []byte) error
	Local(kind, key string) ([]byte, bool)
}

// Source follows a file. It stands where discovery stands on the platform.
type Source struct {
	path  string
	names node.Names
	lim   limits.Limits
	sink  Sink
	log   *slog.Logger
	keep  Keeper // nil without a store
	asked chan struct{}

	entries []node.Entry
	index   uint64
	data    []byte
	at      int64  // when the rows in use were written, in Unix milliseconds
	kept    []byte // what the store held at the last look
}

// Open reads the file once: a node does not start on a bad one.
func Open(path string, names node.Names, lim limits.Limits, sink Sink, keep Keeper, log *slog.Logger) (*Source, error) {
	s := &Source{path: path, names: names, lim: lim, sink: sink, keep: keep, log: log, asked: make(chan struct{}, 1)}
	if _, err := s.read(); err != nil {
		return nil, fmt.Errorf("inventory %s: %w", path, err)
	}
	return s, nil
}

// read takes the file in and tells whether its text has changed.
func (s *Source) read() (bool, error) {
	f, err := os.Open(s.path)
	if err != nil {
		return false, err
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, int64(s.lim.InventoryBytes)+1))
	if err != nil || s.index > 0 && bytes.Equal(data, s.data) {
		return false, err
	}
	s.data = data // a bad text is told of once, not at each look
	entries, err := Parse(s.path, data, s.names, s.lim)
	if err != nil {
		return false, err
	}
	s.entries = entries
	s.index++
	s.at = time.Now().UnixMilli()
	if info, err := f.Stat(); err == nil {
		s.at = info.ModTime().UnixMilli()
	}
	return true, nil
}

// rows are what is to be shared.
type rows struct {
	at      int64
	entries []node.Entry
}

// share puts rows into the store, unless it holds later ones, and tries again until it can. It has a goroutine of
// its own: a store without a leader must not hold up what the file tells, a drain least of all.
func (s *Source) share(ctx context.Context, in <-chan rows) {
	var r rows
	for {
		select {
		case r = <-in:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil && len(in) == 0 {
			if raw, ok := s.keep.Local("config", "inventory"); ok && gjson.GetBytes(raw, "at").Int() >= r.at {
				break
			}
			value, err := json.Marshal(map[string]any{"at": r.at, "rows": r.entries})
			if err == nil {
				err = s.keep.Put(ctx, "config", "inventory", value)
			}
			if err == nil {
				break
			}
			s.log.Warn("the inventory is not shared yet", "err", err)
			select {
			case <-time.After(s.lim.StoreBeat):
			case <-ctx.Done():
			}
		}
	}
}

// shared takes rows over that another node has put into the store later than ours were written.
func (s *Source) shared() bool {
	raw, ok := s.keep.Local("config", "inventory")
	if !ok || bytes.Equal(raw, s.kept) {
		return false
	}
	s.kept = raw
	v := gjson.ParseBytes(raw)
	if v.Get("at").Int() <= s.at {
		return false
	}
	b := &builder{names: s.names, lim: s.lim, seen: map[string]int{}}
	for i, r := range v.Get("rows").Array() {
		row := map[string]string{"name": r.Get("Name").String(), "address": r.Get("Address").String(), "zone": r.Get("Zone").String(),
			"type": r.Get("Kind").String(), "group": r.Get("Group").String(), "status": r.Get("Status").String()}
		if err := b.add(i+1, row); err != nil {
			s.log.Error("the store's inventory is refused and the old list kept", "err", err)
			return false
		}
	}
	s.entries, s.at = b.out, v.Get("at").Int()
	s.index++
	return true
}

// Watch asks for the list; Run gives it, and each change of it.
func (s *Source) Watch(on bool) {
	if !on {
		return
	}
	select {
	case s.asked <- struct{}{}:
	default:
	}
}

// Fetch asks for the list once more.
func (s *Source) Fetch() { s.Watch(true) }

// Run follows the file until the context ends. A file that cannot be read or has a bad row leaves the list as
// it was.
func (s *Source) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	out := make(chan rows, 1)
	if s.keep != nil {
		g.Go(func() error { s.share(ctx, out); return nil })
	}
	g.Go(func() error {
		s.follow(ctx, out)
		return nil
	})
	return g.Wait()
}

func (s *Source) follow(ctx context.Context, out chan rows) {
	offer := func() {
		select {
		case <-out: // what was not shared yet is out of date
		default:
		}
		out <- rows{s.at, slices.Clone(s.entries)}
	}
	offer()
	tick := time.NewTicker(s.lim.InventoryLook)
	defer tick.Stop()
	for {
		fresh := false
		select {
		case <-s.asked:
		case <-tick.C:
			var err error
			if fresh, err = s.read(); err != nil {
				s.log.Error("the inventory is refused and the old list kept", "file", s.path, "err", err)
			}
			if fresh {
				offer()
			} else if s.keep != nil {
				fresh = s.shared()
			}
			if !fresh {
				continue
			}
		case <-ctx.Done():
			return
		}
		s.sink.List(node.List{Form: dispatch.ListFull, Index: s.index, Entries: slices.Clone(s.entries)})
		if fresh {
			s.log.Info("inventory", "file", s.path, "rows", len(s.entries))
		}
	}
}
