package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/testenv"
)

// With a store, no job's outcome is lost at a restart: a job that had ended keeps its final state, a job that was sent
// is undetermined, only a job without a recorded send is reported as unsent, and no job runs again.
func TestRestartWithStore(t *testing.T) {
	s := newTestNode(t, 1, 10*time.Millisecond)
	s.extraConfig = fmt.Sprintf("store:\n  dir: store\n  listen: %s\n  members: {n0: %q}\n", s.store, s.store)
	s.start()
	done := s.submit(tile)
	if _, v := s.drmaa("GET", "/jobs/"+done+"/wait", ""); v.Get("jobState").String() != "DONE" {
		t.Fatalf("the first job: %s", v.Raw)
	}
	s.executors[0].Set(func(h *testenv.Behavior) { h.JobDuration = time.Minute })
	ids := map[string]string{} // by payload
	for i := range 12 {
		payload := fmt.Sprintf("job %d", i)
		ids[payload] = s.submit(fmt.Sprintf(`{"jobCategory":"area-render","accountingId":"maavaade","payload":%q}`, payload))
	}
	s.until("some run", func() bool { return len(s.executors[0].Starts()) > 1 }) // the first start is of the ended job
	s.kill()
	started := map[string]bool{}
	for _, x := range s.executors[0].Starts() {
		started[x.Body] = true
	}
	before := len(s.executors[0].Starts())
	s.start()
	if status, v := s.drmaa("GET", "/jobs/"+done, ""); status != 200 || v.Get("jobState").String() != "DONE" ||
		!strings.HasPrefix(v.Get("result").String(), "tile of ") {
		t.Errorf("job that had ended before the restart: %d %s", status, v.Raw)
	}
	stateCounts := map[string]int{}
	for payload, id := range ids {
		_, v := s.drmaa("GET", "/jobs/"+id, "")
		state, sub := v.Get("jobState").String(), v.Get("jobSubState").String()
		stateCounts[state+" "+sub]++
		switch {
		case started[payload] && state != "UNDETERMINED":
			t.Errorf("%s was started, but is reported as %s", payload, v.Raw)
		case state != "UNDETERMINED" && sub != "unsent" && sub != "refused":
			t.Errorf("%s has an unexpected state: %s", payload, v.Raw)
		}
	}
	if stateCounts["UNDETERMINED "] == 0 || len(stateCounts) < 2 {
		t.Errorf("states %v: too few kinds for a conclusive run", stateCounts)
	}
	if n := len(s.executors[0].Starts()); n != before {
		t.Errorf("%d starts after the restart", n-before)
	}
}

// The node uses an inventory file instead of discovery: it applies changes of the file, and an invalid row leaves the
// executor list unchanged.
func TestInventory(t *testing.T) {
	s := newTestNode(t, 2, 5*time.Millisecond)
	path := filepath.Join(s.dir, "boxes.csv")
	write := func(status, zone string) {
		t.Helper()
		text := "name,address,zone,type,group,status\n"
		for i, b := range s.executors {
			if i == 1 {
				status = "ready"
			}
			text += fmt.Sprintf("%s,%s,%s,type-a,1,%s\n", b.Name, b.Addr, zone, status)
		}
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write("ready", "tallinn")
	s.extraConfig = "inventory:\n  file: boxes.csv\n"
	s.start()
	id := 0
	serve := func() {
		t.Helper()
		id++
		if m, err := s.post("tile-charge", fmt.Sprintf("%016x", id)); err != nil || m.Status != 200 {
			t.Fatalf("job %d: %v %v", id, m, err)
		}
	}
	s.until("both executors are used", func() bool {
		serve()
		return len(s.executors[0].Starts()) > 0 && len(s.executors[1].Starts()) > 0
	})
	log := func() string { text, _ := os.ReadFile(s.log.Name()); return string(text) }
	write("draining", "riga")
	s.until("the invalid row is rejected", func() bool { return strings.Contains(log(), "line 2: zone") })
	serve()
	write("draining", "tallinn")
	s.until("the drain is applied", func() bool { return strings.Contains(log(), "msg=\"inventory changed\"") })
	before := len(s.executors[0].Starts())
	for range 10 {
		serve()
	}
	if n := len(s.executors[0].Starts()); n != before {
		t.Errorf("%d jobs were sent to a draining executor", n-before)
	}
	if s.discovery.Watches() != 0 {
		t.Error("discovery was watched although an inventory is configured")
	}
	if m, err := testenv.Call(s.listen, "GET", "/healthz", nil); err != nil || m.Status != 200 {
		t.Errorf("%v %v", m, err)
	}
}

// The store commands work with the member of a running node, and store verify with the directory of a stopped one.
func TestStoreCommands(t *testing.T) {
	s := newTestNode(t, 1, 20*time.Millisecond)
	s.extraConfig = "store:\n  dir: " + filepath.Join(s.dir, "store") + "\n  listen: " + s.store + "\n  members: {n0: \"" + s.store + "\"}\n"
	s.start()
	gatetack := func(code int, args ...string) string {
		t.Helper()
		cmd := exec.Command(program, append([]string{"store"}, args...)...)
		cmd.Env = append(os.Environ(), "GATETACK_STORE_ADDR="+s.store)
		out, err := cmd.CombinedOutput()
		if got := cmd.ProcessState.ExitCode(); got != code {
			t.Errorf("store %s: exit code %d, want %d: %v\n%s", strings.Join(args, " "), got, code, err, out)
		}
		return string(out)
	}
	s.until("the member is the leader", func() bool {
		out, err := exec.Command(program, "store", "status", "--store-addr", s.store).Output()
		return err == nil && gjson.GetBytes(out, "state").String() == "leader"
	})
	version := gjson.Get(gatetack(0, "set", "mark", "render1", "slow"), "version").String()
	if out := gatetack(0, "get", "mark", "render1"); gjson.Get(out, "value").String() != "slow" || gjson.Get(out, "version").String() != version {
		t.Error(out)
	}
	gatetack(3, "set", "mark", "render1", "well", "--if", "0")
	gatetack(0, "set", "mark", "render1", "well", "--if", version)
	if out := gatetack(0, "history", "mark", "render1"); strings.Count(out, `"version"`) != 2 {
		t.Error(out)
	}
	gatetack(3, "get", "mark", "render9")
	gatetack(2, "get", "mark")
	if out := gatetack(0, "list", "mark", "--prefix", "render"); strings.Count(out, "render1") != 1 {
		t.Error(out)
	}
	if out := gatetack(0, "watch", "--after", version, "--table", "mark", "--for", "200ms"); !strings.Contains(out, "well") {
		t.Error(out)
	}
	file := filepath.Join(s.dir, "backup")
	gatetack(0, "snapshot", file)
	gatetack(0, "delete", "mark", "render1")
	gatetack(0, "restore", file)
	gatetack(0, "get", "mark", "render1")
	if out := gatetack(0, "members"); !strings.Contains(out, `"n0"`) {
		t.Error(out)
	}
	gatetack(3, "leave", "n0")
	s.kill()
	gatetack(0, "verify", filepath.Join(s.dir, "store"))
}
