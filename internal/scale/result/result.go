// Package result has the result of a scale run, as a JSON file and as a table.
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

// Tool and Format identify a result file and its version.
const (
	Tool   = "scalerun"
	Format = 1
)

// Result is the result of a run.
type Result struct {
	Tool        string                        `json:"tool"`
	Format      int                           `json:"format"`
	Commit      string                        `json:"commit"`
	Command     string                        `json:"command"`
	Machine     Machine                       `json:"machine"`
	StartedAt   time.Time                     `json:"began"`
	Description fleet.Description             `json:"description"`
	Faults      []string                      `json:"faults"`
	Virtual     bool                          `json:"virtualTime"` // the decision modules ran alone, on virtual time; each entry of Processes is a module
	Partial     bool                          `json:"partial"`
	PartialWhy  string                        `json:"partialWhy,omitempty"`
	Seconds     float64                       `json:"seconds"` // from when the first task was due to the last answer
	RulesKept   bool                          `json:"rulesKept"`
	Verdict     *verdict.Verdict              `json:"verdict"`
	Jobs        []Jobs                        `json:"jobs"`
	Gangs       Gangs                         `json:"gangs"`
	Changes     Changes                       `json:"changes"`
	Running     Running                       `json:"running"`
	Processes   []Process                     `json:"processes"`
	Traffic     map[string]hollow.RoleTraffic `json:"traffic"`
	Saturated   *Saturated                    `json:"saturatedFirst"` // nil if no process was saturated
	ToolLag     Lag                           `json:"toolLag"`
	MemoryMB    float64                       `json:"memoryMBPeak"` // private memory of all processes together
	Notes       []string                      `json:"notes,omitempty"`
}

// Machine describes the machine of the run.
type Machine struct {
	Cores      int     `json:"cores"`
	MemoryMB   int     `json:"memoryMB"`
	Kernel     string  `json:"kernel"`
	Go         string  `json:"go"`
	LoadBefore float64 `json:"loadBefore"` // load average before the run, which includes other users' processes
}

// Jobs are the counts of the tasks of one kind of job.
type Jobs struct {
	Kind          string  `json:"kind"`
	Tasks         int64   `json:"tasks"`
	Served        int64   `json:"served"`
	Rejected      int64   `json:"refused"` // rejected until the client's deadline
	Failed        int64   `json:"failed"`
	StartNotified Latency `json:"startTold"` // from when a task was due until its dispatcher was notified of its start
}

// Latency is a latency distribution in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	P50    float64 `json:"p50ms"`
	P90    float64 `json:"p90ms"`
	P99    float64 `json:"p99ms"`
	Max    float64 `json:"maxMs"`
	Within float64 `json:"within2200ms"` // share of all tasks that were due
}

// Gangs are the counts of gangs by how many of their tasks started. The protocol has no gangs, so nothing makes tasks start together.
type Gangs struct {
	Whole    int     `json:"whole"`
	Part     int     `json:"part"`
	None     int     `json:"none"`
	SpreadMS float64 `json:"meanSpreadMs"`
}

// Changes has the times from a configuration change until it was in force at the last dispatcher.
type Changes struct {
	Made       int     `json:"made"`
	InForce    Latency `json:"inForceAtLast"`
	NotInForce int     `json:"notInForceWithin6s"`
}

// Running has the numbers of running tasks and of requested and actual starts per second.
type Running struct {
	Peak            int     `json:"peak"`
	StartsPerS      float64 `json:"startsPerSecond"`
	StartsPeakPS    int     `json:"startsInBestSecond"`
	Slots           int     `json:"slots"`
	RequestedPerS   float64 `json:"askedPerSecond"`
	RequestedPeakPS int     `json:"askedInBusiestSecond"`
	MeanRunMillis   float64 `json:"meanRunMs"`
}

// Process is the resource usage of one process during the run, measured from outside.
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
	Ended        string  `json:"ended,omitempty"` // set if it ended before the run did
}

// Saturated is the first process that used all of the processor time it may use.
type Saturated struct {
	Process    string  `json:"process"`
	AtSeconds  float64 `json:"atSeconds"`
	Cores      float64 `json:"cores"`
	StartsPerS float64 `json:"askedStartsPerSecond"`
}

// Lag is how late the tool itself ran what was due, which limits the accuracy of the event times.
type Lag struct {
	P99 float64 `json:"p99ms"`
	Max float64 `json:"maxMs"`
}

// Write writes a result file atomically.
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

// Read reads a result file. Errors name the invalid field.
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
		return &fleet.FieldError{Field: "commit", Got: `""`, Expected: "the commit of the program"}
	case r.Verdict == nil:
		return &fleet.FieldError{Field: "verdict", Got: "absent", Expected: "a verdict"}
	case r.RulesKept != r.Verdict.Passed():
		return &fleet.FieldError{Field: "rulesKept", Got: r.RulesKept, Expected: "true if and only if the verdict has no violation"}
	case r.Partial != (r.PartialWhy != ""):
		return &fleet.FieldError{Field: "partialWhy", Got: fmt.Sprintf("%q", r.PartialWhy), Expected: "a reason if and only if partial is true"}
	}
	return r.Description.Check()
}
