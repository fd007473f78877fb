package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// What .ci/red lets pass: only tests that KNOWN-RED.txt lists by their exact names, three at most, that are there and fail.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../.ci/red")
	if err != nil {
		t.Fatal(err)
	}
	const passes, fails = "func TestGood(t *testing.T) {}\n", "func TestBad(t *testing.T) { t.Error(\"found \" + \"this\") }\n"
	const more = "func TestBadToo(t *testing.T) { t.Fatal(\"that too\") }\n"
	for _, x := range []struct {
		what, tests, list string
		ok                bool
		says              string
	}{
		{"no list, all pass", passes, "", true, "ok"},
		{"no list, one fails", passes + fails, "", false, "found this"},
		{"an empty list, one fails", passes + fails, "\n", false, "found this"},
		{"one that fails is listed", passes + fails, "TestBad, a real fault, issue 7\n", true, "found this"},
		{"two are", passes + fails + more, "TestBad, a, fault, issue 7\nTestBadToo, another, issue 7\n", true, "that too"},
		{"one is, and another fails", passes + fails + more, "TestBad, a real fault, issue 7\n", false, "that too"},
		{"its name is not exact", passes + more, "TestBad, a real fault, issue 7\n", false, "that too"},
		{"four lines", passes + fails, "TestBad, a, issue 7\nTestB, b, issue 7\nTestC, c, issue 7\nTestD, d, issue 7\n", false, "three at most"},
		{"a line names no test", passes, "TestGone, a real fault, issue 7\n", false, "there is no test TestGone"},
		{"its test passes now", passes, "TestGood, a real fault, issue 7\n", false, "passes now"},
		{"a line without a cause", passes + fails, "TestBad, issue 7\n", false, "is not"},
		{"a line without an issue", passes + fails, "TestBad, a real fault\n", false, "is not"},
		{"what is listed does not build", passes + "func TestBad(t *testing.T) { nothing }\n", "TestBad, a real fault, issue 7\n", false, "undefined"},
	} {
		t.Run(x.what, func(t *testing.T) {
			dir := t.TempDir()
			files := map[string]string{"go.mod": "module x\n", "x_test.go": "package x\n\nimport \"testing\"\n\n" + x.tests}
			if x.list != "" {
				files["KNOWN-RED.txt"] = x.list
			}
			for name, text := range files {
				if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			c := exec.Command(script, "KNOWN-RED.txt", "go test ./...")
			c.Dir = dir
			out, err := c.CombinedOutput()
			if (err == nil) != x.ok || !strings.Contains(string(out), x.says) {
				t.Errorf("%v: %s", err, out)
			}
		})
	}
}
