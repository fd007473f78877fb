package test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/testenv"
)

// Jobs go through both fronts at the same time. Both fronts report the same counters, and no executor gets a job twice.
func TestBothFronts(t *testing.T) {
	s := newTestNode(t, 3, 30*time.Millisecond)
	for _, b := range s.executors { // callbacks may repeat, and may come before the 202
		b.Set(func(h *testenv.Behavior) { h.EarlyCallbacks, h.CallbackRepeats = b == s.executors[0], 3 })
	}
	s.start()
	// The node rejects jobs beyond its tokens, so some are served and some rejected; the clients' responses are the expected counts.
	const n = 24
	var mu sync.Mutex
	served, refused := map[string]int{}, map[string]int{}
	count := func(front string, ok, no bool, what string) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case ok:
			served[front]++
		case no:
			refused[front]++
		default:
			t.Errorf("%s front: response is neither served nor rejected: %s", front, what)
		}
	}
	var g errgroup.Group
	for i := range n {
		g.Go(func() error {
			id := fmt.Sprintf("%016x", i+1)
			m, err := s.post([]string{"tile-charge", "area-render"}[i%2], id)
			if err != nil {
				return err
			}
			count("platform", m.Status == 200 && string(m.Body) == "tile of "+id, m.Status == 503, string(m.Body))
			return nil
		})
		id := s.submit(tile)
		g.Go(func() error {
			m, err := testenv.Call(s.batch, "GET", "/drmaa2/v1/jobs/"+id+"/wait", nil)
			if err != nil {
				return err
			}
			v := gjson.ParseBytes(m.Body)
			count("batch", v.Get("jobState").String() == "DONE" && strings.HasPrefix(v.Get("result").String(), "tile of "),
				v.Get("jobSubState").String() == "refused", v.Raw)
			return nil
		})
		time.Sleep(10 * time.Millisecond)
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	_, batch := s.drmaa("GET", "/counts", "")
	platform, err := testenv.Call(s.listen, "GET", "/counts", nil)
	if err != nil {
		t.Fatal(err)
	}
	if batch.Raw != string(platform.Body) {
		t.Errorf("counters of the batch front %s, of the platform front %s; want the same", batch.Raw, platform.Body)
	}
	if served["platform"] == 0 || served["batch"] == 0 {
		t.Errorf("served %v: one of the fronts served no job", served)
	}
	all := served["platform"] + served["batch"]
	for name, want := range map[string]int{"taken": 2 * n, "served": all, "refused": refused["platform"] + refused["batch"],
		"sends": all, "failed": 0, "open": 0} {
		if got := int(batch.Get(name).Int()); got != want {
			t.Errorf("counter %s is %d, want %d by the clients' responses", name, got, want)
		}
	}
	starts := s.starts()
	if len(starts) != all {
		t.Errorf("%d jobs reached the executors, want %d", len(starts), all)
	}
	for id, l := range starts {
		if len(l) != 1 {
			t.Errorf("job %s was started %d times, want once", id, len(l))
		}
		if x := l[0]; strings.HasPrefix(x.Body, "body of ") && (x.Target[len(x.Target)-8:] != "/cut?z=3" || x.Idempotency != "key-"+id) {
			t.Errorf("job %s was changed on its way: %+v", id, x)
		}
	}
	for _, b := range s.executors {
		for _, status := range b.CallbackStatuses() {
			if status != 200 && status != 204 {
				t.Errorf("a callback got status %d, want 200 or 204", status)
			}
		}
	}
}

// An executor gets no jobs through either front later than 500 ms after it was listed as draining.
func TestDrain(t *testing.T) {
	s := newTestNode(t, 2, 20*time.Millisecond)
	s.start()
	drained := s.executors[0]
	load := func(from, to int) {
		var g errgroup.Group
		for i := from; i < to; i++ {
			g.Go(func() error { _, err := s.post("tile-charge", fmt.Sprintf("%016x", i+1)); return err })
			s.submit(tile)
			time.Sleep(15 * time.Millisecond)
		}
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	}
	load(0, 20)
	if len(drained.Starts()) == 0 {
		t.Fatal("the executor got no job before its drain, so the test would prove nothing")
	}
	s.discovery.Put(drained, "draining")
	drainedAt := time.Now()
	load(20, 70) // for more than 500 ms
	for _, x := range drained.Starts() {
		if late := x.At.Sub(drainedAt); late > 500*time.Millisecond {
			t.Errorf("job %s was sent %v after the drain", x.ID, late)
		}
	}
	if len(s.executors[1].Starts()) == 0 {
		t.Error("the other executor got no job")
	}
}

// A termination ends a job that was not sent. A job that was sent is not stopped, and its result still arrives.
func TestTerminate(t *testing.T) {
	s := newTestNode(t, 1, 700*time.Millisecond)
	s.start()
	running := s.submit(tile)
	s.until("the job runs", func() bool { return len(s.executors[0].Starts()) == 1 })
	status, v := s.drmaa("GET", "/jobs/"+running+"/wait?for=started", "")
	if status != 200 || v.Get("jobState").String() != "RUNNING" {
		t.Fatalf("waiting for its start: %d %s", status, v.Raw)
	}
	if status, v = s.drmaa("DELETE", "/jobs/"+running, ""); status != 409 || v.Get("jobState").String() != "RUNNING" {
		t.Errorf("terminating a running job: %d %s", status, v.Raw)
	}
	// More jobs fill the executor; the node queues those without a free slot, and rejects those beyond its queue limit.
	ended, others := "", []string{}
	for i := 0; ended == "" && i < 200; i++ {
		id := s.submit(`{"jobCategory":"area-render","accountingId":"maavaade"}`)
		switch status, v = s.drmaa("POST", "/jobs/"+id+"/terminate", ""); {
		case status == 200 && v.Get("jobState").String() == "FAILED" && v.Get("jobSubState").String() == "terminated":
			ended = id
		case status == 409 && v.Get("jobSubState").String() != "terminated":
			others = append(others, id)
		default:
			t.Fatalf("terminating job %s: %d %s", id, status, v.Raw)
		}
	}
	if status, v = s.drmaa("DELETE", "/jobs/"+ended, ""); status != 409 || v.Get("jobState").String() != "FAILED" {
		t.Errorf("terminating it again: %d %s", status, v.Raw)
	}
	if status, v = s.drmaa("GET", "/jobs/"+running+"/wait", ""); status != 200 || v.Get("jobState").String() != "DONE" {
		t.Errorf("the job that was not stopped: %d %s", status, v.Raw)
	}
	done := 1
	for _, id := range others {
		switch _, v := s.drmaa("GET", "/jobs/"+id+"/wait", ""); {
		case v.Get("jobState").String() == "DONE":
			done++
		case v.Get("jobSubState").String() != "refused":
			t.Errorf("job %s: %s", id, v.Raw)
		}
	}
	if n := len(s.executors[0].Starts()); n != done {
		t.Errorf("%d starts, want one for each of the %d jobs that are done", n, done)
	}
	if _, v = s.drmaa("GET", "/counts", ""); v.Get("terminated").Int() != 1 || v.Get("open").Int() != 0 {
		t.Errorf("counts: %s", v.Raw)
	}
	if got := s.executors[0].Canceled(); len(got) != 0 {
		t.Errorf("jobs were canceled at the executor: %v", got)
	}
}

// After a restart without stored jobs, a status query reports no state that the node does not know, and no job runs again.
func TestRestart(t *testing.T) {
	s := newTestNode(t, 1, 10*time.Second)
	s.start()
	old := s.submit(tile)
	s.until("the job runs", func() bool { return len(s.executors[0].Starts()) == 1 })
	s.kill()
	if _, err := testenv.Call(s.batch, "GET", "/drmaa2/v1/jobs/"+old, nil); err == nil {
		t.Fatal("a killed node answers")
	}
	s.start()
	status, v := s.drmaa("GET", "/jobs/"+old, "")
	if status != 200 || v.Get("jobState").String() != "UNDETERMINED" {
		t.Errorf("a job of an earlier incarnation: %d %s, want UNDETERMINED", status, v.Raw)
	}
	if status, v = s.drmaa("DELETE", "/jobs/"+old, ""); status != 409 || v.Get("jobState").String() != "UNDETERMINED" {
		t.Errorf("terminating the job of an earlier incarnation: %d %s", status, v.Raw)
	}
	if status, _ = s.drmaa("GET", "/jobs/n0.zz.1", ""); status != 404 {
		t.Errorf("an ID of no incarnation: status %d, want 404", status)
	}
	next := s.submit(`{"jobCategory":"area-render","accountingId":"maavaade"}`)
	if next == old {
		t.Errorf("the ID %s was assigned twice", next)
	}
	s.until("the new job runs", func() bool { return len(s.executors[0].Starts()) == 2 })
	if a := s.executors[0].Starts(); a[0].ID == a[1].ID {
		t.Errorf("job %s was started again", a[0].ID)
	}
}

// A bad submission is rejected with the name of the field, and does not reach the core.
func TestBadSubmissions(t *testing.T) {
	s := newTestNode(t, 1, 10*time.Millisecond)
	s.start()
	for _, c := range []struct{ body, field, code string }{
		{`{`, "body", "INVALID_ARGUMENT"},
		{`[]`, "body", "INVALID_ARGUMENT"},
		{`{"accountingId":"maavaade"}`, "jobCategory", "INVALID_ARGUMENT"},
		{`{"jobCategory":"tile"}`, "jobCategory", "INVALID_ARGUMENT"},
		{`{"jobCategory":"tile-charge"}`, "accountingId", "INVALID_ARGUMENT"},
		{`{"jobCategory":"tile-charge","accountingId":7}`, "accountingId", "INVALID_ARGUMENT"},
		{`{"jobCategory":"tile-charge","accountingId":"maavaade","jobCategory":"area-render"}`, "jobCategory", "INVALID_ARGUMENT"},
		{`{"jobCategory":"tile-charge","accountingId":"maavaade","minSlots":0.5}`, "minSlots", "INVALID_ARGUMENT"},
		{`{"jobCategory":"tile-charge","accountingId":"maavaade","remoteCommand":"/area-render"}`, "remoteCommand", "INVALID_ARGUMENT"},
		{`{"jobCategory":"tile-charge","accountingId":"maavaade","remoteCommand":"/tile-charge HTTP/1.1\r\nX: y"}`, "remoteCommand", "INVALID_ARGUMENT"},
		{`{"jobCategory":"tile-charge","accountingId":"maavaade","deadlineTime":"tomorrow"}`, "deadlineTime", "INVALID_ARGUMENT"},
		{`{"jobCategory":"tile-charge","accountingId":"maavaade","deadlineTime":"2001-01-01T00:00:00Z"}`, "deadlineTime", "INVALID_ARGUMENT"},
		{`{"jobCategory":"tile-charge","accountingId":"maavaade","email":["a"]}`, "email", "UNSUPPORTED_ATTRIBUTE"},
		{`{"jobCategory":"tile-charge","accountingId":"maavaade","colour":"red"}`, "colour", "INVALID_ARGUMENT"},
	} {
		status, v := s.drmaa("POST", "/jobs", c.body)
		if status != 400 || v.Get("field").String() != c.field || v.Get("error").String() != c.code {
			t.Errorf("%s: %d %s, want 400 %s for %s", c.body, status, v.Raw, c.code, c.field)
		}
	}
	if status, _ := s.drmaa("PUT", "/jobs", ""); status != 405 {
		t.Errorf("PUT: %d", status)
	}
	if _, v := s.drmaa("GET", "/counts", ""); v.Get("taken").Int() != 0 || v.Get("sends").Int() != 0 {
		t.Errorf("a bad submission reached the core: %s", v.Raw)
	}
}

// A sent job fails at its deadline; a job whose deadline passes before it is sent is rejected.
func TestDeadlines(t *testing.T) {
	s := newTestNode(t, 1, 20*time.Second)
	s.start()
	began := time.Now()
	id := s.submit(fmt.Sprintf(`{"jobCategory":"tile-charge","accountingId":"maavaade","deadlineTime":%q}`,
		began.Add(1500*time.Millisecond).Format(time.RFC3339Nano)))
	status, v := s.drmaa("GET", "/jobs/"+id+"/wait?timeoutMs=100", "")
	if status != 504 || v.Get("error").String() != "TIMEOUT" {
		t.Errorf("a short wait: %d %s", status, v.Raw)
	}
	status, v = s.drmaa("GET", "/jobs/"+id+"/wait", "")
	if status != 200 || v.Get("jobState").String() != "FAILED" || v.Get("jobSubState").String() != "failed" {
		t.Errorf("a sent job past its deadline: %d %s", status, v.Raw)
	}
	s.until("the attempt is canceled at the executor", func() bool { return len(s.executors[0].Canceled()) == 1 })
	m, err := s.post("tile-charge", "00000000000000aa", header("X-Expires-In-Ms", "1"))
	if err != nil || m.Status != 503 {
		t.Errorf("a job without time left: %v %v, want status 503", m, err)
	}
}

// After SIGTERM, admitted requests are answered, new connections are served meanwhile, and the program exits without an error.
func TestLeave(t *testing.T) {
	s := newTestNode(t, 1, 600*time.Millisecond)
	s.start()
	old, err := testenv.Dial(s.listen) // a connection that stays idle while the program shuts down
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = old.Close() }()
	if m, err := old.Do("GET", "/healthz", nil); err != nil || m.Status != 200 {
		t.Fatalf("%v %v", m, err)
	}
	used, err := testenv.Dial(s.listen) // a connection whose client keeps using it, as it may know no other node
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = used.Close() }()
	var g errgroup.Group
	for i := range 2 {
		g.Go(func() error {
			m, err := s.post("tile-charge", fmt.Sprintf("%016x", i+1))
			if err != nil || m.Status != 200 {
				return errors.Join(err, fmt.Errorf("job %d: %v", i, m))
			}
			return nil
		})
		if i == 0 {
			s.until("the first job runs", func() bool { return len(s.executors[0].Starts()) == 1 })
			g.Go(s.terminate)
			s.until("the signal is logged", func() bool { return s.logContains("msg=leaving") })
			// The second comes on a new connection after the signal.
		}
	}
	g.Go(func() error {
		for i := range 8 {
			m, err := used.Do("GET", "/counts", nil)
			if err != nil || m.Status != 200 || m.Close {
				return errors.Join(err, fmt.Errorf("request %d after the signal: %+v", i, m))
			}
			time.Sleep(200 * time.Millisecond)
		}
		return nil
	})
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}
