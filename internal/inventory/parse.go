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

// RowError reports an invalid row of an inventory.
type RowError struct {
	Line int
	Err  error
}

// Error returns the line and the reason.
func (e *RowError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the reason.
func (e *RowError) Unwrap() error { return e.Err }

func rowError(line int, format string, args ...any) error {
	return &RowError{line, fmt.Errorf(format, args...)}
}

// columns are the columns of a row, all of which are required.
var columns = []string{"name", "address", "zone", "type", "group", "status"}

// groupBits is the width of a group number in bits.
const groupBits = 16

// Parse reads an inventory in the format given by the extension of its name. A single invalid row rejects the whole
// inventory, so that a partially written file removes no executor.
func Parse(name string, data []byte, names node.Names, lim limits.Limits) ([]node.Endpoint, error) {
	if len(data) > lim.InventoryBytes {
		return nil, fmt.Errorf("inventory is longer than %d bytes", lim.InventoryBytes)
	}
	b := newBuilder(names, lim)
	var err error
	switch strings.ToLower(filepath.Ext(name)) {
	case ".csv":
		err = b.readCSV(data)
	case ".yaml", ".yml":
		err = b.readYAML(data)
	default:
		err = errors.New("file extension is neither .csv nor .yaml")
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
	lines   map[string]int // lines of the previous rows, by name and by address
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

// readHeader reads the header row, which names all columns in any order.
func readHeader(reader *csv.Reader) ([]string, error) {
	header, err := reader.Read()
	if errors.Is(err, io.EOF) {
		return nil, rowError(1, "header is missing")
	}
	if err != nil {
		return nil, csvError(err)
	}
	for i := range header {
		header[i] = strings.ToLower(strings.TrimSpace(header[i]))
		if !slices.Contains(columns, header[i]) || slices.Contains(header[:i], header[i]) {
			return nil, rowError(1, "column %q is unknown or repeated", header[i])
		}
	}
	if len(header) != len(columns) {
		return nil, rowError(1, "incomplete header, expected columns %s", strings.Join(columns, ", "))
	}
	return header, nil
}

func csvError(err error) error {
	if parseError, ok := errors.AsType[*csv.ParseError](err); ok {
		return &RowError{parseError.Line, parseError.Err}
	}
	return err
}

func (b *builder) readYAML(data []byte) error {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return err // the error names the line
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

// yamlRow reads one item of the YAML list.
func yamlRow(item *yaml.Node) (map[string]string, error) {
	if item.Kind != yaml.MappingNode {
		return nil, rowError(item.Line, "row is not a mapping of names to values")
	}
	row := map[string]string{}
	for i := 0; i+1 < len(item.Content); i += 2 {
		key, value := item.Content[i], item.Content[i+1]
		if _, duplicate := row[key.Value]; duplicate || !slices.Contains(columns, key.Value) {
			return nil, rowError(key.Line, "%q is unknown or repeated", key.Value)
		}
		if value.Kind != yaml.ScalarNode {
			return nil, rowError(value.Line, "%s is not a scalar value", key.Value)
		}
		row[key.Value] = value.Value
	}
	return row, nil
}

// add validates a row and appends its endpoint.
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
		return rowError(line, "address: %w", err) // host names are not resolved
	}
	group, err := strconv.ParseUint(row["group"], 10, groupBits)
	switch {
	case err != nil:
		return rowError(line, "group: %q is not a number from 0 to 65535", row["group"])
	case !slices.Contains(b.names.Zones, row["zone"]):
		return rowError(line, "zone: %q is not in the settings", row["zone"])
	case !slices.Contains(b.names.Kinds, row["type"]):
		return rowError(line, "type: %q is not in the settings", row["type"])
	case row["status"] != statusReady && row["status"] != statusDraining:
		return rowError(line, "status: %q is neither ready nor draining", row["status"])
	}
	for _, key := range []string{"name " + row["name"], "address " + row["address"]} {
		if previous, duplicate := b.lines[key]; duplicate {
			return rowError(line, "%s is already on line %d", key, previous)
		}
		b.lines[key] = line
	}
	b.entries = append(b.entries, node.Endpoint{Name: row["name"], Address: row["address"], Zone: row["zone"],
		Kind: row["type"], Group: int(group), Status: row["status"], Weight: 1})
	return nil
}

// endpoints validates rows and returns their endpoints.
func endpoints(rows []row, names node.Names, lim limits.Limits) ([]node.Endpoint, error) {
	b := newBuilder(names, lim)
	for i, r := range rows {
		fields := map[string]string{"name": r.Name, "address": r.Address, "zone": r.Zone, "type": r.Kind,
			"group": strconv.Itoa(r.Group), "status": r.Status}
		if err := b.add(i+1, fields); err != nil {
			return nil, err
		}
	}
	return b.entries, nil
}
