package test

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The commands other than a running serve print the expected text, and fail with the fault of an unusable configuration.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.json", `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":`+defaultSettings+`}`)
	bad := write("bad.json", `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":`+
		strings.Replace(defaultSettings, `"balancers":1`, `"balancers":"many"`, 1)+`}`)
	file := write("gatetack.yaml", "batch:\n  listen: 127.0.0.1:8480\n")
	spoiled := write("spoiled.yaml", "batch:\n  listen: 192.0.2.1:8480\n")
	rows := write("rows.yaml", "inventory:\n  file: rows.csv\n")
	write("rows.csv", "name,address,zone,type,group,status\ns-1,127.0.0.1:1,tallinn,type-a,1,asleep\n")
	for _, c := range []struct {
		config, args, out string
		fails             bool
	}{
		{good, "version", "gatetack 0.3.0", false},
		{good, "check-config", "2 classes, 2 tenants", false},
		{good, "check-config --config " + file, "batch front on 127.0.0.1:8480", false},
		{good, "check-config --config ../deploy/standalone.yaml", "2 classes, 4 tenants", false},
		{good, "check-config --config ../deploy/standalone-booking.yaml", "3 classes, 2 tenants", false},
		{good, "check-config --config " + spoiled, "batch.listen", true},
		{good, "check-config --config " + rows, "line 2: status", true},
		{good, "check-config --config nowhere.yaml", "nowhere.yaml", true},
		{bad, "check-config", "balancers", true},
		{bad, "serve", "balancers", true},
		{"", "serve", "EDGE_CONFIG", true},
		{good, "serve --colour red", "colour", true},
		{good, "serve now", "now", true},
		{good, "sing", "unknown command", true},
		{good, "", "no command", true},
	} {
		cmd := exec.Command(program, strings.Fields(c.args)...)
		cmd.Env = append(os.Environ(), "EDGE_CONFIG="+c.config)
		out, err := cmd.CombinedOutput()
		var failed *exec.ExitError
		if err != nil && !errors.As(err, &failed) || (err != nil) != c.fails || !strings.Contains(string(out), c.out) {
			t.Errorf("gatetack %s: %v, want failure %v and %q in\n%s", c.args, err, c.fails, c.out, out)
		}
	}
}

// The released program is built without the tag faults and contains none of the environment variables of the test hooks.
func TestShippedProgramHasNoFailpoints(t *testing.T) {
	t.Parallel()
	shipped := filepath.Join(t.TempDir(), "gatetack")
	if out, err := exec.Command("go", "build", "-o", shipped, "gatetack/cmd/gatetack").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for path, has := range map[string]bool{shipped: false, program: true} {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"GATETACK_STOP_AT", "GATETACK_HOLD_AT", "GATETACK_CLOCK", "GATETACK_LINKS"} {
			if bytes.Contains(b, []byte(name)) != has {
				t.Errorf("%s: contains %s: %v", path, name, !has)
			}
		}
	}
}
