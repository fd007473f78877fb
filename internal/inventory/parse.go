package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"gatetack/internal/limits"
	"gatetack/internal/node"
)

// RowError is a row that can not be used.
type RowError struct {
	Line int
	Err  error
}

// Error names the line and the reason.
func (e *RowError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the reason.
func (e *RowError) Unwrap() error { return e.Err }

func rowError(line int, format string, args ...any) error {
	return &RowError{line, fmt.Errorf(format, args...)}
}

// columns of a row, all of them needed.
var columns = []string{"name", "address", "zone", "type", "group", "status"}

// groupBits is the width of a group's number.
const groupBits = 16

// Parse reads an inventory, whose name says its format. One bad row rejects the whole, so that a file that was half
// written removes no executor.
func Parse(name string, data []byte, names node.Names, lim limits.Limits) ([]node.Endpoint, error) {
	if len(data) > lim.InventoryBytes {
		return nil, fmt.Errorf("longer than %d bytes", lim.InventoryBytes)
	}
	b := newBuilder(names, lim)
	var err error
	switch strings.ToLower(filepath.Ext(name)) {
	case ".csv":
		err = b.readCSV(data)
	case ".yaml", ".yml":
		err = b.readYAML(data)
	default:
		err = errors.New("neither .csv nor .yaml")
	}
	if err != nil {
		return nil, err
	}
	return b.entries, nil
}

// builder collects the rows of an inventory.
type builder struct {
	names   node.Names
	limits  limits.Limits
	lines   map[string]int // of the rows so far, by name and by address
	entries []node.Endpoint
}

func newBuilder(names node.Names, lim limits.Limits) *builder {
	return &builder{names: names, limits: lim, lines: map[string]int{}}
}

func (b *builder) readCSV(data []byte) error {
	reader := csv.NewReader(bytes.NewReader(data))
	reader.Comment, reader.TrimLeadingSpace = '#', true
	header, err := readHeader(reader)
	if err != nil {
		return err
	}
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return csvError(err)
		}
		row := map[string]string{}
		for i, field := range fields {
			row[header[i]] = strings.TrimSpace(field)
		}
		line, _ := reader.FieldPos(0)
		if err := b.add(line, row); err != nil {
			return err
		}
	}
}

// readHeader reads the row of column names: all columns, in any order.
func readHeader(reader *csv.Reader) ([]string, error) {
	header, err := reader.Read()
	if errors.Is(err, io.EOF) {
		return nil, rowError(1, "no header")
	}
	if err != nil {
		return nil, csvError(err)
	}
	for i := range header {
		header[i] = strings.ToLower(strings.TrimSpace(header[i]))
		if !slices.Contains(columns, header[i]) || slices.Contains(header[:i], header[i]) {
			return nil, rowError(1, "column %q is unknown or stands twice", header[i])
		}
	}
	if len(header) != len(columns) {
		return nil, rowError(1, "the columns are %s", strings.Join(columns, ", "))
	}
	return header, nil
}

func csvError(err error) error {
	if bad, ok := errors.AsType[*csv.ParseError](err); ok {
		return &RowError{bad.Line, bad.Err}
	}
	return err
}

func (b *builder) readYAML(data []byte) error {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return err // it names the line itself
	}
	if len(document.Content) == 0 {
		return rowError(1, "empty")
	}
	list := document.Content[0]
	if list.Kind != yaml.SequenceNode {
		return rowError(list.Line, "not a list of rows")
	}
	for _, item := range list.Content {
		row, err := yamlRow(item)
		if err != nil {
			return err
		}
		if err := b.add(item.Line, row); err != nil {
			return err
		}
	}
	return nil
}

// yamlRow reads one item of the list.
func yamlRow(item *yaml.Node) (map[string]string, error) {
	if item.Kind != yaml.MappingNode {
		return nil, rowError(item.Line, "not a row of names and values")
	}
	row := map[string]string{}
	for i := 0; i+1 < len(item.Content); i += 2 {
		key, value := item.Content[i], item.Content[i+1]
		if _, twice := row[key.Value]; twice || !slices.Contains(columns, key.Value) {
			return nil, rowError(key.Line, "%q is unknown or stands twice", key.Value)
		}
		if value.Kind != yaml.ScalarNode {
			return nil, rowError(value.Line, "%s is not a plain value", key.Value)
		}
		row[key.Value] = value.Value
	}
	return row, nil
}

// add checks a row and appends its entry.
func (b *builder) add(line int, row map[string]string) error {
	if len(b.entries) >= b.limits.InventoryRows {
		return rowError(line, "more than %d rows", b.limits.InventoryRows)
	}
	for _, column := range columns {
		if row[column] == "" {
			return rowError(line, "%s is missing", column)
		}
	}
	if _, err := netip.ParseAddrPort(row["address"]); err != nil {
		return rowError(line, "address: %w", err) // there is no DNS
	}
	group, err := strconv.ParseUint(row["group"], 10, groupBits)
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
		if former, twice := b.lines[key]; twice {
			return rowError(line, "%s stands on line %d already", key, former)
		}
		b.lines[key] = line
	}
	b.entries = append(b.entries, node.Endpoint{Name: row["name"], Address: row["address"], Zone: row["zone"],
		Kind: row["type"], Group: int(group), Status: row["status"], Weight: 1})
	return nil
}
