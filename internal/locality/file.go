package locality

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"gatetack/internal/node"
	"gatetack/internal/operr"
)

// Limits on the contents of the file.
const (
	maxZones            = 16
	maxDataSets         = 1 << 20
	maxSlotsPerExecutor = 1 << 16
	maxNameBytes        = 512
	maxGbits            = 1e6
	maxSetBytes         = 1e18
)

// defaultSlotsPerExecutor is the number of slots that an executor of the endpoint list is assumed to have by default.
const defaultSlotsPerExecutor = 2

// File is the operators' file of data sets. In its keys a zone is called a hall and an executor a box.
type File struct {
	SlotsPerExecutor int       `yaml:"slots_per_box"` // slots that each executor of the endpoint list is assumed to have
	Links            []Link    `yaml:"links"`
	Sets             []DataSet `yaml:"sets"`
}

// Link is a network link between two zones.
type Link struct {
	From  string  `yaml:"from"`
	To    string  `yaml:"to"`
	Gbits float64 `yaml:"gbits"` // Gbit/s in each direction
}

// DataSet is a data set that jobs can use as an input.
type DataSet struct {
	Name  string   `yaml:"name"`
	Bytes float64  `yaml:"bytes"`
	Zones []string `yaml:"halls"` // zones that have a copy
}

// FileError reports an invalid field in the operators' file.
type FileError struct{ File, Field, Why string }

// Error returns the file, the field and the reason.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Why) }

// Code returns the stable code of the error.
func (*FileError) Code() string { return "data.file" }

// Remedy returns what an operator can do about the error.
func (*FileError) Remedy() string { return "correct the field in the file that data.file names" }

var _ = operr.Register(&FileError{})

// parse decodes and validates the contents of the file.
func parse(path string, data []byte, names node.Names) (*File, error) {
	f := &File{SlotsPerExecutor: defaultSlotsPerExecutor}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(f); err != nil && !errors.Is(err, io.EOF) {
		return nil, &FileError{path, "yaml", err.Error()}
	}
	check := checker{path: path, zones: names.Zones}
	if len(names.Zones) > maxZones {
		return nil, check.failed("halls", "%d halls, expected at most %d", len(names.Zones), maxZones)
	}
	if f.SlotsPerExecutor < 1 || f.SlotsPerExecutor > maxSlotsPerExecutor {
		return nil, check.failed("slots_per_box", "%d, expected 1 to %d", f.SlotsPerExecutor, maxSlotsPerExecutor)
	}
	if err := check.links(f.Links); err != nil {
		return nil, err
	}
	if err := check.sets(f.Sets); err != nil {
		return nil, err
	}
	return f, nil
}

// checker validates the parts of a file.
type checker struct {
	path  string
	zones []string
}

// failed returns the error for a field.
func (c checker) failed(field, format string, args ...any) error {
	return &FileError{c.path, field, fmt.Sprintf(format, args...)}
}

func (c checker) zone(field, name string) error {
	if !slices.Contains(c.zones, name) {
		return c.failed(field, "%q is not one of %s", name, strings.Join(c.zones, ", "))
	}
	return nil
}

func (c checker) links(links []Link) error {
	for i, link := range links {
		at := fmt.Sprintf("links[%d]", i)
		if err := errors.Join(c.zone(at+".from", link.From), c.zone(at+".to", link.To)); err != nil {
			return err
		}
		if math.IsNaN(link.Gbits) || link.Gbits <= 0 || link.Gbits > maxGbits {
			return c.failed(at+".gbits", "%v, expected more than 0 and at most 1e6", link.Gbits)
		}
	}
	return nil
}

func (c checker) sets(sets []DataSet) error {
	if len(sets) > maxDataSets {
		return c.failed("sets", "%d, expected at most %d", len(sets), maxDataSets)
	}
	names := map[string]bool{}
	for i, set := range sets {
		at := fmt.Sprintf("sets[%d]", i)
		switch {
		case set.Name == "" || len(set.Name) > maxNameBytes:
			return c.failed(at+".name", "expected 1 to %d bytes", maxNameBytes)
		case names[set.Name]:
			return c.failed(at+".name", "%q is defined twice", set.Name)
		case math.IsNaN(set.Bytes) || set.Bytes < 0 || set.Bytes > maxSetBytes:
			return c.failed(at+".bytes", "%v, expected 0 to 1e18", set.Bytes)
		}
		names[set.Name] = true
		for _, zone := range set.Zones {
			if err := c.zone(at+".halls", zone); err != nil {
				return err
			}
		}
	}
	return nil
}
