package hollow

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/http1"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
	"gatetack/internal/testenv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// dispatcher is a fake dispatcher that counts callbacks and their bytes.
type dispatcher struct {
	mu     sync.Mutex
	states map[string]int
	bytes  int
	done   map[string]string
	late   int // progress callbacks of attempts that had been reported done
}

func (d *dispatcher) Handle(_ context.Context, m *http1.Message) http1.Response {
	v := gjson.ParseBytes(m.Body)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states[v.Get("state").String()]++
	if _, over := d.done[v.Get("id").String()]; over && v.Get("state").String() == "running" {
		d.late++
	}
	d.bytes += len(m.Body)
	if v.Get("state").String() == "done" {
		d.done[v.Get("id").String()] = v.Get("result").String()
	}
	return http1.Response{Status: 204}
}

func (d *dispatcher) count(state string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.states[state]
}

// world is a fake dispatcher with hollow executors.
type world struct {
	*dispatcher
	network   *Network
	record    *Record
	traffic   *Traffic
	cuts      *Cuts
	executors *Executors
}

// testRules are rules by which cold executors have half of their capacity.
var testRules = fleet.Rules{SlowStartMinShare: 0.5, SlowStartDuration: time.Hour}

func newWorld(t *testing.T, plan []fleet.Executor, s ExecutorSettings) *world {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	n, err := NewNetwork()
	if err != nil {
		t.Fatal(err)
	}
	w := &world{dispatcher: &dispatcher{states: map[string]int{}, done: map[string]string{}}, network: n, record: NewRecord(), traffic: &Traffic{}, cuts: NewCuts()}
	ln, err := net.Listen("tcp", n.Dispatcher(0))
	if err != nil {
		t.Fatal(err)
	}
	server := http1.NewServer(testenv.Limits, w.dispatcher, nil, testenv.DiscardLog)
	g.Go(func() error { return server.Serve(ctx, ln) })
	s.Rules, s.QueuePerSlot = testRules, max(s.QueuePerSlot, 1)
	s.ExpectedRun = func(int) time.Duration { return time.Second }
	if s.DispatcherRegion == nil {
		s.DispatcherRegion = func(int) int { return 0 }
	}
	w.executors = NewExecutors(ctx, g, plan, s, n, w.record, w.traffic, w.cuts, 1)
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
		_ = n.Close()
	})
	return w
}

func someExecutors(n, slots int) (out []fleet.Executor) {
	for i := range n {
		out = append(out, fleet.Executor{Number: i, Name: fmt.Sprintf("s-%08x", i+1), Slots: slots})
	}
	return out
}

// sendTask sends a task to an executor's address as a dispatcher does.
func sendTask(addr string, number uint64, run time.Duration) (*http1.Message, error) {
	task := workload.Task{Number: int(number), Class: fleet.ClassOnce, Slots: 1, Run: run}
	return testenv.Call(addr, "POST", target(task), []byte("task"), http1.Field{Name: "X-Trace-Id", Value: verdict.ID(RequestID(0, number))},
		http1.Field{Name: "X-Expires-In-Ms", Value: "9000"})
}

func (w *world) sendTask(t *testing.T, executor int, number uint64, run time.Duration) int {
	t.Helper()
	m, err := sendTask(w.network.Executor(executor, anyDispatcher), number, run)
	if err != nil {
		t.Fatal(err)
	}
	return m.Status
}

// events returns the number of recorded events of a kind.
func (w *world) events(k verdict.Kind) (n int) {
	for _, e := range w.record.Events() {
		if e.Kind == k {
			n++
		}
	}
	return n
}

// A hollow executor must make the same callbacks for a task as the fake executor of package testenv: equal numbers of callbacks in
// each state, and numbers of bytes that agree within a tenth, compared by their least-squares slopes over several numbers of tasks.
func TestHollowExecutorMakesTheCallbacksOfTheFakeOne(t *testing.T) {
	const run = 10 * time.Millisecond
	sizes := []int{8, 32, 128}
	measure := func(t *testing.T, addr string, d *dispatcher) (messages, bytes []float64) {
		next := uint64(0)
		for _, size := range sizes {
			d.mu.Lock()
			d.states, d.bytes = map[string]int{}, 0
			d.mu.Unlock()
			for range size {
				next++
				if m, err := sendTask(addr, next, run); err != nil || m.Status != 202 {
					t.Fatalf("%v %v", m, err)
				}
			}
			testenv.Until(t, "all tasks to be reported done", func() bool { return d.count("done") == size })
			if d.count("started") != size || d.count("running") != size {
				t.Errorf("%d tasks: %v", size, d.states)
			}
			messages = append(messages, float64(d.count("started")+d.count("running")+d.count("done")))
			d.mu.Lock()
			bytes = append(bytes, float64(d.bytes))
			d.mu.Unlock()
		}
		return messages, bytes
	}
	w := newWorld(t, someExecutors(1, 4), ExecutorSettings{ProgressInterval: run * 9 / 10, QueuePerSlot: 100})
	if err := w.executors.Boot(0, false); err != nil {
		t.Fatal(err)
	}
	hollowMessages, hollowBytes := measure(t, w.network.Executor(0, anyDispatcher), w.dispatcher)

	ctx, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	defer func() { cancel(); _ = g.Wait() }()
	real, err := testenv.NewExecutor(ctx, g, "s-00000001", w.network.Dispatcher(0), run)
	if err != nil {
		t.Fatal(err)
	}
	real.Set(func(b *testenv.Behavior) { b.Slots = 4 })
	realMessages, realBytes := measure(t, real.Addr, w.dispatcher)

	if a, b := slope(sizes, hollowMessages), slope(sizes, realMessages); a != b || a != 3 {
		t.Errorf("callbacks per task: hollow %.2f, fake %.2f, want 3", a, b)
	}
	if a, b := slope(sizes, hollowBytes), slope(sizes, realBytes); a < 0.9*b || a > 1.1*b {
		t.Errorf("bytes per task: hollow %.1f, fake %.1f, want them within a tenth", a, b)
	}
}

// An executor must report an attempt's progress before its end. With a separate timer for each, "running" could follow
// "done" when both were due together, and on a busy machine even when they were due 1 ms apart. A test that counts
// callbacks once all tasks are done then missed some. Here both are due at the same time: with separate timers, hundreds
// of a thousand progress callbacks came late.
func TestProgressIsReportedBeforeTheEnd(t *testing.T) {
	const tasks, run = 1000, 2 * time.Millisecond
	w := newWorld(t, someExecutors(1, tasks), ExecutorSettings{ProgressInterval: run - time.Nanosecond})
	if err := w.executors.Boot(0, false); err != nil {
		t.Fatal(err)
	}
	for number := uint64(1); number <= tasks; number++ {
		if status := w.sendTask(t, 0, number, run); status != 202 {
			t.Fatalf("task %d: %d", number, status)
		}
	}
	testenv.Until(t, "all tasks to be reported done and running", func() bool {
		return w.count("done") == tasks && w.count("running") == tasks
	})
	if w.late != 0 {
		t.Errorf("%d progress callbacks of %d tasks came after the end", w.late, tasks)
	}
}

// slope returns the slope of the least-squares line through points.
func slope(x []int, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	for i := range x {
		v := float64(x[i])
		sx, sy, sxx, sxy = sx+v, sy+y[i], sxx+v*v, sxy+v*y[i]
	}
	n := float64(len(x))
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// Tasks that fit run, further ones wait in order, and tasks beyond the queue are rejected with X-Never-Ran.
func TestSlotsAndQueue(t *testing.T) {
	w := newWorld(t, someExecutors(1, 2), ExecutorSettings{QueuePerSlot: 1})
	if err := w.executors.Boot(0, false); err != nil {
		t.Fatal(err)
	}
	for number, want := range map[uint64]int{1: 202, 2: 202} {
		if got := w.sendTask(t, 0, number, time.Hour); got != want {
			t.Fatalf("task %d: %d", number, got)
		}
	}
	for number := uint64(3); number < 5; number++ {
		if got := w.sendTask(t, 0, number, time.Hour); got != 202 {
			t.Fatalf("task %d: %d", number, got)
		}
	}
	m, err := sendTask(w.network.Executor(0, anyDispatcher), 5, time.Hour)
	if err != nil || m.Status != 503 || m.Get("X-Never-Ran") != "1" || !strings.Contains(m.Get("Endpoint-Load-Metrics"), "queue=2, x0=0") {
		t.Errorf("%+v %v", m, err)
	}
	testenv.Until(t, "two starts to be reported", func() bool { return w.count("started") == 2 })
	if n := w.events(verdict.Started); n != 2 || w.events(verdict.Accepted) != 4 || w.events(verdict.AttemptRejected) != 1 {
		t.Errorf("%d started, %d accepted, %d rejected", n, w.events(verdict.Accepted), w.events(verdict.AttemptRejected))
	}
}

// Killing an executor loses its tasks. Connections fail until the next incarnation, which starts cold.
func TestKilledExecutorLosesItsTasks(t *testing.T) {
	w := newWorld(t, someExecutors(1, 1), ExecutorSettings{})
	if err := w.executors.Boot(0, false); err != nil {
		t.Fatal(err)
	}
	w.sendTask(t, 0, 1, 50*time.Millisecond)
	w.executors.Kill(0)
	if _, err := sendTask(w.network.Executor(0, anyDispatcher), 2, time.Millisecond); err == nil {
		t.Error("an executor that is down accepted a task")
	}
	if _, up := w.executors.Booted(0); up {
		t.Error("an executor that is down is reported up")
	}
	if err := w.executors.Boot(0, true); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	w.sendTask(t, 0, 3, 100*time.Millisecond)
	testenv.Until(t, "the task of the next incarnation to be done", func() bool { return w.count("done") == 1 })
	if elapsed := time.Since(start); elapsed < 195*time.Millisecond {
		t.Errorf("a task of 100ms took %v on an executor with half of its capacity", elapsed)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id := verdict.ID(RequestID(0, 3))
	if len(w.done) != 1 || w.done[id] != resultOf(id) {
		t.Errorf("%v: a task that was lost with its incarnation was reported done", w.done)
	}
	if w.events(verdict.Booted) != 1 || w.events(verdict.Died) != 1 {
		t.Error("incarnations were not recorded")
	}
}

// A cut must hold messages into or out of a region until it is lifted, in its direction only.
func TestCuts(t *testing.T) {
	for _, c := range []struct {
		name          string
		cut           Direction
		taken, starts int
	}{{"inward", Inward, 0, 0}, {"outward", Outward, 1, 0}} {
		t.Run(c.name, func(t *testing.T) {
			plan := someExecutors(1, 1)
			plan[0].Region = 1
			w := newWorld(t, plan, ExecutorSettings{})
			if err := w.executors.Boot(0, false); err != nil {
				t.Fatal(err)
			}
			w.cuts.Set(1, c.cut, true)
			answered := make(chan error, 1)
			go func() {
				m, err := sendTask(w.network.Executor(0, anyDispatcher), 1, time.Millisecond)
				if err == nil && m.Status != 202 {
					err = fmt.Errorf("status %d", m.Status)
				}
				answered <- err
			}()
			testenv.Until(t, "the task to arrive at the executor", func() bool { return w.traffic.Sum()["executor"].MessagesOut == 1 })
			time.Sleep(50 * time.Millisecond)
			select {
			case err := <-answered:
				t.Fatalf("an answer passed a cut: %v", err)
			default:
			}
			if w.events(verdict.Accepted) != c.taken || w.count("started") != c.starts {
				t.Errorf("%d accepted, %d starts reported, want %d and %d", w.events(verdict.Accepted), w.count("started"), c.taken, c.starts)
			}
			w.cuts.Set(1, c.cut, false)
			if err := <-answered; err != nil {
				t.Error(err)
			}
			testenv.Until(t, "the task to be reported done", func() bool { return w.count("done") == 1 })
		})
	}
}

// Requests that no dispatcher sends must get an error status, and a cancellation must have no effect.
func TestInvalidRequestsAreRejected(t *testing.T) {
	w := newWorld(t, someExecutors(1, 1), ExecutorSettings{})
	if err := w.executors.Boot(0, false); err != nil {
		t.Fatal(err)
	}
	id := http1.Field{Name: "X-Trace-Id", Value: verdict.ID(1)}
	for _, c := range []struct {
		method, target string
		id             http1.Field
		want           int
	}{
		{"POST", "/once/0/1/5/1", http1.Field{Name: "X-None", Value: "x"}, 404},
		{"POST", "/once/0/1/5/1", http1.Field{Name: "X-Trace-Id", Value: "zz"}, 400},
		{"POST", "/other/0/1/5/1", id, 400},
		{"POST", "/once/0/1/soon/1", id, 400},
		{"GET", "/once/run", id, 404},
		{"GET", "/load", id, 200},
		{"DELETE", "/jobs/" + verdict.ID(1), id, 204},
	} {
		m, err := testenv.Call(w.network.Executor(0, anyDispatcher), c.method, c.target, nil, c.id)
		if err != nil || m.Status != c.want {
			t.Errorf("%s %s: %+v %v, want %d", c.method, c.target, m, err, c.want)
		}
	}
	if w.events(verdict.Accepted) != 0 {
		t.Error("an invalid request was accepted")
	}
}
