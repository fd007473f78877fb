package test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gatetack/internal/http1"
	"gatetack/internal/testenv"
)

// class is one request class of a deployment under test.
type class struct {
	name, effect, scope string
	deadlineMs          int
	slots               []int
}

// deployment holds the settings of one deployment; the table of deployments covers the options of the protocol.
type deployment struct {
	name            string
	classes         []class
	zones           []string
	discoveryMode   string // "subscribe" or "automatic"
	reportMode      string // "piggyback", "pull" or "silent"
	reportFields    string
	notifiesStarts  bool // executors notify starts and progress
	peers           bool
	maxAttempts     int
	mayDuplicate    bool
	cancels         bool
	weightByWork    bool
	drainGraceMs    int
	sendsRetryAfter bool
	connIdleMs      int
	dedupWindowMs   int // executors drop repeats of keyed jobs within this time; 0 for 20 s, longer than any job lasts
	pollWithinMs    int // the node polls the endpoint list within this time; 0 for 5000
	budgetMultiple  float64
}

var deployments = []deployment{
	{name: "reports in responses, subscribed lists, one zone, a keyed class", discoveryMode: "subscribe", reportMode: "piggyback",
		reportFields:   `"pending","x0"`,
		notifiesStarts: true, maxAttempts: 3, mayDuplicate: true, cancels: true,
		drainGraceMs: 500, sendsRetryAfter: true, connIdleMs: 60000, zones: []string{"east"},
		classes: []class{{"bill", "single_shot", "", 3000, []int{1}}, {"draw", "guarded", "cell", 5000, []int{1}}}},
	{name: "reports by probe, automatic lists, no notifications, jobs of several slots, three classes at most once", discoveryMode: "automatic", reportMode: "pull",
		reportFields: `"pending","served_ps","x0"`, maxAttempts: 6, mayDuplicate: true, cancels: true,
		weightByWork: true, drainGraceMs: 3000, sendsRetryAfter: true,
		connIdleMs: 30000, zones: []string{"north", "south"},
		classes: []class{{"look", "free", "", 2000, []int{1}}, {"book", "single_shot", "", 3000, []int{1, 1, 2, 4}},
			{"enrol", "single_shot", "", 5000, []int{1, 2, 4}}, {"remind", "single_shot", "", 2000, []int{1, 2}}}},
	{name: "no reports, one attempt, no duplicates, no cancellation, four zones", discoveryMode: "automatic", reportMode: "silent",
		maxAttempts: 1, drainGraceMs: 1000,
		connIdleMs: 2000, zones: []string{"a", "b", "c", "d"},
		classes: []class{{"read", "free", "", 2000, []int{1}}, {"write", "single_shot", "", 3000, []int{1, 2}}}},
	{name: "messages between nodes, classes keyed by zone and globally", discoveryMode: "subscribe", reportMode: "piggyback",
		reportFields:   `"busy_reqs","cpu_share"`,
		notifiesStarts: true, peers: true, maxAttempts: 4, mayDuplicate: true,
		cancels: true, drainGraceMs: 500, sendsRetryAfter: true, connIdleMs: 5000,
		zones: []string{"x", "y"}, classes: []class{{"zonal", "guarded", "zone", 3000, []int{1}}, {"anywhere", "guarded", "all", 3000, []int{1, 2}},
			{"once", "single_shot", "", 3000, []int{1}}}},
	{name: "starts and progress notified, two attempts, one class without duplicates", discoveryMode: "subscribe", reportMode: "pull",
		reportFields:   `"x0"`,
		notifiesStarts: true, maxAttempts: 2, cancels: false, drainGraceMs: 800, sendsRetryAfter: false,
		connIdleMs: 60000, zones: []string{"p", "q", "r"},
		classes: []class{{"only", "guarded", "cell", 3000, []int{1, 2}}}},
}

const (
	coldShare             = 0.3
	warmUpMs              = 4000
	budgetWindowMs        = 1000
	defaultBudgetMultiple = 2.5
	executorSlots         = 4
	jobDuration           = 60 * time.Millisecond
	protocolSlack         = 50 * time.Millisecond // the protocol's tolerance on every time limit
	restartSlack          = 50 * time.Millisecond
	clientSlack           = time.Second // a client of this test may read its response late on a busy machine
)

func (d *deployment) settings() string {
	quote := func(names []string) string { return `"` + strings.Join(names, `","`) + `"` }
	var classes, minus, stretch []string
	for _, c := range d.classes {
		scope := c.scope
		if scope == "" {
			scope = "all"
		}
		classes = append(classes, fmt.Sprintf(`{"name":%q,"aim":%d,"deadline":%d,"worth":5.0,"effect":%q,"dedupScope":%q,"window":%d}`,
			c.name, jobDuration.Milliseconds(), c.deadlineMs, c.effect, scope, cmp.Or(d.dedupWindowMs, 20000)))
		minus, stretch = append(minus, "-1"), append(stretch, "2.0")
	}
	balancers, worth, progress := 1, "request", 0
	if d.peers {
		balancers = 2
	}
	if d.weightByWork {
		worth = "work"
	}
	if d.notifiesStarts {
		progress = 200
	}
	return fmt.Sprintf(`{"me":0,"balancers":%d,"zone":0,"zones":[%s],"kinds":["k1","k2"],"step":4.0,"discovery":%q,"weights":"nominal",
"workload":"jobs","worthBy":%q,"overShareWorth":0.2,"telemetry":{"how":%q,"fields":[%s]},
"familyInfo":{"classKind":[%s],"classStretch":[%s],"reportX0":"free slots","tellsStart":%v,"progress":%d},
"limits":{"cancelling":%v,"connIdle":%d,"connectTimeout":250.0,"maxAttempts":%d,"maxOpen":20000,"maxRetryAfter":1000.0,
 "mayDuplicate":%v,"multiplex":1,"peers":%v,"probing":%v,"retryAfter":%v},
"invariants":{"answerSlack":16.0,"askWithin":%d,"coldFrom":%v,"drainGrace":%d,"fall":%d,"fallMultiple":%v,"warmWithin":%d},
"fees":{"crossZone":0.1,"probe":0.002},"requestClasses":[%s],"tenants":[{"name":"pohjakaart","portion":1.0,"quotaRps":100.0}]}`,
		balancers, quote(d.zones), d.discoveryMode, worth, d.reportMode, d.reportFields, strings.Join(minus, ","), strings.Join(stretch, ","), d.notifiesStarts, progress,
		d.cancels, d.connIdleMs, d.maxAttempts, d.mayDuplicate, d.peers, d.reportMode == "pull", d.sendsRetryAfter, cmp.Or(d.pollWithinMs, 5000), coldShare, d.drainGraceMs, budgetWindowMs, cmp.Or(d.budgetMultiple, defaultBudgetMultiple), warmUpMs,
		strings.Join(classes, ","))
}

// place sets an executor's zone, its rack, shared by two executors, and its behavior.
func (d *deployment) place(b *testenv.Executor, i int) {
	b.Zone, b.Type, b.Group = d.zones[i%len(d.zones)], "k1", i/2
	b.Set(func(how *testenv.Behavior) {
		how.FreeSlots, how.Slots, how.NoProgress, how.NoLoadReport = executorSlots, executorSlots, !d.notifiesStarts, d.reportMode != "piggyback"
	})
}

// newKillableExecutor returns an executor and a function that ends it as the death of a process does: its connections break, and
// new ones fail.
func newKillableExecutor(t *testing.T, s *testNode, name string) (*testenv.Executor, context.CancelFunc) {
	t.Helper()
	ctx, kill := context.WithCancel(s.ctx)
	b, err := testenv.NewExecutor(ctx, s.g, name, s.listen, jobDuration)
	if err != nil {
		t.Fatal(err)
	}
	return b, kill
}

type submittedJob struct {
	class       *class
	id          string
	slots       int
	status      int // 0 if no complete response arrived
	submittedAt time.Time
	answeredAt  time.Time
}

// TestDeployments runs the same sequence of events under settings that differ in every option: an executor hangs, one dies,
// discovery moves to another address, one executor drains by the new list only, a cold one is added while all others reject jobs,
// and the node is killed and restarted. Each job not open at the kill has a response, no job starts more often than its class
// allows, the draining executor gets no new jobs, and the cold one is not overloaded.
func TestDeployments(t *testing.T) {
	for i := range deployments {
		d := &deployments[i]
		t.Run(d.name, func(t *testing.T) { d.run(t, int64(i+1)) })
	}
}

// TestGeneratedSettings runs the same sequence under generated settings: random classes, scopes, windows, deadlines and limits.
func TestGeneratedSettings(t *testing.T) {
	some := rapid.Custom(func(t *rapid.T) *deployment {
		on := func(what string) bool { return rapid.Bool().Draw(t, what) }
		ms := func(what string, least, most int) int { return rapid.IntRange(least, most).Draw(t, what) }
		d := &deployment{discoveryMode: rapid.SampledFrom([]string{"subscribe", "automatic"}).Draw(t, "discovery mode"),
			reportMode: rapid.SampledFrom([]string{"piggyback", "pull", "silent"}).Draw(t, "report mode"), reportFields: `"pending","x0"`,
			notifiesStarts: on("notifies starts"), peers: on("peers"),
			maxAttempts: ms("attempts", 1, 6), mayDuplicate: on("may duplicate"), cancels: on("cancels"),
			weightByWork: on("weight by work"), drainGraceMs: ms("drain grace", 300, 3000),
			sendsRetryAfter: on("sends retry-after"), connIdleMs: ms("idle", 1000, 60000),
			dedupWindowMs: ms("dedup window", 300, 5000), pollWithinMs: ms("poll within", 3000, 12000),
			budgetMultiple: rapid.Float64Range(2, 4).Draw(t, "multiple")}
		for i := range ms("zones", 1, 4) {
			d.zones = append(d.zones, fmt.Sprint("zone-", i))
		}
		for i := range ms("classes", 1, 4) {
			c := class{name: fmt.Sprint("class-", i), deadlineMs: ms("deadline", 2000, 6000),
				effect: rapid.SampledFrom([]string{"free", "guarded", "single_shot"}).Draw(t, "effect")}
			if c.effect == "guarded" {
				c.scope = rapid.SampledFrom([]string{"all", "zone", "cell"}).Draw(t, "scope")
			}
			for range ms("slot counts", 1, 3) {
				c.slots = append(c.slots, ms("slots", 1, 4))
			}
			d.classes = append(d.classes, c)
		}
		return d
	})
	for seed := range 4 {
		d := some.Example(seed)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Logf("%+v", d)
			d.run(t, int64(100+seed))
		})
	}
}

func (d *deployment) run(t *testing.T, seed int64) {
	s := newTestNode(t, 0, 0)
	s.settingsJSON = d.settings()
	var kills []context.CancelFunc
	for i := range 6 {
		b, kill := newKillableExecutor(t, s, fmt.Sprintf("s-%08x", i+1))
		d.place(b, i)
		s.executors, kills = append(s.executors, b), append(kills, kill)
		s.discovery.Put(b, "ready")
	}
	next, err := testenv.NewDiscovery(s.ctx, s.g)
	if err != nil {
		t.Fatal(err)
	}
	s.start()

	var mu sync.Mutex
	var jobs []*submittedJob
	var answered atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			rng := rand.New(rand.NewSource(seed*100 + int64(c)))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(5+rng.Intn(20)) * time.Millisecond):
				}
				j := &submittedJob{class: &d.classes[rng.Intn(len(d.classes))], id: fmt.Sprintf("%04x%04x%08x", seed, c, n), submittedAt: time.Now()}
				j.slots = 1
				if w := j.class.slots; len(w) > 0 {
					j.slots = w[rng.Intn(len(w))]
				}
				m, err := testenv.Call(s.listen, "POST", "/"+j.class.name+"/x", []byte("body"), header("X-Trace-Id", j.id),
					header("X-Customer", "pohjakaart"), header("X-Expires-In-Ms", strconv.Itoa(j.class.deadlineMs)),
					header("Idempotency-Key", "key-"+j.id), header("X-Props", "slots="+strconv.Itoa(j.slots)))
				j.answeredAt = time.Now()
				wait := time.Duration(0)
				if err == nil {
					j.status = m.Status
					answered.Add(1)
					if m.Status == 503 {
						wait = retryAfter(m)
					}
				} else {
					wait = 20 * time.Millisecond
				}
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				time.Sleep(wait)
			}
		})
	}
	after := func(n int64, what string) {
		t.Helper()
		from := answered.Load()
		s.until(what, func() bool { return answered.Load() >= from+n })
	}
	after(60, "a first load is served or rejected")
	s.executors[1].Set(func(how *testenv.Behavior) { how.UnresponsiveUntil = time.Now().Add(400 * time.Millisecond) })
	after(30, "jobs are answered while an executor hangs")
	kills[2]()
	after(30, "jobs are answered after an executor died")

	for i, b := range s.executors {
		if i != 2 {
			next.Put(b, "ready")
		}
	}
	s.writeConfig(next.Addr, s.settingsJSON)
	if err := s.process.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	s.until("the new discovery is watched", func() bool { return next.Watches() > 0 })
	drained := s.executors[0]
	next.Put(drained, "draining")
	drainedAt := time.Now()
	after(30, "jobs are answered while an executor drains")

	cold, _ := newKillableExecutor(t, s, "s-000000c0")
	cold.StartedAt = time.Now()
	d.place(cold, 6)
	for _, b := range s.executors[1:] {
		b.Set(func(how *testenv.Behavior) { how.RejectAll = true })
	}
	s.executors = append(s.executors, cold)
	next.Put(cold, "ready")
	if d.maxAttempts > 1 {
		s.until("the cold executor is used", func() bool { return len(cold.Starts()) > 3 })
		time.Sleep(budgetWindowMs * time.Millisecond)
	}
	for _, b := range s.executors[1:] {
		b.Set(func(how *testenv.Behavior) { how.RejectAll = false })
	}
	after(30, "jobs are answered once the other executors accept work again")

	killed := time.Now()
	s.kill()
	s.discovery = next
	s.start()
	up := time.Now()
	after(60, "jobs are answered after the node's restart")
	close(stop)
	clients.Wait()
	if err := s.terminate(); err != nil {
		t.Errorf("shutdown: %v", err)
	}

	starts := s.starts()
	served := 0
	for _, j := range jobs {
		j := j
		if j.status == 0 && (!j.submittedAt.Before(up.Add(restartSlack)) || !j.answeredAt.After(killed.Add(-restartSlack))) {
			t.Errorf("job %s of %s, not open at the kill, got no response", j.id, j.class.name)
		}
		if late := j.answeredAt.Sub(j.submittedAt) - time.Duration(j.class.deadlineMs)*time.Millisecond; late > clientSlack {
			t.Errorf("job %s of %s was answered %v after its deadline", j.id, j.class.name, late)
		}
		if j.status == 200 {
			served++
			if len(starts[j.id]) == 0 {
				t.Errorf("job %s of %s was served and started at no executor", j.id, j.class.name)
			}
		}
		d.checkStarts(t, s, j)
	}
	if served < len(jobs)/3 {
		t.Errorf("%d of %d jobs were served, want at least a third", served, len(jobs))
	}
	for _, x := range drained.Starts() {
		if late := x.At.Sub(drainedAt) - time.Duration(d.drainGraceMs)*time.Millisecond; late > protocolSlack {
			t.Errorf("job %s started at the draining executor %v after the drain grace period", x.ID, late)
		}
	}
	width := map[string]int{}
	for _, j := range jobs {
		width[j.id] = j.slots
	}
	checkColdBudget(t, cold, width, cmp.Or(d.budgetMultiple, defaultBudgetMultiple))
}

// checkStarts checks that a job started only as often and where its class allows.
func (d *deployment) checkStarts(t *testing.T, s *testNode, j *submittedJob) {
	t.Helper()
	var at []*testenv.Executor
	first, last := time.Time{}, time.Time{}
	for _, b := range s.executors {
		for _, x := range b.Starts() {
			if x.ID != j.id {
				continue
			}
			at = append(at, b)
			if first.IsZero() || x.At.Before(first) {
				first = x.At
			}
			if x.At.After(last) {
				last = x.At
			}
		}
	}
	switch {
	case len(at) > d.maxAttempts:
		t.Errorf("job %s of %s started %d times, want at most %d", j.id, j.class.name, len(at), d.maxAttempts)
	case j.class.effect == "single_shot" && len(at) > 1:
		t.Errorf("job %s of %s, which must not run twice, started %d times", j.id, j.class.name, len(at))
	case j.class.effect == "guarded" && last.Sub(first) > time.Duration(cmp.Or(d.dedupWindowMs, 20000))*time.Millisecond+protocolSlack:
		t.Errorf("job %s of %s started again %v after its first start, outside its deduplication window", j.id, j.class.name, last.Sub(first))
	case j.class.effect == "guarded":
		for _, b := range at {
			if j.class.scope == "zone" && b.Zone != at[0].Zone || j.class.scope == "cell" && b.Group != at[0].Group {
				t.Errorf("job %s of %s started at %s and at %s, outside its deduplication scope",
					j.id, j.class.name, at[0].Name, b.Name)
			}
		}
	}
}

// checkColdBudget checks that the work sent to a cold executor in any window is at most a multiple of its capacity at that time.
func checkColdBudget(t *testing.T, cold *testenv.Executor, width map[string]int, multiple float64) {
	t.Helper()
	all := cold.Starts()
	for i := range all {
		sum := 0.0
		for k := i; k >= 0 && all[i].At.Sub(all[k].At) <= budgetWindowMs*time.Millisecond; k-- {
			sum += float64(max(1, width[all[k].ID])) * float64(jobDuration.Milliseconds())
		}
		age := float64(all[i].At.Sub(cold.StartedAt).Milliseconds())
		share := min(1, coldShare+(1-coldShare)*age/warmUpMs)
		if limit := multiple * share * executorSlots * budgetWindowMs; sum > limit {
			t.Errorf("a cold executor got %.0f ms of work within %d ms, want at most %.0f", sum, budgetWindowMs, limit)
			return
		}
	}
}

func retryAfter(m *http1.Message) time.Duration {
	seconds, err := strconv.ParseFloat(m.Get("Retry-After"), 64)
	if err != nil {
		return 30 * time.Millisecond
	}
	return time.Duration(seconds * float64(time.Second))
}

// The conformance suite of the batch front passes under each deployment's settings.
func TestConformanceOfDeployments(t *testing.T) {
	for i := range deployments {
		d := &deployments[i]
		t.Run(d.name, func(t *testing.T) {
			s := newTestNode(t, 0, 0)
			s.settingsJSON = d.settings()
			for i := range 4 {
				b, _ := newKillableExecutor(t, s, fmt.Sprintf("s-%08x", i+1))
				d.place(b, i)
				b.Set(func(how *testenv.Behavior) { how.JobDuration, how.FreeSlots, how.Slots = 20*time.Millisecond, 16, 0 })
				s.executors = append(s.executors, b)
				s.discovery.Put(b, "ready")
			}
			s.start()
			out, err := exec.Command(program, "conform", "--addr", s.batch, "--failed").CombinedOutput()
			if err != nil {
				t.Errorf("%v\n%s", err, out)
			}
		})
	}
}
