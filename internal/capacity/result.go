// Package capacity computes the tables of the operators' capacity page, docs/CAPACITY.md, from result files, fits, the
// sizes of the target and the limits in the code. The measurements are made by package measure.
package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gatetack/internal/scale/result"
)

// Machine describes the machine on which a measurement ran.
type Machine struct {
	Processor string `json:"processor"`
	Cores     int    `json:"cores"`
	MemoryMiB int    `json:"memory_mib"`
	Go        string `json:"go"`
}

// Run describes the run that produced a result file.
type Run struct {
	Commit  string    `json:"commit"`
	Changed bool      `json:"changed"` // the working tree had changes since the commit
	Command string    `json:"command"`
	Seed    uint64    `json:"seed"`
	At      time.Time `json:"at"`
	Machine Machine   `json:"machine"`
	Partial bool      `json:"partial"` // the run ended early
}

// Point is the value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is the value of one quantity of a role at several sizes of one parameter, while all other sizes stay fixed.
type Series struct {
	ID        string  `json:"id"`
	Role      string  `json:"role"`
	Quantity  string  `json:"what"`
	Unit      string  `json:"unit"`
	GrowsWith string  `json:"grows"` // the parameter
	Fixed     string  `json:"fixed"` // the other sizes
	Points    []Point `json:"points"`
}

// Result is the content of a result file.
type Result struct {
	Run    Run      `json:"run"`
	Series []Series `json:"series"`
}

// Results holds all result files by name and all series by ID.
type Results struct {
	Files     map[string]Result
	ScaleRuns map[string]*result.Result
	byID      map[string]locatedSeries
}

type locatedSeries struct {
	file   string
	series Series
}

// Series returns a series and the run that measured it.
func (r *Results) Series(id string) (Series, Run, bool) {
	found, ok := r.byID[id]
	return found.series, r.Files[found.file].Run, ok
}

// Names returns the sorted names of the result files.
func (r *Results) Names() []string {
	var names []string
	for name := range r.Files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

const (
	resultSuffix = ".json"
	// scaleRunPrefix is the prefix of the names of scale run results, which have their own format.
	scaleRunPrefix = "scalerun-"
	// A series has at least minPoints sizes, and the ratio of its largest to its smallest size is at least minSizeRatio.
	minPoints    = 4
	minSizeRatio = 30
)

// Load reads all result files of a directory.
func Load(dir string) (*Results, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	all := &Results{Files: map[string]Result{}, ScaleRuns: map[string]*result.Result{}, byID: map[string]locatedSeries{}}
	for _, entry := range entries {
		name := entry.Name()
		if entry.IsDir() || !strings.HasSuffix(name, resultSuffix) {
			continue
		}
		if strings.HasPrefix(name, scaleRunPrefix) {
			if all.ScaleRuns[name], err = result.Read(filepath.Join(dir, name)); err != nil {
				return nil, fmt.Errorf("capacity: %w", err)
			}
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, fmt.Errorf("capacity: %w", err)
		}
		if err := all.add(name, data); err != nil {
			return nil, fmt.Errorf("capacity: %s: %w", name, err)
		}
	}
	return all, nil
}

func (r *Results) add(name string, data []byte) error {
	var file Result
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return err
	}
	if err := file.check(); err != nil {
		return err
	}
	r.Files[name] = file
	for _, s := range file.Series {
		if other, double := r.byID[s.ID]; double {
			return fmt.Errorf("series %s is also in %s, expected it in one file", s.ID, other.file)
		}
		r.byID[s.ID] = locatedSeries{name, s}
	}
	return nil
}

// check returns an error for the first invalid field, with the actual and the expected value.
func (r *Result) check() error {
	switch {
	case r.Run.Commit == "":
		return errors.New("run.commit is empty, expected the commit that was measured")
	case r.Run.Command == "":
		return errors.New("run.command is empty, expected the command that gave the figures")
	case r.Run.Machine.Cores < 1:
		return fmt.Errorf("run.machine.cores is %d, expected 1 or more", r.Run.Machine.Cores)
	}
	for i := range r.Series {
		if err := r.Series[i].check(); err != nil {
			return fmt.Errorf("series[%d]: %w", i, err)
		}
	}
	return nil
}

func (s *Series) check() error {
	for _, field := range []struct{ name, value string }{{"id", s.ID}, {"role", s.Role}, {"what", s.Quantity}, {"unit", s.Unit}, {"grows", s.GrowsWith}} {
		if field.value == "" {
			return fmt.Errorf("%s is empty, expected a text", field.name)
		}
	}
	if len(s.Points) < minPoints {
		return fmt.Errorf("points: %d, expected at least %d sizes", len(s.Points), minPoints)
	}
	for i, p := range s.Points {
		if !(p.Size > 0) || !(p.Value >= 0) || math.IsInf(p.Size+p.Value, 0) {
			return fmt.Errorf("points[%d]: size %v and value %v, expected a size above 0 and a value of 0 or more", i, p.Size, p.Value)
		}
		if i > 0 && p.Size <= s.Points[i-1].Size {
			return fmt.Errorf("points[%d]: size %v, expected more than %v", i, p.Size, s.Points[i-1].Size)
		}
	}
	if last := s.Points[len(s.Points)-1].Size; last < minSizeRatio*s.Points[0].Size {
		return fmt.Errorf("points: sizes from %v to %v, expected at least a factor of %d", s.Points[0].Size, last, minSizeRatio)
	}
	return nil
}

// Write writes a result file atomically. Only the result of a partial run may be invalid.
func (r *Result) Write(path string) error {
	if err := r.check(); err != nil && !r.Run.Partial {
		return fmt.Errorf("capacity: %s: %w", path, err)
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	temporary := path + ".part"
	if err := os.WriteFile(temporary, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	return os.Rename(temporary, path)
}
