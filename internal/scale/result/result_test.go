package result

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/verdict"
)

func some() *Result {
	return &Result{Tool: Tool, Format: Format, Commit: "abc", Command: "go run ./cmd/scalerun", Description: fleet.Default(), RulesKept: true,
		Verdict: &verdict.Verdict{ViolationCounts: map[verdict.Rule]int{}}}
}

func TestWriteAndRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	if err := Write(path, some()); err != nil {
		t.Fatal(err)
	}
	r, err := Read(path)
	if err != nil || r.Description != fleet.Default() {
		t.Errorf("%+v %v", r, err)
	}
}

// The error for a file with an invalid field must have the field's name and the expected value.
func TestBadFields(t *testing.T) {
	for want, change := range map[string]func(*Result){
		"tool: other, expected scalerun":        func(r *Result) { r.Tool = "other" },
		"format: 2, expected 1":                 func(r *Result) { r.Format = 2 },
		`commit: "", expected`:                  func(r *Result) { r.Commit = "" },
		"verdict: absent, expected":             func(r *Result) { r.Verdict = nil },
		"rulesKept: false, expected":            func(r *Result) { r.RulesKept = false },
		`partialWhy: "", expected`:              func(r *Result) { r.Partial = true },
		"executors: 0, expected a whole number": func(r *Result) { r.Description.Executors = 0 },
	} {
		r := some()
		change(r)
		path := filepath.Join(t.TempDir(), "r.json")
		if err := Write(path, r); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
}

// A file with unknown fields, wrong types, several objects or truncated text must be an error.
func TestMalformedResults(t *testing.T) {
	text, err := json.Marshal(some())
	if err != nil {
		t.Fatal(err)
	}
	for want, changed := range map[string]string{
		`unknown field "tols"`:         strings.Replace(string(text), `"tool":`, `"tols":`, 1),
		"Result.seconds of type float": strings.Replace(string(text), `"seconds":0`, `"seconds":"0"`, 1),
		"description.duration of type": strings.Replace(string(text), `"duration":30000000000`, `"duration":"30s"`, 1),
		"more than one JSON object":    string(text) + string(text),
		"unexpected EOF":               string(text[:len(text)/2]),
	} {
		path := filepath.Join(t.TempDir(), "r.json")
		if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
}

// The result files in this repository must be readable.
func TestCommittedResults(t *testing.T) {
	files, err := filepath.Glob("../../../docs/capacity/scalerun-*.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if _, err := Read(f); err != nil {
			t.Error(err)
		}
	}
}
