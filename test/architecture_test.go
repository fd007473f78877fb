package test

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const architecturePage = "../docs/ARCHITECTURE.md"

// packagesOf returns the folders below root that contain Go files, as paths relative to root.
func packagesOf(t *testing.T, root string) []string {
	t.Helper()
	var packages []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if path != root && (strings.HasPrefix(entry.Name(), ".") || slices.Contains([]string{"testdata", "journal", "bin"}, entry.Name())) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		dir, err := filepath.Rel(root, filepath.Dir(path))
		if err == nil && !slices.Contains(packages, dir) {
			packages = append(packages, dir)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return packages
}

// missingPackages returns the packages that the page does not name in code quotes.
func missingPackages(page string, packages []string) (missing []string) {
	for _, name := range packages {
		if !strings.Contains(page, "`"+name+"`") {
			missing = append(missing, name)
		}
	}
	return missing
}

func TestArchitecturePageNamesEveryPackage(t *testing.T) {
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	packages := packagesOf(t, "..")
	if !slices.Contains(packages, "internal/dispatch") || !slices.Contains(packages, "test") {
		t.Fatalf("the search for packages found only %q", packages)
	}
	for _, name := range missingPackages(string(page), packages) {
		t.Errorf("docs/ARCHITECTURE.md does not name package %s", name)
	}
}

func TestMissingPackagesAreFound(t *testing.T) {
	got := missingPackages("`internal/node` and internal/kv", []string{"internal/node", "internal/kv"})
	if !slices.Equal(got, []string{"internal/kv"}) {
		t.Errorf("missing: %q, want internal/kv alone", got)
	}
}
