package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Errors of invalid flags and descriptions must have the field's name and the expected value, and no result may be written.
func TestInvalidInput(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	out := filepath.Join(dir, "out.json")
	for want, args := range map[string][]string{
		"executors: 0, expected a whole number from 1 to":                                     {"--executors", "0"},
		"invalid argument \"many\" for \"--tenants\"":                                         {"--tenants", "many"},
		"unknown flag: --executor":                                                            {"--executor", "5"},
		"fault: quake, expected one of":                                                       {"--fault", "quake"},
		"unknown command":                                                                     {"quickly"},
		"out: /nowhere/x.json, expected a file in a folder that is there":                     {"--out", "/nowhere/x.json"},
		"line 2: field executor not found":                                                    {"--description", file("unknown.yaml", "seed: 3\nexecutor: 9\n")},
		"line 1: cannot unmarshal !!str `some` into int":                                      {"--description", file("type.yaml", "executors: some\n")},
		"starts: -5, expected a number over 0":                                                {"--description", file("value.yaml", "starts: -5\n")},
		"description: open":                                                                   {"--description", filepath.Join(dir, "none.yaml")},
		"batch-share: 0.5, expected 0 where store-members is 0":                               {"--batch-share", "0.5"},
		"duration: 1ms, expected a span from 1s":                                              {"--description", file("ok.yaml", "executors: 9\n"), "--duration", "1ms"},
		"fault: leader, expected store-members over 0":                                        {"--fault", "leader", "--program", "/bin/true"},
		"processes: 101 are needed, and 200 may be used|bytes of memory|bytes of free memory": {"--dispatchers", "100", "--dispatcher-memory", "16384", "--program", "/bin/true"},
	} {
		cmd := command()
		cmd.SetArgs(append(args, "--out", out))
		if want[:4] == "out:" {
			cmd.SetArgs(args)
		}
		cmd.SetOut(&bytes.Buffer{})
		err := cmd.ExecuteContext(context.Background())
		found := false
		for _, w := range strings.Split(want, "|") {
			found = found || err != nil && strings.Contains(err.Error(), w)
		}
		if !found {
			t.Errorf("%v: want an error with %q, got %v", args, want, err)
		}
	}
	if _, err := os.Stat(out); err == nil {
		t.Error("a result file was written despite an error")
	}
}
