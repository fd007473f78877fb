package locality

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"gatetack/internal/node"
	"gatetack/internal/operr"
)

// Limits of the file.
const (
	maxZones            = 16
	maxDataSets         = 1 << 20
	maxSlotsPerExecutor = 1 << 16
	maxNameBytes        = 512
)

// File is the operators' file of data sets.
type File struct {
	SlotsPerExecutor int `yaml:"slots_per_box"` // that an executor of the list is taken to have; absent: 2
	Links            []struct {
		From  string  `yaml:"from"`
		To    string  `yaml:"to"`
		Gbits float64 `yaml:"gbits"` // a second, in each direction
	} `yaml:"links"`
	Sets []struct {
		Name  string   `yaml:"name"`
		Bytes float64  `yaml:"bytes"`
		Zones []string `yaml:"halls"`
	} `yaml:"sets"`
}

// FileError reports what is wrong with the operators' file, and where.
type FileError struct{ File, Field, Why string }

func (e *FileError) Error() string { return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Why) }

// Code is its kind.
func (*FileError) Code() string { return "data.file" }

// Do is what can be done.
func (*FileError) Do() string { return "correct the field in the file that data.file names" }

var _ = operr.Kind(&FileError{})

// parse reads and checks the file's text.
func parse(path string, data []byte, names node.Names) (*File, error) {
	f := &File{SlotsPerExecutor: 2}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(f); err != nil && !errors.Is(err, io.EOF) {
		return nil, &FileError{path, "yaml", err.Error()}
	}
	checkZone := func(field, name string) error {
		if !slices.Contains(names.Zones, name) {
			return &FileError{path, field, fmt.Sprintf("%q is none of %s", name, strings.Join(names.Zones, ", "))}
		}
		return nil
	}
	if len(names.Zones) > maxZones {
		return nil, &FileError{path, "halls", fmt.Sprintf("%d halls, expected %d at most", len(names.Zones), maxZones)}
	}
	if f.SlotsPerExecutor < 1 || f.SlotsPerExecutor > maxSlotsPerExecutor {
		return nil, &FileError{path, "slots_per_box", fmt.Sprintf("%d, expected 1 to %d", f.SlotsPerExecutor, maxSlotsPerExecutor)}
	}
	for i, l := range f.Links {
		at := fmt.Sprintf("links[%d]", i)
		if err := errors.Join(checkZone(at+".from", l.From), checkZone(at+".to", l.To)); err != nil {
			return nil, err
		}
		if !(l.Gbits > 0 && l.Gbits <= 1e6) {
			return nil, &FileError{path, at + ".gbits", fmt.Sprintf("%v, expected over 0", l.Gbits)}
		}
	}
	if len(f.Sets) > maxDataSets {
		return nil, &FileError{path, "sets", fmt.Sprintf("%d, expected %d at most", len(f.Sets), maxDataSets)}
	}
	seen := map[string]bool{}
	for i, x := range f.Sets {
		at := fmt.Sprintf("sets[%d]", i)
		switch {
		case x.Name == "" || len(x.Name) > maxNameBytes:
			return nil, &FileError{path, at + ".name", fmt.Sprintf("expected 1 to %d bytes", maxNameBytes)}
		case seen[x.Name]:
			return nil, &FileError{path, at + ".name", fmt.Sprintf("%q stands twice", x.Name)}
		case !(x.Bytes >= 0 && x.Bytes <= 1e18):
			return nil, &FileError{path, at + ".bytes", fmt.Sprintf("%v, expected 0 to 1e18", x.Bytes)}
		}
		seen[x.Name] = true
		for _, h := range x.Zones {
			if err := checkZone(at+".halls", h); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}
