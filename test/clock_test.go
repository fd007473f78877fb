package test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/clocktest"
	"gatetack/internal/http1"
	"gatetack/internal/testenv"
)

// steppedProgram builds the program once with a modified package time whose wall clock can be set while the process
// runs. The monotonic clock is not affected, as on a machine whose clock an operator or a time server sets.
var steppedProgram = sync.OnceValues(func() (string, error) {
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return "", err
	}
	source := filepath.Join(strings.TrimSpace(string(root)), "src", "time", "time.go")
	text, err := os.ReadFile(source)
	if err != nil {
		return "", err
	}
	const reading = "\tsec, nsec, mono := runtimeNow()\n\tif mono == 0 {\n\t\treturn Time{uint64(nsec)"
	if strings.Count(string(text), reading) != 1 {
		return "", fmt.Errorf("%s does not contain the expected reading of the clock once", source)
	}
	changed := strings.Replace(string(text), reading, strings.Replace(reading, "\n", "\n\tsec += wallStep.Load()\n", 1), 1)
	changed = strings.Replace(changed, "import (\n", "import (\n\t\"sync/atomic\"\n", 1) +
		"\nvar wallStep atomic.Int64\n\nfunc SetWallStep(seconds int64) { wallStep.Store(seconds) }\n"
	dir := filepath.Dir(program) // removed after all tests
	copied, overlay := filepath.Join(dir, "time.go"), filepath.Join(dir, "overlay.json")
	replace, err := json.Marshal(map[string]map[string]string{"Replace": {source: copied}})
	if err != nil {
		return "", err
	}
	for path, data := range map[string][]byte{copied: []byte(changed), overlay: replace} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return "", err
		}
	}
	built := filepath.Join(dir, "gatetack-stepped")
	build := exec.Command("go", "build", "-overlay", overlay, "-tags", "faults,steppedclock", "-o", built, "gatetack/cmd/gatetack")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return built, nil
})

// useSteppableClock makes the node run the program of steppedProgram, whose wall clock can be set.
func (s *testNode) useSteppableClock() {
	s.t.Helper()
	built, err := steppedProgram()
	if err != nil {
		s.t.Fatal(err)
	}
	s.program = built
	s.env = append(s.env, "GATETACK_CLOCK_FILE="+s.clockFile())
}

func (s *testNode) clockFile() string { return filepath.Join(s.dir, "clock") }

// stepWallClock sets the offset of the process's wall clock from the machine's and returns once the process has applied
// it.
func (s *testNode) stepWallClock(off time.Duration) {
	s.t.Helper()
	text := strconv.FormatInt(int64(off/time.Second), 10)
	if err := os.WriteFile(s.clockFile()+".new", []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(s.clockFile()+".new", s.clockFile()); err != nil {
		s.t.Fatal(err)
	}
	s.until("the wall clock is set", func() bool {
		done, _ := os.ReadFile(s.clockFile() + ".done")
		return string(done) == text
	})
}

// answer is the outcome of a request: the status of the response, or an error.
type answer struct {
	status int
	err    error
}

// send posts a job in the background and delivers the answer on the returned channel.
func (s *testNode) send(class, id string, fields ...http1.Field) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		m, err := s.post(class, id, fields...)
		if err != nil {
			answers <- answer{err: err}
			return
		}
		answers <- answer{status: m.Status}
	}()
	return answers
}

// awaitStarts waits until all executors together have received the given number of attempts of a job.
func (s *testNode) awaitStarts(id string, times int) {
	s.t.Helper()
	s.until(fmt.Sprintf("attempt %d of %s has started", times, id), func() bool { return len(s.starts()[id]) == times })
}

// sendCallback sends the callback by which an executor reports the final state of a job.
func (s *testNode) sendCallback(b *testenv.Executor, id, state string) {
	s.t.Helper()
	body := fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"result":"made","load":{"queue":0,"x0":2}}`, id, b.Name, state)
	if m, err := testenv.Call(s.listen, "POST", "/callback", []byte(body)); err != nil || m.Status >= 300 {
		s.t.Fatalf("callback for %s: %+v %v", id, m, err)
	}
}

// disableCallbacks makes the executors accept jobs without sending callbacks. The test reports the final states itself.
func (s *testNode) disableCallbacks() {
	for _, b := range s.executors {
		b.Set(func(how *testenv.Behavior) { how.NoCallbacks, how.JobDuration = true, 0 })
	}
}

// executorOf returns the first executor that received an attempt of a job.
func (s *testNode) executorOf(id string) *testenv.Executor {
	s.t.Helper()
	for _, b := range s.executors {
		for _, start := range b.Starts() {
			if start.ID == id {
				return b
			}
		}
	}
	s.t.Fatalf("no executor received %s", id)
	return nil
}

func jobID(i int) string { return fmt.Sprintf("%016x", 0xc10c0000+i) }

// The wall clock is set while a request is in flight. The request neither ends early nor is sent again, and its client
// gets the result. A request whose executor is unresponsive still ends at its deadline, also if the clock is set back.
func TestClockStepsDuringRequests(t *testing.T) {
	s := newTestNode(t, 1, 0)
	s.useSteppableClock()
	s.disableCallbacks()
	s.start()
	for i, step := range clocktest.Steps {
		s.stepWallClock(0)
		id := jobID(2 * i)
		answers := s.send("tile-charge", id)
		s.awaitStarts(id, 1)
		s.stepWallClock(step)
		s.sendCallback(s.executors[0], id, "done")
		if got := <-answers; got.status != 200 {
			t.Errorf("step %v during a request: %+v", step, got)
		}
		s.stepWallClock(0)
		id = jobID(2*i + 1)
		answers = s.sendWithTimeLeft(id, 700)
		s.awaitStarts(id, 1)
		s.stepWallClock(step)
		if got := <-answers; got.err != nil || got.status == 200 {
			t.Errorf("step %v, unresponsive executor: %+v", step, got)
		}
	}
	for id, starts := range s.starts() {
		if len(starts) != 1 {
			t.Errorf("%s started %d times", id, len(starts))
		}
	}
}

// sendWithTimeLeft posts a job whose client allows it the given time in milliseconds.
func (s *testNode) sendWithTimeLeft(id string, timeLeftMs int) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		m, err := testenv.Call(s.listen, "POST", "/tile-charge/cut", []byte("body of "+id), header("X-Trace-Id", id),
			header("X-Customer", "pohjakaart"), header("X-Expires-In-Ms", strconv.Itoa(timeLeftMs)),
			header("Idempotency-Key", "key-"+id))
		if err != nil {
			answers <- answer{err: err}
			return
		}
		answers <- answer{status: m.Status}
	}()
	return answers
}

// The wall clock is set while an attempt of a keyed request is in flight. The attempt fails within the retry window,
// so the request is sent again, once.
func TestClockStepsWithinRetryWindow(t *testing.T) {
	s := newTestNode(t, 2, 0)
	s.useSteppableClock()
	s.disableCallbacks()
	s.start()
	for i, step := range clocktest.Steps {
		s.stepWallClock(0)
		id := jobID(i)
		answers := s.send("area-render", id)
		s.awaitStarts(id, 1)
		first := s.executorOf(id)
		s.stepWallClock(step)
		s.sendCallback(first, id, "failed")
		s.awaitStarts(id, 2)
		second := s.executors[0]
		if second == first {
			second = s.executors[1]
		}
		s.sendCallback(second, id, "done")
		if got := <-answers; got.status != 200 {
			t.Errorf("step %v: %+v", step, got)
		}
		if n := len(s.starts()[id]); n != 2 {
			t.Errorf("step %v: started %d times", step, n)
		}
	}
}

// The retry window has ended by the monotonic clock when the attempt fails. The request is not sent again, however the
// wall clock was set.
func TestClockStepsBeyondRetryWindow(t *testing.T) {
	const window = 400 * time.Millisecond
	s := newTestNode(t, 2, 0)
	s.useSteppableClock()
	s.disableCallbacks()
	s.settingsJSON = strings.Replace(defaultSettings, `"window":40000.0`, fmt.Sprintf(`"window":%d`, window.Milliseconds()), 1)
	s.start()
	for i, step := range clocktest.Steps {
		s.stepWallClock(0)
		id := jobID(i)
		answers := s.send("area-render", id)
		s.awaitStarts(id, 1)
		s.stepWallClock(step)
		<-time.After(window) // the window started before the attempt did
		s.sendCallback(s.executorOf(id), id, "failed")
		if got := <-answers; got.err != nil || got.status == 200 {
			t.Errorf("step %v: %+v", step, got)
		}
		if n := len(s.starts()[id]); n != 1 {
			t.Errorf("step %v: started %d times", step, n)
		}
	}
}

// The wall clock is set while an executor is draining. The executor gets no new job, and the client of the job that is
// in flight there gets its result.
func TestClockStepsDuringADrain(t *testing.T) {
	s := newTestNode(t, 2, 0)
	s.useSteppableClock()
	s.disableCallbacks()
	s.start()
	awaitListed := func(b *testenv.Executor, status string) {
		s.discovery.Put(b, status)
		s.until(b.Name+" is "+status, func() bool {
			_, v := s.drmaa("GET", "/monitoring/machines", "")
			return v.Get(`machines.#(name=="`+b.Name+`").status`).String() == status
		})
	}
	for i, step := range clocktest.Steps {
		s.stepWallClock(0)
		id := jobID(10 * i)
		answers := s.send("tile-charge", id)
		s.awaitStarts(id, 1)
		draining := s.executorOf(id)
		awaitListed(draining, "draining")
		before := len(draining.Starts())
		s.stepWallClock(step)
		for k := range 3 {
			other := jobID(10*i + k + 1)
			more := s.send("tile-charge", other)
			s.awaitStarts(other, 1)
			s.sendCallback(s.executorOf(other), other, "done")
			if got := <-more; got.status != 200 {
				t.Errorf("step %v, job sent during the drain: %+v", step, got)
			}
		}
		if n := len(draining.Starts()) - before; n != 0 {
			t.Errorf("step %v: %d jobs started on a draining executor", step, n)
		}
		s.sendCallback(draining, id, "done")
		if got := <-answers; got.status != 200 {
			t.Errorf("step %v, job on the draining executor: %+v", step, got)
		}
		awaitListed(draining, "ready")
	}
}

// The wall clock is set while a process that is shutting down waits for its last request. The client gets the result,
// and the process exits without an error.
func TestClockStepsDuringShutdown(t *testing.T) {
	for i, step := range clocktest.Steps {
		s := newTestNode(t, 1, 0)
		s.useSteppableClock()
		s.disableCallbacks()
		s.start()
		id := jobID(i)
		answers := s.send("tile-charge", id)
		s.awaitStarts(id, 1)
		ended := make(chan error, 1)
		process := s.process
		go func() { ended <- s.terminate() }()
		s.until("the process is shutting down", func() bool { return s.logContains("msg=leaving") })
		s.stepWallClock(step)
		s.sendCallback(s.executors[0], id, "done")
		if got := <-answers; got.status != 200 {
			t.Errorf("step %v: %+v", step, got)
		}
		if err := <-ended; err != nil {
			t.Errorf("step %v: process %d exited with %v", step, process.Process.Pid, err)
		}
	}
}

// The start time of a batch job and the timer of an actor are dates: they are reached when the wall clock is set past
// them and not before.
func TestDatesFollowTheWallClock(t *testing.T) {
	f := makeFleet(t, 1, time.Millisecond)
	s := f[0]
	s.useSteppableClock()
	s.start()
	at := time.Now().Add(time.Hour).UTC()
	id := s.submitUntilAccepted(t, fmt.Sprintf(`{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"dated","startTime":%q}`, at.Format(time.RFC3339Nano)))
	const function = `start: {rung: 0}
on:
  call:
    state: '{"rung": state.rung}'
    answer: '{"rung": state.rung}'
    timers: '{"bell": 3600000}'
  timer:
    state: '{"rung": state.rung + 1.0}'
`
	body, _ := json.Marshal(map[string]string{"id": "clock", "function": function})
	s.until("the actor is created", func() bool {
		m, err := testenv.Call(s.batch, "POST", "/drmaa2/v1/desks", body)
		return err == nil && (m.Status == 201 || m.Status == 409)
	})
	s.until("the actor's timer is set", func() bool {
		status, _, err := s.callActor("clock", 1, 0)
		return err == nil && status == 200
	})
	read := func() (job string, rung int64) {
		_, v := s.drmaa("GET", "/jobs/"+id, "")
		m, err := testenv.Call(s.batch, "GET", "/drmaa2/v1/desks/clock", nil)
		if err != nil {
			t.Fatal(err)
		}
		return v.Get("jobState").String() + " " + v.Get("jobSubState").String(), gjson.GetBytes(m.Body, "state.rung").Int()
	}
	for _, step := range []time.Duration{-time.Hour, 30 * time.Minute} {
		s.stepWallClock(step)
		// A job without a start time passes through the same queue after the step. Once it is done, the queue has
		// checked the start times again.
		now := s.submitUntilAccepted(t, `{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"now"}`)
		s.until("the job without a start time is done", func() bool {
			_, v := s.drmaa("GET", "/jobs/"+now, "")
			return v.Get("jobState").String() == "DONE"
		})
		if job, rung := read(); job != "QUEUED deferred" || rung != 0 {
			t.Errorf("step %v: the job is %s and the timer fired %d times", step, job, rung)
		}
	}
	s.stepWallClock(time.Hour + time.Minute)
	s.until("the job has run and the timer has fired", func() bool {
		job, rung := read()
		return strings.HasPrefix(job, "DONE") && rung == 1
	})
	s.stepWallClock(0)
	if n := f.starts("dated"); n != 1 {
		t.Errorf("the job with a start time started %d times", n)
	}
	if _, rung := read(); rung != 1 {
		t.Errorf("the timer fired %d times", rung)
	}
}

// Wall clocks are set while leases are held and while the partition of a failed node is taken over. A lease holder
// whose clock is set keeps its lease. The partition of the failed node is taken over once, and its held jobs run once.
func TestClockStepsDuringLeaseAndTakeover(t *testing.T) {
	f := makeFleet(t, 3, time.Millisecond)
	for _, s := range f {
		s.useSteppableClock()
	}
	f.startAll()
	for _, s := range f {
		s.until("it holds its lease", func() bool { return strings.Contains(s.allLogs(), `msg="partition claimed"`) })
	}
	template := `{"jobCategory":"tile-charge","accountingId":"maavaade","payload":%q,"submitAsHold":true}`
	run := func(s *testNode, id string) {
		t.Helper()
		s.until("the job is released", func() bool {
			status, _ := s.drmaa("POST", "/jobs/"+id+"/release", "")
			_, v := s.drmaa("GET", "/jobs/"+id, "")
			// The answer to a forwarded release may be lost although the job is no longer on hold.
			return status == 200 || v.Get("jobState").Exists() && v.Get("jobState").String() != "QUEUED_HELD"
		})
		s.until("the job is done", func() bool {
			_, v := s.drmaa("GET", "/jobs/"+id, "")
			return v.Get("jobState").String() == "DONE"
		})
	}
	var payloads []string
	for i, step := range clocktest.Steps {
		for k, s := range f {
			payload := fmt.Sprintf("job %d %d", i, k)
			payloads = append(payloads, payload)
			id := s.submitUntilAccepted(t, fmt.Sprintf(template, payload))
			s.stepWallClock(step * time.Duration(1-k)) // by step, 0 and -step
			run(s, id)
		}
	}
	if n := f.checkClaims(t); n != len(f) {
		t.Errorf("%d claims before any node failed, want %d", n, len(f))
	}
	heldJobs := map[string]string{}
	for i := range 3 {
		payload := fmt.Sprintf("left %d", i)
		payloads = append(payloads, payload)
		heldJobs[payload] = f[0].submitUntilAccepted(t, fmt.Sprintf(template, payload))
	}
	f[0].kill()
	f[1].stepWallClock(time.Hour)
	f[2].stepWallClock(-time.Hour)
	for _, id := range heldJobs {
		run(f[1], id)
	}
	if n := f.checkClaims(t); n != len(f)+1 {
		t.Errorf("%d claims after one node failed, want %d", n, len(f)+1)
	}
	for _, payload := range payloads {
		if n := f.starts(payload); n != 1 {
			t.Errorf("%s started %d times", payload, n)
		}
	}
}
