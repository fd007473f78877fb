// Package result is what a scale run leaves: one JSON file and a table.
package result

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/hollow"
	"gatetack/internal/scale/verdict"
)

// Tool and Format tell a result file from others.
const (
	Tool   = "scalerun"
	Format = 1
)

// Result is what came of a run.
type Result struct {
	Tool        string                        `json:"tool"`
	Format      int                           `json:"format"`
	Commit      string                        `json:"commit"`
	Command     string                        `json:"command"`
	Machine     Machine                       `json:"machine"`
	Began       time.Time                     `json:"began"`
	Description fleet.Description             `json:"description"`
	Faults      []string                      `json:"faults"`
	Virtual     bool                          `json:"virtualTime"` // the decision modules alone; processes are modules then
	Partial     bool                          `json:"partial"`
	PartialWhy  string                        `json:"partialWhy,omitempty"`
	Seconds     float64                       `json:"seconds"` // from the first task due to the last answer
	RulesKept   bool                          `json:"rulesKept"`
	Verdict     *verdict.Verdict              `json:"verdict"`
	Jobs        []Jobs                        `json:"jobs"`
	Gangs       Gangs                         `json:"gangs"`
	Changes     Changes                       `json:"changes"`
	Running     Running                       `json:"running"`
	Processes   []Process                     `json:"processes"`
	Traffic     map[string]hollow.RoleTraffic `json:"traffic"`
	Saturated   *Saturated                    `json:"saturatedFirst"` // nil: nothing was
	ToolLag     Lag                           `json:"toolLag"`
	MemoryMB    float64                       `json:"memoryMBPeak"` // private, of all processes together
	Notes       []string                      `json:"notes,omitempty"`
}

// Machine is where the run was made.
type Machine struct {
	Cores      int     `json:"cores"`
	MemoryMB   int     `json:"memoryMB"`
	Kernel     string  `json:"kernel"`
	Go         string  `json:"go"`
	LoadBefore float64 `json:"loadBefore"` // the machine's load average before the run: others share it
}

// Jobs are the tasks of one kind of job.
type Jobs struct {
	Kind          string  `json:"kind"`
	Tasks         int64   `json:"tasks"`
	Served        int64   `json:"served"`
	Rejected      int64   `json:"refused"` // to the end of the client's time
	Failed        int64   `json:"failed"`
	StartNotified Latency `json:"startTold"` // from when a task was due until its start was told to its dispatcher
}

// Latency is a distribution in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	P50    float64 `json:"p50ms"`
	P90    float64 `json:"p90ms"`
	P99    float64 `json:"p99ms"`
	Max    float64 `json:"maxMs"`
	Within float64 `json:"within2200ms"` // part of all tasks that were due
}

// Gangs tell how tasks that are due together began. The protocol has no gangs: nothing makes them start together.
type Gangs struct {
	Whole    int     `json:"whole"`
	Part     int     `json:"part"`
	None     int     `json:"none"`
	SpreadMS float64 `json:"meanSpreadMs"`
}

// Changes tell how long changes of the configuration took until they were in force at the last dispatcher.
type Changes struct {
	Made       int     `json:"made"`
	InForce    Latency `json:"inForceAtLast"`
	NotInForce int     `json:"notInForceWithin6s"`
}

// Running tells how many tasks ran at a time, and how many starts there were in a second.
type Running struct {
	Peak            int     `json:"peak"`
	StartsPerS      float64 `json:"startsPerSecond"`
	StartsPeakPS    int     `json:"startsInBestSecond"`
	Slots           int     `json:"slots"`
	RequestedPerS   float64 `json:"askedPerSecond"`
	RequestedPeakPS int     `json:"askedInBusiestSecond"`
	MeanRunMillis   float64 `json:"meanRunMs"`
}

// Process is what one process used during the run, measured from outside.
type Process struct {
	Name         string  `json:"name"`
	Role         string  `json:"role"`
	CPUSeconds   float64 `json:"cpuSeconds"`
	CPUMean      float64 `json:"cpuMeanCores"`
	CPUPeak      float64 `json:"cpuPeakCores"`
	PrivateMB    float64 `json:"privateMBPeak"`
	Descriptors  int     `json:"descriptorsPeak"`
	ReadBytes    int64   `json:"readBytes"`
	WrittenBytes int64   `json:"writtenBytes"`
	ReadCalls    int64   `json:"readCalls"`
	WriteCalls   int64   `json:"writeCalls"`
	Ended        string  `json:"ended,omitempty"` // where it ended before the run did
}

// Saturated is the process that first used what it may.
type Saturated struct {
	Process    string  `json:"process"`
	AtSeconds  float64 `json:"atSeconds"`
	Cores      float64 `json:"cores"`
	StartsPerS float64 `json:"askedStartsPerSecond"`
}

// Lag is how late the tool itself came to do what was due: the times of what it saw are no more exact.
type Lag struct {
	P99 float64 `json:"p99ms"`
	Max float64 `json:"maxMs"`
}

// Write puts a result into a file in one piece.
func Write(path string, r *Result) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("result: %w", err)
	}
	next, err := os.CreateTemp(filepath.Dir(path), ".scalerun-*")
	if err != nil {
		return fmt.Errorf("result: %w", err)
	}
	defer func() { _ = os.Remove(next.Name()) }()
	_, err = next.Write(append(text, '\n'))
	if err = errors.Join(err, next.Chmod(0o644), next.Close()); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return os.Rename(next.Name(), path)
}

// Read reads a result file. An error names the field that can not be used.
func Read(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("result file: %w", err)
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	r := &Result{}
	if err := dec.Decode(r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s: more than one JSON object, expected one", path)
	}
	if err := r.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

func (r *Result) check() error {
	switch {
	case r.Tool != Tool:
		return &fleet.FieldError{Field: "tool", Got: r.Tool, Expected: Tool}
	case r.Format != Format:
		return &fleet.FieldError{Field: "format", Got: r.Format, Expected: fmt.Sprint(Format)}
	case r.Commit == "":
		return &fleet.FieldError{Field: "commit", Got: `""`, Expected: "the commit that was played"}
	case r.Verdict == nil:
		return &fleet.FieldError{Field: "verdict", Got: "absent", Expected: "the judge's finding"}
	case r.RulesKept != r.Verdict.Passed():
		return &fleet.FieldError{Field: "rulesKept", Got: r.RulesKept, Expected: "what the verdict says"}
	case r.Partial != (r.PartialWhy != ""):
		return &fleet.FieldError{Field: "partialWhy", Got: fmt.Sprintf("%q", r.PartialWhy), Expected: "a reason where, and only where, partial is true"}
	}
	return r.Description.Check()
}
