// Package capacity turns measured slopes into the operators' capacity page: result files, fits, the target's sizes, the limits
// in the code, and the tables of docs/CAPACITY.md. It measures nothing itself: package measure does.
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

// Machine is what the figures were measured on.
type Machine struct {
	Processor string `json:"processor"`
	Cores     int    `json:"cores"`
	MemoryMiB int    `json:"memory_mib"`
	Go        string `json:"go"`
}

// Run says where a result file comes from.
type Run struct {
	Commit  string    `json:"commit"`
	Changed bool      `json:"changed"` // files were changed since the commit
	Command string    `json:"command"`
	Seed    uint64    `json:"seed"`
	At      time.Time `json:"at"`
	Machine Machine   `json:"machine"`
	Partial bool      `json:"partial"` // it ended early
}

// Point is one measured size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one slope: what one quantity of a role costs as one thing grows and all others stay.
type Series struct {
	ID     string  `json:"id"`
	Role   string  `json:"role"`
	What   string  `json:"what"`
	Unit   string  `json:"unit"`
	Grows  string  `json:"grows"` // the thing that grows
	Fixed  string  `json:"fixed"` // the sizes of the others
	Points []Point `json:"points"`
}

// Result is a result file.
type Result struct {
	Run    Run      `json:"run"`
	Series []Series `json:"series"`
}

// Results are all result files by their names, and all series by their ids.
type Results struct {
	Files     map[string]Result
	ScaleRuns map[string]*result.Result
	byID      map[string]located
}

type located struct {
	file   string
	series Series
}

// Series gives a series and the run that measured it.
func (r *Results) Series(id string) (Series, Run, bool) {
	found, ok := r.byID[id]
	return found.series, r.Files[found.file].Run, ok
}

// Names are the files' names in order.
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
	// scaleRunPrefix begins the names of files that are the scale run's and have a form of their own.
	scaleRunPrefix = "scalerun-"
	// leastPoints and leastSpread are what a slope is measured at.
	leastPoints = 4
	leastSpread = 30
)

// Load reads all result files of a folder.
func Load(dir string) (*Results, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	all := &Results{Files: map[string]Result{}, ScaleRuns: map[string]*result.Result{}, byID: map[string]located{}}
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
			return fmt.Errorf("series %s stands in %s as well, expected once", s.ID, other.file)
		}
		r.byID[s.ID] = located{name, s}
	}
	return nil
}

// check names the first field that cannot be used, and what was expected.
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
	for _, field := range []struct{ name, value string }{{"id", s.ID}, {"role", s.Role}, {"what", s.What}, {"unit", s.Unit}, {"grows", s.Grows}} {
		if field.value == "" {
			return fmt.Errorf("%s is empty, expected a text", field.name)
		}
	}
	if len(s.Points) < leastPoints {
		return fmt.Errorf("points: %d, expected %d sizes at least", len(s.Points), leastPoints)
	}
	for i, p := range s.Points {
		if !(p.Size > 0) || !(p.Value >= 0) || math.IsInf(p.Size+p.Value, 0) {
			return fmt.Errorf("points[%d]: size %v and value %v, expected numbers over 0 and of 0 or more", i, p.Size, p.Value)
		}
		if i > 0 && p.Size <= s.Points[i-1].Size {
			return fmt.Errorf("points[%d]: size %v, expected one over %v", i, p.Size, s.Points[i-1].Size)
		}
	}
	if last := s.Points[len(s.Points)-1].Size; last < leastSpread*s.Points[0].Size {
		return fmt.Errorf("points: sizes from %v to %v, expected a factor of %d at least", s.Points[0].Size, last, leastSpread)
	}
	return nil
}

// Write puts a result file into a folder, in one step.
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
