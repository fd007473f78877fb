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

// The roadmap tells of earlier rounds by the names of their time.
const historyPage = "ROADMAP.md"

// definedTests gives the tests, fuzz targets and benchmarks of the repository, each alone and with its package's folder.
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

// packageName gives the name of the package in a folder; that of a command is main.
func packageName(dir string) string {
	if strings.HasPrefix(dir, "cmd"+string(filepath.Separator)) {
		return "main"
	}
	return filepath.Base(dir)
}

// linesOf gives the lines of a file and their numbers.
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

// undefinedTests gives the names in a line that no test has.
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

// A page that names a test as its proof must not outlive a rename of it.
func TestPagesNameTestsThatExist(t *testing.T) {
	defined, named := definedTests(t), 0
	err := filepath.WalkDir("../docs", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".md") || entry.Name() == historyPage {
			return err
		}
		for line, number := range linesOf(t, path) {
			named += len(namedTest.FindAllString(line, -1))
			for _, name := range undefinedTests(line, defined) {
				t.Errorf("%s:%d names %s, which no package has", path, number, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if named < 100 {
		t.Errorf("only %d names of tests were found in the pages", named)
	}
}

func TestUndefinedTestsAreFound(t *testing.T) {
	defined := map[string]bool{"TestA": true, "node.TestA": true}
	if got := undefinedTests("`node.TestA`, `TestA`, `store.TestA`, `TestB`", defined); strings.Join(got, " ") != "store.TestA TestB" {
		t.Errorf("found %q", got)
	}
}
