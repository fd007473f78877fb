package test

import (
	"bufio"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	testFunction = regexp.MustCompile(`^func ((?:Test|Fuzz|Benchmark)[A-Z]\w*)\(`)
	namedTest    = regexp.MustCompile(`\b(?:([a-z]\w*)\.)?((?:Test|Fuzz|Benchmark)[A-Z]\w*)`)
)

// historyPage describes earlier states of the project and keeps the test names of their time.
const historyPage = "ROADMAP.md"

// definedTests returns the tests, fuzz targets and benchmarks of the repository, each by its plain name and by its name qualified
// with the package.
func definedTests(t *testing.T) map[string]bool {
	t.Helper()
	defined := map[string]bool{}
	for _, dir := range packagesOf(t, "..") {
		files, err := filepath.Glob(filepath.Join("..", dir, "*_test.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range files {
			for line := range linesOf(t, path) {
				if match := testFunction.FindStringSubmatch(line); match != nil {
					defined[match[1]] = true
					defined[packageName(dir)+"."+match[1]] = true
				}
			}
		}
	}
	return defined
}

// packageName returns the name of the package in a folder, which is main for a command.
func packageName(dir string) string {
	if strings.HasPrefix(dir, "cmd"+string(filepath.Separator)) {
		return "main"
	}
	return filepath.Base(dir)
}

// linesOf iterates over the lines of a file and their numbers.
func linesOf(t *testing.T, path string) func(yield func(string, int) bool) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return func(yield func(string, int) bool) {
		scanner := bufio.NewScanner(strings.NewReader(string(data)))
		for number := 1; scanner.Scan(); number++ {
			if !yield(scanner.Text(), number) {
				return
			}
		}
	}
}

// undefinedTests returns the test names in a line that are not defined.
func undefinedTests(line string, defined map[string]bool) (undefined []string) {
	for _, match := range namedTest.FindAllStringSubmatch(line, -1) {
		name := match[2]
		if match[1] != "" {
			name = match[1] + "." + name
		}
		if !defined[name] {
			undefined = append(undefined, name)
		}
	}
	return undefined
}

// Guards against pages that still name a test by its old name after a rename.
func TestPagesNameTestsThatExist(t *testing.T) {
	defined, named := definedTests(t), 0
	err := filepath.WalkDir("../docs", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".md") || entry.Name() == historyPage {
			return err
		}
		for line, number := range linesOf(t, path) {
			named += len(namedTest.FindAllString(line, -1))
			for _, name := range undefinedTests(line, defined) {
				t.Errorf("%s:%d names %s, which is defined in no package", path, number, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if named < 100 {
		t.Errorf("found %d test names in the pages, want at least 100", named)
	}
}

func TestUndefinedTestsAreFound(t *testing.T) {
	defined := map[string]bool{"TestA": true, "node.TestA": true}
	if got := undefinedTests("`node.TestA`, `TestA`, `store.TestA`, `TestB`", defined); strings.Join(got, " ") != "store.TestA TestB" {
		t.Errorf("undefined tests: %q, want store.TestA and TestB", got)
	}
}
