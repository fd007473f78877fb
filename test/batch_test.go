package test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/drmaa2"
	"gatetack/internal/testenv"
)

var kills = flag.Int("kills", 3, "how often the node is killed in TestKilledUnderLoad; the long run takes 20")

// The node is killed and restarted under load on both fronts. No tile-charge is started twice, by whichever front it was submitted;
// all jobs and arrays reach a final state, and the counters balance.
func TestKilledUnderLoad(t *testing.T) {
	s := newTestNode(t, 4, 25*time.Millisecond)
	for _, b := range s.executors {
		b.Set(func(h *testenv.Behavior) { h.FreeSlots, h.Slots = 4, 4 })
	}
	s.extraConfig = "  dir: " + filepath.Join(s.dir, "batch") + "\n"
	s.start()
	c := drmaa2.New(s.batch, "")
	defer c.Close()
	ctx, cancel := context.WithTimeout(s.ctx, 5*time.Minute)
	defer cancel()
	tileJob := drmaa2.Template{JobCategory: "tile-charge", AccountingID: "maavaade", Payload: "part $PARAMETRIC_INDEX"}
	var arrays, plain []string
	for run := range *kills + 1 {
		if run > 0 {
			s.start()
		}
		a, err := c.RunBulkJobs(ctx, drmaa2.Bulk{JobTemplate: tileJob, BeginIndex: 1, EndIndex: 60, MaxParallel: 5})
		if err != nil {
			t.Fatal(err)
		}
		arrays = append(arrays, a.JobArrayID)
		var g errgroup.Group
		loadCtx, stop := context.WithCancel(ctx)
		load := testenv.Load{Addr: s.listen, Clients: 3, Class: "tile-charge",
			Deadline: 5 * time.Second, Objective: time.Second, Prefix: fmt.Sprintf("10ad%04x", run)}
		g.Go(func() error { load.Run(loadCtx); return nil })
		for range 12 {
			if info, _, err := c.RunJob(ctx, tileJob); err == nil {
				plain = append(plain, info.JobID)
			}
			time.Sleep(20 * time.Millisecond)
		}
		// Members of the latest array are in flight when the node is killed.
		s.until("five members of the array are done", func() bool { a, err := c.JobArray(ctx, a.JobArrayID); return err == nil && a.Done >= 5 })
		if run < *kills {
			s.kill()
		}
		stop()
		_ = g.Wait()
		c.Close()
	}
	for _, id := range arrays {
		s.until("the array ends", func() bool { a, err := c.JobArray(ctx, id); return err == nil && a.Ended() })
	}
	done := 0
	for _, id := range arrays {
		for i := 1; i <= 60; i++ {
			j, err := c.Job(ctx, fmt.Sprintf("%s-%d", id, i))
			if err != nil || !j.Ended() {
				t.Fatalf("job %s-%d has not ended: %+v %v", id, i, j, err)
			}
			if j.JobState == "DONE" {
				done++
			}
		}
	}
	if done < len(arrays)*60-*kills*20 {
		t.Errorf("%d of %d array members are done", done, len(arrays)*60)
	}
	for _, id := range plain {
		if j, err := c.Job(ctx, id); err != nil || !j.Ended() {
			t.Errorf("job %s has not ended: %+v %v", id, j, err)
		}
	}
	keys := map[string]int{}
	for _, l := range s.starts() {
		for _, x := range l {
			keys[x.Idempotency]++
		}
	}
	for key, n := range keys {
		if n > 1 {
			t.Errorf("the tile-charge with key %s was started %d times, want once", key, n)
		}
	}
	s.checkCounts()
	_, batch := s.drmaa("GET", "/counts", "")
	if one, two := batch.Raw, s.counts().Raw; one != two {
		t.Errorf("counters of the batch front %s, of the platform front %s; want the same", one, two)
	}
}

// Half the executors drain while a large array runs: a draining executor gets no jobs after 500 ms, and each member runs once.
func TestArrayWhileExecutorsDrain(t *testing.T) {
	s := newTestNode(t, 4, 10*time.Millisecond)
	for _, b := range s.executors {
		b.Set(func(h *testenv.Behavior) { h.FreeSlots = 16 })
	}
	s.start()
	c := drmaa2.New(s.batch, "")
	defer c.Close()
	a, err := c.RunBulkJobs(s.ctx, drmaa2.Bulk{JobTemplate: drmaa2.Template{JobCategory: "area-render", AccountingID: "maavaade"}, BeginIndex: 1, EndIndex: 800, MaxParallel: 20})
	if err != nil {
		t.Fatal(err)
	}
	s.until("more than 100 members are done", func() bool { a, err := c.JobArray(s.ctx, a.JobArrayID); return err == nil && a.Done > 100 })
	for _, b := range s.executors[:2] {
		s.discovery.Put(b, "draining")
	}
	drainedAt := time.Now()
	s.until("the array has ended",
		func() bool { a, err = c.JobArray(s.ctx, a.JobArrayID); return err == nil && a.Ended() })
	if a.Done != 800 {
		t.Errorf("array %+v, want all 800 members done", a)
	}
	for _, b := range s.executors[:2] {
		for _, x := range b.Starts() {
			if late := x.At.Sub(drainedAt); late > 500*time.Millisecond {
				t.Errorf("job %s was sent %v after the drain", x.ID, late)
			}
		}
	}
	for id, l := range s.starts() {
		if len(l) > 1 {
			t.Errorf("job %s was started %d times", id, len(l))
		}
	}
}

// The commands exit with the documented codes, and an event watch resumes after its connection breaks, without missing or repeating
// an event.
func TestCommandLine(t *testing.T) {
	s := newTestNode(t, 2, 20*time.Millisecond)
	s.extraConfig = "  dir: " + filepath.Join(s.dir, "batch") + "\n"
	s.start()
	gatetack := func(code int, args ...string) string {
		t.Helper()
		cmd := exec.Command(program, args...)
		cmd.Env = append(os.Environ(), "GATETACK_ADDR="+s.batch)
		out, err := cmd.CombinedOutput()
		got := 0
		var failed *exec.ExitError
		if errors.As(err, &failed) {
			got = failed.ExitCode()
		}
		if got != code {
			t.Errorf("gatetack %s: exit code %d, want %d\n%s", strings.Join(args, " "), got, code, out)
		}
		return string(out)
	}
	template := filepath.Join(s.dir, "job.yaml")
	if err := os.WriteFile(template, []byte("jobCategory: tile-charge\naccountingId: maavaade\npayload: scene\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if out := gatetack(0, "job", "submit", "-f", template, "--name", "one", "--wait"); !strings.Contains(out, "DONE") || !strings.Contains(out, "one") {
		t.Error(out)
	}
	held := gatetack(0, "job", "submit", "-f", template, "--hold", "-o", "yaml")
	_, rest, _ := strings.Cut(held, "jobId: ")
	id, _, _ := strings.Cut(rest, "\n")
	gatetack(4, "job", "wait", id, "--timeout", "300ms")
	gatetack(0, "job", "release", id)
	gatetack(0, "job", "wait", id)
	gatetack(3, "job", "release", id)
	gatetack(3, "job", "show", "n0.1.x")
	gatetack(3, "job", "submit", "--category", "nothing", "--account", "maavaade")
	gatetack(2, "job", "submit", "--start", "sometime")
	gatetack(2, "job", "hold")
	gatetack(2, "job", "list", "-o", "xml")
	if out := gatetack(3, "job", "list", "--filter", "state = ASLEEP"); !strings.Contains(out, "column 9") {
		t.Error(out)
	}
	if out := gatetack(0, "job", "list", "--filter", "state = DONE and name = one", "-o", "json"); strings.Count(out, `"jobId"`) != 1 {
		t.Error(out)
	}
	if out := gatetack(0, "job", "bulk", "-f", template, "--end", "6", "--max-parallel", "2", "--wait"); !strings.Contains(out, "DONE") {
		t.Error(out)
	}
	gatetack(0, "session", "create", "night")
	gatetack(3, "session", "create", "night")
	if out := gatetack(0, "session", "list"); !strings.Contains(out, "night") {
		t.Error(out)
	}
	gatetack(0, "session", "destroy", "night")
	if out := gatetack(0, "machine", "list", "--filter", "status = ready"); !strings.Contains(out, s.executors[0].Name) {
		t.Error(out)
	}
	gatetack(1, "job", "list", "--addr", "127.0.0.1:1")
	gatetack(0, "completion", "bash")

	// The watch runs through a proxy that resets its connection several times.
	cut, err := testenv.NewSlowProxy(s.ctx, s.g, s.batch, testenv.Script{}, testenv.Script{StallAfter: 900, End: testenv.Reset}, 1)
	if err != nil {
		t.Fatal(err)
	}
	c, w := drmaa2.New(s.batch, ""), drmaa2.New(cut.Addr, "")
	defer c.Close()
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	events := make(chan drmaa2.Event, 1000)
	var g errgroup.Group
	g.Go(func() error { return w.Events(ctx, "", func(e drmaa2.Event) error { events <- e; return nil }) })
	s.until("the watch is connected", func() bool { return cut.Accepted() > 0 })
	time.Sleep(50 * time.Millisecond)
	want := map[string]bool{}
	for range 20 {
		info, _, err := c.RunJob(s.ctx, drmaa2.Template{JobCategory: "tile-charge", AccountingID: "maavaade"})
		if err != nil {
			t.Fatal(err)
		}
		if info, err = c.Wait(s.ctx, false, info.JobID); err != nil {
			t.Fatal(err)
		}
		want[info.JobID] = true
	}
	received := map[string]bool{}
	for len(want) > 0 {
		select {
		case e := <-events:
			if received[e.Cursor] {
				t.Errorf("event %s was received twice", e.Cursor)
			}
			received[e.Cursor] = true
			if e.JobState == "DONE" {
				delete(want, e.JobID)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("no DONE event of %d jobs within 20 s", len(want))
		}
	}
	if cut.Accepted() < 3 {
		t.Errorf("the watch connected %d times, want at least 3: its connection did not break", cut.Accepted())
	}
	stop()
	_ = g.Wait()
}

// A standalone node starts from the operator's file, without the platform's environment variables.
func TestStandalone(t *testing.T) {
	dir := t.TempDir()
	ports, err := testenv.FreeAddrs(2)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	defer func() { cancel(); _ = g.Wait() }()
	b, err := testenv.NewExecutor(ctx, &g, "render1", ports[0], 20*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	shipped, err := os.ReadFile("../deploy/standalone.yaml")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("127.0.0.1:8443", ports[0], "127.0.0.1:8480", ports[1], "/var/lib/gatetack/batch", "batch").Replace(string(shipped))
	file := filepath.Join(dir, "standalone.yaml")
	for name, text := range map[string]string{file: text, filepath.Join(dir, "boxes.csv"): "name,address,zone,type,group,status\nrender1," + b.Addr + ",tallinn,type-a,1,ready\n"} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	bare := func(args ...string) *exec.Cmd {
		cmd := exec.Command(program, args...)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir}
		return cmd
	}
	if out, err := bare("check-config", "--config", file).CombinedOutput(); err != nil || !strings.Contains(string(out), "batch jobs on record") {
		t.Fatalf("check-config: %v %s", err, out)
	}
	bad := filepath.Join(dir, "bad.yaml")
	if err := os.WriteFile(bad, []byte(strings.Replace(text, "balancers: 1", "balancers: many", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := bare("check-config", "--config", bad).CombinedOutput(); err == nil || !strings.Contains(string(out), "balancers") || !strings.Contains(string(out), "line ") {
		t.Errorf("check-config with an invalid number of balancers: %v %s, want the key and its line", err, out)
	}
	cmd := bare("serve", "--config", file)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
	c := drmaa2.New(ports[1], "")
	defer c.Close()
	testenv.Until(t, "the node serves", func() bool { _, err := c.Manager(ctx); return err == nil })
	testenv.Until(t, "a job is done", func() bool {
		info, _, err := c.RunJob(ctx, drmaa2.Template{JobCategory: "tile-charge", AccountingID: "pohjakaart"})
		if err != nil {
			return false
		}
		info, err = c.Wait(ctx, false, info.JobID)
		return err == nil && info.JobState == "DONE"
	})
}
