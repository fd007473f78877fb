package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/failpoint"
	"gatetack/internal/testenv"
)

// fleet is a set of nodes that are members of one store. The executors of all nodes have the same names and different addresses:
// as on the platform, each node reaches an executor at another address, and the executor calls that node back.
type fleet []*testNode

func newFleet(t *testing.T, n int, run time.Duration, env ...string) fleet {
	t.Helper()
	f := makeFleet(t, n, run)
	f[0].env = env // of the first node only
	f.startAll()
	return f
}

// makeFleet creates a fleet without starting its nodes.
func makeFleet(t *testing.T, n int, run time.Duration) fleet {
	t.Helper()
	var f fleet
	members := map[string]string{}
	for i := range n {
		s := newTestNode(t, 2, run)
		s.name = fmt.Sprintf("n%d", i)
		members[s.name] = s.store
		f = append(f, s)
	}
	var list []string
	for i := range f {
		list = append(list, fmt.Sprintf("n%d: %q", i, f[i].store))
	}
	for _, s := range f {
		s.extraConfig = fmt.Sprintf("store:\n  dir: store\n  listen: %s\n  members: {%s}\n  marks: marks\n", s.store, strings.Join(list, ", "))
	}
	return f
}

// startAll starts all nodes concurrently and waits until they serve.
func (f fleet) startAll() {
	done := make(chan struct{})
	for _, s := range f[1:] {
		go func() {
			defer func() { done <- struct{}{} }() // also if the node does not serve, which ends the test
			s.start()
		}()
	}
	f[0].start()
	for range f[1:] {
		<-done
	}
}

// signal sends a signal to the process.
func (s *testNode) signal(sig syscall.Signal) {
	s.t.Helper()
	if err := s.process.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

// starts returns how often the job with a payload was started, over all executors of all nodes.
func (f fleet) starts(payload string) (n int) {
	for _, s := range f {
		for _, b := range s.executors {
			for _, x := range b.Starts() {
				if x.Body == payload {
					n++
				}
			}
		}
	}
	return n
}

func (s *testNode) submitUntilAccepted(t *testing.T, template string) string {
	t.Helper()
	var id string
	s.until("a submission is accepted", func() bool {
		status, v := s.drmaa("POST", "/jobs", template)
		id = v.Get("jobId").String()
		return status == 201
	})
	return id
}

// A node is stopped for longer than its lease, another one takes over its partition and runs its waiting jobs, and then the node is
// resumed. It must not start any of these jobs a second time. The job that had been sent is reported as indeterminate and is not
// sent again, and the resumed node gives the same answers about its former jobs as their new owner.
func TestResumedOwnerStartsNothingTwice(t *testing.T) {
	f := newFleet(t, 3, 50*time.Millisecond)
	old := f[0]
	for _, b := range old.executors {
		b.Set(func(h *testenv.Behavior) { h.JobDuration = time.Hour }) // a job that was sent stays in flight
	}
	template := `{"jobCategory":"tile-charge","accountingId":"maavaade","payload":%q%s}`
	sent := old.submitUntilAccepted(t, fmt.Sprintf(template, "sent", ""))
	old.until("the first job runs", func() bool { return f.starts("sent") == 1 })
	held, due := map[string]string{}, map[string]string{}
	for i := range 6 {
		p := fmt.Sprintf("held %d", i)
		held[p] = old.submitUntilAccepted(t, fmt.Sprintf(template, p, `,"submitAsHold":true`))
	}
	at := time.Now().Add(4 * time.Second)
	for i := range 6 {
		p := fmt.Sprintf("due %d", i)
		due[p] = old.submitUntilAccepted(t, fmt.Sprintf(template, p, fmt.Sprintf(`,"startTime":%q`, at.UTC().Format(time.RFC3339Nano))))
	}
	old.signal(syscall.SIGSTOP)
	old.until("the process is stopped", old.isStopped) // a running process could still execute a call and lose its response

	// Any other node accepts calls for these jobs and forwards them to their present owner.
	for i, id := range mapValues(held) {
		s := f[1+i%2]
		s.until("a held job of the stopped node can be released", func() bool {
			status, _ := s.drmaa("POST", "/jobs/"+id+"/release", "")
			return status == 200
		})
	}
	state := func(s *testNode, id string) string {
		_, v := s.drmaa("GET", "/jobs/"+id, "")
		return v.Get("jobState").String()
	}
	for _, jobs := range []map[string]string{held, due} {
		for p, id := range jobs {
			f[1].until(p+" is done", func() bool { return state(f[1], id) == "DONE" })
		}
	}
	if got := state(f[2], sent); got != "UNDETERMINED" {
		t.Errorf("the job that was sent is reported as %s, want UNDETERMINED: it may have run", got)
	}

	old.signal(syscall.SIGCONT)
	old.until("the resumed node answers about its former jobs as their owner does", func() bool {
		for _, id := range held {
			if state(old, id) != "DONE" {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second) // for sends that may still follow
	for _, jobs := range []map[string]string{held, due, {"sent": sent}} {
		for p := range jobs {
			if n := f.starts(p); n != 1 {
				t.Errorf("job %q started %d times, want once", p, n)
			}
		}
	}
	if got := state(f[1], sent); got != "UNDETERMINED" {
		t.Errorf("the job that was sent is reported as %s after its former owner resumed, want UNDETERMINED", got)
	}
	// An operator resolves the indeterminate job at any node, and every node reports the outcome and the operator's name.
	doubt := func(args ...string) (string, error) {
		out, err := exec.Command(program, append([]string{"job", "doubt", "--addr", f[2].batch}, args...)...).CombinedOutput()
		return string(out), err
	}
	if out, err := doubt("list"); err != nil || !strings.Contains(out, sent) {
		t.Errorf("job doubt list: %v %s", err, out)
	}
	if out, err := doubt("resolve", sent, "--as", "unsent", "--by", "kadri"); err == nil {
		t.Errorf("a job that must not run twice was resolved as unsent without force: %s", out)
	}
	if out, err := doubt("resolve", sent, "--as", "done", "--by", "kadri", "--why", "the tile is there"); err != nil {
		t.Errorf("resolving the job as done: %v %s", err, out)
	}
	for _, s := range f {
		s.until("the job is reported as done, with the operator's name", func() bool {
			_, v := s.drmaa("GET", "/jobs/"+sent, "")
			return v.Get("jobState").String() == "DONE" && strings.Contains(v.Get("annotation").String(), "by kadri")
		})
	}
	if out, err := doubt("resolve", sent, "--as", "failed", "--by", "kadri"); err == nil {
		t.Errorf("a job resolved as done was resolved again as failed: %s", out)
	}
	// The resumed node does not reclaim its former partition and accepts new jobs in a new one.
	id := old.submitUntilAccepted(t, fmt.Sprintf(template, "after", `,"submitAsHold":true`))
	if status, v := old.drmaa("POST", "/jobs/"+id+"/terminate", ""); status != 200 {
		t.Errorf("terminating a new job of the resumed node: %d %s", status, v.Raw)
	}
}

// A killed node's partition gets another owner, which runs its waiting jobs. After its restart the node owns a new partition and
// forwards calls for its former jobs. The duty command shows the owners, releases a lease and moves it to another node.
func TestDutyCommands(t *testing.T) {
	f := newFleet(t, 3, 20*time.Millisecond)
	template := `{"jobCategory":"area-render","accountingId":"maavaade","payload":%q,"submitAsHold":true}`
	id := f[0].submitUntilAccepted(t, fmt.Sprintf(template, "kept"))
	part := id[:strings.LastIndexByte(id, '.')]
	incarnation := part[strings.LastIndexByte(part, '.')+1:]
	key := "n0." + strings.Repeat("0", 12-len(incarnation)) + incarnation
	duties := func(args ...string) string {
		t.Helper()
		out, err := exec.Command(program, append([]string{"duty"}, append(args, "--store-addr", f[1].store)...)...).CombinedOutput()
		if err != nil {
			t.Fatalf("duty %v: %v\n%s", args, err, out)
		}
		return string(out)
	}
	owner := func() (name string) {
		for _, x := range gjson.Parse(duties("list", "--output", "json")).Array() {
			if x.Get("duty").String() == key && x.Get("living").Bool() {
				name = x.Get("owner").String()
			}
		}
		return name
	}
	if got := owner(); got != "n0" {
		t.Fatalf("the partition is owned by %q, want n0:\n%s", got, duties("list"))
	}
	f[0].kill()
	var newOwner string
	f[1].until("the partition has another owner",
		func() bool { newOwner = owner(); return newOwner != "" && newOwner != "n0" })
	f[0].start()
	if text := duties("show", key); !strings.Contains(text, "taken over from n0") || strings.Count(text, "epoch ") < 2 {
		t.Error(text)
	}
	// The restarted node is queried for the job; then an operator takes the partition from its new owner, and any node may get it.
	f[0].until("the former owner forwards calls", func() bool {
		status, v := f[0].drmaa("GET", "/jobs/"+id, "")
		return status == 200 && v.Get("jobState").String() == "QUEUED_HELD"
	})
	duties("release", key)
	f[1].until("the partition has an owner again", func() bool { return owner() != "" })
	duties("move", key, "n2")
	f[2].until("the partition is at the node to which it was moved", func() bool { return owner() == "n2" })
	f[0].until("the job is released", func() bool {
		status, _ := f[0].drmaa("POST", "/jobs/"+id+"/release", "")
		return status == 200
	})
	f[2].until("the job is done", func() bool {
		_, v := f[2].drmaa("GET", "/jobs/"+id, "")
		return v.Get("jobState").String() == "DONE"
	})
	if n := f.starts("kept"); n != 1 {
		t.Errorf("the job started %d times", n)
	}
}

// Two processes are started under the same node name. The later one owns all that is stored under the name, and the earlier one
// accepts no batch jobs. No job of either runs twice.
func TestNameStartedTwice(t *testing.T) {
	f := newFleet(t, 3, 20*time.Millisecond)
	template := `{"jobCategory":"tile-charge","accountingId":"maavaade","payload":%q,"submitAsHold":true}`
	id := f[0].submitUntilAccepted(t, fmt.Sprintf(template, "twin"))
	f[0].signal(syscall.SIGSTOP)
	twin := newTestNode(t, 2, 20*time.Millisecond)
	twin.name = "n0"
	twin.extraConfig = strings.Replace(f[0].extraConfig, "listen: "+f[0].store, "listen: "+twin.store, 1)
	// A node with the same name at another address becomes a member of the store only by joining. The operators' mistake in this test
	// is that the earlier process resumes after its name was given to another machine, which has an empty folder.
	twin.extraConfig = fmt.Sprintf("store:\n  dir: store\n  listen: %s\n  join: %s\n", twin.store, f[1].store)
	twin.until("the store lets the second process join in place of the first one", func() bool {
		out, _ := exec.Command(program, "store", "join", "n0", twin.store, "--store-addr", f[1].store).CombinedOutput()
		return strings.Contains(string(out), twin.store)
	})
	twin.start()
	f = append(f, twin)
	twin.until("the later process accepts jobs", func() bool {
		status, _ := twin.drmaa("POST", "/jobs", fmt.Sprintf(template, "of the twin"))
		return status == 201
	})
	f[1].until("the job can be released", func() bool {
		status, _ := f[1].drmaa("POST", "/jobs/"+id+"/release", "")
		return status == 200
	})
	f[1].until("the job is done", func() bool {
		_, v := f[1].drmaa("GET", "/jobs/"+id, "")
		return v.Get("jobState").String() == "DONE"
	})
	f[0].signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	if n := f.starts("twin"); n != 1 {
		t.Errorf("the job started %d times", n)
	}
	if status, v := f[0].drmaa("POST", "/jobs", fmt.Sprintf(template, "late")); status == 201 {
		t.Errorf("the earlier process accepted a job: %s", v.Raw)
	}
}

func mapValues(m map[string]string) (out []string) {
	for _, v := range m {
		out = append(out, v)
	}
	return out
}

// isStopped reports whether every thread of the process is stopped. After a signal or at a failpoint, some threads run on for a
// moment after others have stopped.
func (s *testNode) isStopped() bool { return isStopped(s.process.Process.Pid) }

func isStopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		_, rest, _ := strings.Cut(string(stat), ") ")
		if err != nil || !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return err == nil && len(threads) > 0
}

// An owner is stopped at a failpoint for longer than its lease and is resumed once another node owns its partition. A job whose
// hand-over was not stored runs at the new owner only; one whose intent to send was stored is indeterminate there. The resumed
// owner starts no job a second time.
func TestOwnerStoppedAtNamedPoints(t *testing.T) {
	for _, x := range []struct {
		point string
		want  string // the final state that the new owner reports
	}{{"hand", "DONE"}, {"intent", "UNDETERMINED"}, {"byte", "UNDETERMINED"}} {
		t.Run(x.point, func(t *testing.T) {
			f := newFleet(t, 3, 50*time.Millisecond, "GATETACK_STOP_AT="+x.point)
			old, newOwner := f[0], f[1]
			id := old.submitUntilAccepted(t, `{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"the job","submitAsHold":true}`)
			go func() { // the response may never come
				_, _ = testenv.Call(old.batch, "POST", "/drmaa2/v1/jobs/"+id+"/release", nil)
			}()
			old.until("the owner is stopped at the failpoint", old.isStopped)
			state := func(s *testNode) string {
				_, v := s.drmaa("GET", "/jobs/"+id, "")
				return v.Get("jobState").String()
			}
			newOwner.until("another node owns the job", func() bool {
				got := state(newOwner)
				return newOwner.logContains("partition adopted") || f[2].logContains("partition adopted") || got == "UNDETERMINED"
			})
			if x.want == "DONE" {
				newOwner.until("the job can be released at the new owner", func() bool {
					status, v := newOwner.drmaa("POST", "/jobs/"+id+"/release", "")
					return status == 200 || v.Get("jobState").String() == "DONE" // the first release may be stored
				})
			}
			newOwner.until("the new owner reports the job as "+x.want, func() bool { return state(newOwner) == x.want })
			old.signal(syscall.SIGCONT)
			old.until("the resumed owner reports the same state", func() bool { return state(old) == x.want })
			time.Sleep(time.Second) // for sends and writes that may still follow
			if n := f.starts("the job"); n > 1 || x.point != "intent" && n != 1 {
				t.Errorf("the job started %d times", n)
			}
			if got := state(newOwner); got != x.want {
				t.Errorf("the new owner reports the job as %s after the former one resumed, want %s", got, x.want)
			}
		})
	}
}

// With the fencing check compiled out, the resumed owner starts a job that another node has done. This shows that the test above
// depends on the fence.
func TestResumedOwnerWithoutFence(t *testing.T) {
	unfenced := buildWithoutGuard(t, failpoint.Fence)
	f := makeFleet(t, 3, 50*time.Millisecond)
	for _, s := range f {
		s.program = unfenced
	}
	f[0].env = []string{"GATETACK_STOP_AT=" + failpoint.JobHandOver}
	f.startAll()
	old, newOwner := f[0], f[1]
	id := old.submitUntilAccepted(t,
		`{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"the job","submitAsHold":true}`)
	go func() { _, _ = testenv.Call(old.batch, "POST", "/drmaa2/v1/jobs/"+id+"/release", nil) }()
	old.until("the owner is stopped at the failpoint", old.isStopped)
	newOwner.until("the job is done at the new owner", func() bool {
		_, _ = newOwner.drmaa("POST", "/jobs/"+id+"/release", "")
		_, v := newOwner.drmaa("GET", "/jobs/"+id, "")
		return v.Get("jobState").String() == "DONE"
	})
	old.signal(syscall.SIGCONT)
	old.until("the resumed owner starts the job again", func() bool { return f.starts("the job") == 2 })
}

// The nodes of a fleet are shut down and restarted one after the other, and then all at once, while jobs are held, wait for their
// start time or run. Each job runs once, and none becomes indeterminate.
func TestRollingUpgrade(t *testing.T) {
	f := newFleet(t, 3, 200*time.Millisecond)
	jobs := map[string]string{} // ids by payload
	submit := func(round string) {
		for i, s := range f {
			for _, x := range []struct{ what, more string }{
				{"held", `,"submitAsHold":true`}, {"due", fmt.Sprintf(`,"startTime":%q`, time.Now().Add(2*time.Second).UTC().Format(time.RFC3339Nano))}, {"now", ""},
			} {
				p := fmt.Sprintf("%s %s %d", round, x.what, i)
				jobs[p] = s.submitUntilAccepted(t, fmt.Sprintf(`{"jobCategory":"tile-charge","accountingId":"maavaade","payload":%q%s}`, p, x.more))
			}
		}
	}
	ended := func() {
		t.Helper()
		for p, id := range jobs {
			s := f[len(p)%len(f)]
			s.until(p+" is done", func() bool {
				if strings.Contains(p, "held") {
					s.call("POST", "/jobs/"+id+"/release", "")
				}
				_, v := s.call("GET", "/jobs/"+id, "")
				if v.Get("jobState").String() == "UNDETERMINED" {
					t.Fatalf("job %q is indeterminate: %s", p, v.Raw)
				}
				return v.Get("jobState").String() == "DONE"
			})
			if n := f.starts(p); n != 1 {
				t.Errorf("job %q started %d times, want once", p, n)
			}
		}
	}
	for i, s := range f {
		submit(fmt.Sprint("upgrade ", i))
		if err := s.terminate(); err != nil {
			t.Fatalf("%s: %v", s.name, err)
		}
		s.start()
	}
	ended()
	submit("all")
	done := make(chan error, len(f))
	for _, s := range f {
		go func() { done <- s.terminate() }()
	}
	for range f {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	f.startAll()
	ended()
}

// A node is lost while an executor runs its job, and the new owner of its partition reports the job as indeterminate. Once a
// process listens at the node's address again, the executor's callback reaches it, and every node reports the job as done. It ran
// once.
func TestExecutorCallbackAfterNodeLoss(t *testing.T) {
	f := newFleet(t, 3, 9*time.Second)
	id := f[0].submitUntilAccepted(t, `{"jobCategory":"area-render","accountingId":"maavaade","payload":"long"}`)
	f[0].until("the job runs", func() bool { return f.starts("long") == 1 })
	f[0].kill()
	state := func(s *testNode) string {
		_, v := s.call("GET", "/jobs/"+id, "")
		return v.Get("jobState").String()
	}
	f[1].until("the job is indeterminate", func() bool { return state(f[1]) == "UNDETERMINED" })
	f[0].start()
	for _, s := range f {
		s.until("the job is done at "+s.name, func() bool { return state(s) == "DONE" })
		if _, v := s.call("GET", "/jobs/"+id, ""); !strings.HasPrefix(v.Get("result").String(), "tile of ") {
			t.Errorf("%s: job %s, want the executor's result", s.name, v.Raw)
		}
	}
	if n := f.starts("long"); n != 1 {
		t.Errorf("the job started %d times", n)
	}
	sentRecords, _ := f[1].storeCommand("list", "sent")
	if strings.Contains(sentRecords, id) {
		t.Errorf("the record of the send is still stored: %s", sentRecords)
	}
}

// Review case 10: a node is silent until another one has taken its jobs over, and is sent deletes of them meanwhile. What it
// answers once it is back is what the new owner says: it confirms no delete of a job that has run or will run.
func TestSilentNodeConfirmsNoDelete(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 50*time.Millisecond)
	lead := f.leader()
	silent, other := f[(lead+1)%3], f[lead]
	const outage = 8 * time.Second
	payloads, ids := []string{"in the outage", "after the outage"}, []string{}
	for i, in := range []time.Duration{6 * time.Second, outage + 5*time.Second} {
		ids = append(ids, silent.submitUntilAccepted(t, fmt.Sprintf(`{"jobCategory":"tile-charge","accountingId":"maavaade","payload":%q,"startTime":%q}`,
			payloads[i], time.Now().Add(in).UTC().Format(time.RFC3339Nano))))
	}
	silent.signal(syscall.SIGSTOP)
	back := time.After(outage)
	other.until("the first job has run elsewhere", func() bool {
		_, v := other.drmaa("GET", "/jobs/"+ids[0], "")
		return v.Get("jobState").String() == "DONE"
	})
	statuses := make([]chan int, len(ids))
	for i, id := range ids {
		statuses[i] = make(chan int, 1)
		go func() {
			m, err := testenv.CallFor(silent.batch, 30*time.Second, "DELETE", "/drmaa2/v1/jobs/"+id, nil)
			if err != nil {
				statuses[i] <- 0
				return
			}
			statuses[i] <- m.Status
		}()
	}
	<-back
	silent.signal(syscall.SIGCONT)
	if status := <-statuses[0]; status == 200 {
		t.Error("the delete of a job that has run was confirmed")
	}
	second := <-statuses[1]
	time.Sleep(6 * time.Second) // past the start time of the second job
	if n := f.starts(payloads[1]); second == 200 && n > 0 {
		t.Errorf("the delete was confirmed, and the job was started %d times", n)
	}
	if n := f.starts(payloads[0]); n != 1 {
		t.Errorf("the first job was started %d times", n)
	}
}
