package test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/testenv"
)

var (
	faultCount = flag.Int("faults", 64, "number of faults that TestRandomFaults injects; the long run uses 1200")
	faultSeed  = flag.Uint64("run-seed", 1, "random seed of TestRandomFaults")
)

// proxiedFleet is a fleet with a proxy on each link: between every two processes, for both the store and the batch
// address, and from each process to its executors and its discovery.
type proxiedFleet struct {
	fleet
	nodeLinks map[[2]int][]*testenv.Link // from, to
	ownLinks  [][]*testenv.Link          // by process, to its executors and its discovery
	steps     []string
	rng       *rand.Rand
}

func newProxiedFleet(t *testing.T, n int, seed uint64, run time.Duration) *proxiedFleet {
	t.Helper()
	l := &proxiedFleet{nodeLinks: map[[2]int][]*testenv.Link{}, ownLinks: make([][]*testenv.Link, n),
		rng: rand.New(rand.NewPCG(seed, 0))}
	link := func(s *testNode, target string) *testenv.Link {
		x, err := testenv.NewLink(s.ctx, s.g, target)
		if err != nil {
			t.Fatal(err)
		}
		return x
	}
	l.fleet = makeFleet(t, n, run)
	for i, s := range l.fleet {
		var env []string
		for k, to := range l.fleet {
			for _, addr := range []string{to.store, to.batch} {
				if k != i {
					x := link(s, addr)
					l.nodeLinks[[2]int{i, k}] = append(l.nodeLinks[[2]int{i, k}], x)
					env = append(env, addr+"="+x.Addr)
				}
			}
		}
		s.env = append(s.env, "GATETACK_LINKS="+strings.Join(env, ","))
		for rack, b := range s.executors {
			x := link(s, b.Addr)
			l.ownLinks[i] = append(l.ownLinks[i], x)
			s.discovery.Put(&testenv.Executor{Name: b.Name, Addr: x.Addr, Zone: "tallinn", Type: "type-a", Group: rack + 1}, "ready")
		}
		x := link(s, s.discovery.Addr)
		s.discovery.Addr = x.Addr
		l.ownLinks[i] = append(l.ownLinks[i], x)
	}
	l.startAll()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d; injected faults:\n%s", seed, strings.Join(l.steps, "\n"))
		}
	})
	return l
}

// setBlocked blocks or unblocks the data from one process to another, on connections opened by either.
func (l *proxiedFleet) setBlocked(from, to int, on bool) {
	for _, x := range l.nodeLinks[[2]int{from, to}] {
		x.Set(testenv.Fault{BlockUp: on})
	}
	for _, x := range l.nodeLinks[[2]int{to, from}] {
		x.Set(testenv.Fault{BlockDown: on})
	}
}

func (l *proxiedFleet) eachLink(i int, do func(*testenv.Link)) {
	for k := range l.fleet {
		for _, x := range append(l.nodeLinks[[2]int{i, k}], l.nodeLinks[[2]int{k, i}]...) {
			do(x)
		}
	}
}

// injectFault injects one random fault and returns the function that ends it. down holds the processes that do not run,
// at most two of five.
func (l *proxiedFleet) injectFault(down map[int]bool) (lift func()) {
	n := len(l.fleet)
	i, k := l.rng.IntN(n), l.rng.IntN(n-1)
	if k >= i {
		k++
	}
	logStep := func(format string, args ...any) {
		l.steps = append(l.steps, fmt.Sprintf("%3d %s", len(l.steps)+1, fmt.Sprintf(format, args...)))
	}
	heal := func() { l.setBlocked(i, k, false); l.setBlocked(k, i, false) }
	setAllLinks := func(f testenv.Fault) func() {
		l.eachLink(i, func(x *testenv.Link) { x.Set(f) })
		return func() { l.eachLink(i, func(x *testenv.Link) { x.Set(testenv.Fault{}) }) }
	}
	s := l.fleet[i]
	switch kind := l.rng.IntN(14); {
	case kind == 0:
		logStep("cut from n%d to n%d", i, k)
		l.setBlocked(i, k, true)
		return heal
	case kind == 1:
		logStep("cut between n%d and n%d", i, k)
		l.setBlocked(i, k, true)
		l.setBlocked(k, i, true)
		return heal
	case kind == 2:
		logStep("n%d is cut off from all other processes", i)
		return setAllLinks(testenv.Fault{BlockUp: true, BlockDown: true})
	case kind == 3:
		logStep("n%d receives but cannot send", i)
		for k := range n {
			l.setBlocked(i, k, true)
		}
		return setAllLinks(testenv.Fault{BlockUp: false})
	case kind == 4:
		logStep("delay at n%d", i)
		return setAllLinks(testenv.Fault{Delay: time.Duration(20+l.rng.IntN(200)) * time.Millisecond})
	case kind == 5:
		logStep("resets at n%d", i)
		l.eachLink(i, (*testenv.Link).Reset)
	case kind == 6:
		after := 500 + l.rng.IntN(4000)
		logStep("connections of n%d are reset after %d bytes", i, after)
		return setAllLinks(testenv.Fault{ResetAfter: after})
	case kind == 7:
		x := l.ownLinks[i][l.rng.IntN(len(l.ownLinks[i]))]
		f := testenv.Fault{BlockUp: l.rng.IntN(2) == 0, BlockDown: l.rng.IntN(2) == 0, ResetAfter: 100}
		logStep("link to an executor or the discovery of n%d: %+v", i, f)
		x.Set(f)
		x.Reset()
		return func() { x.Set(testenv.Fault{}) }
	case down[i] || len(down) > n/2-1:
		logStep("resets at n%d and n%d", i, k)
		l.eachLink(i, (*testenv.Link).Reset)
		l.eachLink(k, (*testenv.Link).Reset)
	case kind <= 9:
		logStep("n%d is stopped", i)
		s.signal(syscall.SIGSTOP)
		down[i] = true
		return func() { s.signal(syscall.SIGCONT); delete(down, i) }
	default:
		clock := []string{"0s", "1h", "-1h"}[l.rng.IntN(3)]
		restart := func() { s.startWithoutWaiting("GATETACK_CLOCK=" + clock); delete(down, i) }
		down[i] = true
		if kind == 10 {
			logStep("n%d shuts down, its clock is %s ahead after its restart", i, clock)
			_ = s.process.Process.Signal(syscall.SIGTERM)
			return func() {
				select {
				case err := <-s.exited:
					s.process = nil
					if err != nil {
						logStep("n%d ended with %v", i, err)
					}
				case <-time.After(2 * time.Second):
					s.kill()
				}
				restart()
			}
		}
		logStep("n%d is killed, its clock is %s ahead after its restart", i, clock)
		s.kill()
		return restart
	}
	return func() {}
}

// jobClient records the responses that one client got.
type jobClient struct {
	mu   sync.Mutex
	jobs map[string]*clientJob // by payload
}

type clientJob struct {
	id, class  string
	held       bool
	finalState string // empty until a final state is reported
}

// call calls the batch front of a node that may not be running. It returns status 0 if the call fails.
func (s *testNode) call(verb, path, body string) (int, gjson.Result) {
	m, err := testenv.CallFor(s.batch, 6*time.Second, verb, "/drmaa2/v1"+path, []byte(body))
	if err != nil {
		return 0, gjson.Result{}
	}
	return m.Status, gjson.ParseBytes(m.Body)
}

// submitJobs submits jobs to random nodes until stop is closed. It repeats each submission under the job's own
// idempotency key until a node accepts it, releases held jobs and records final states. A final state must not change.
func (c *jobClient) submitJobs(t *testing.T, f fleet, name string, rng *rand.Rand, stop <-chan struct{}) {
	ended := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	for n := 0; !ended(); n++ {
		k := &clientJob{class: []string{"tile-charge", "area-render"}[rng.IntN(2)], held: rng.IntN(2) == 0}
		payload := fmt.Sprintf("%s-%d", name, n)
		body := fmt.Sprintf(`{"jobCategory":%q,"accountingId":"maavaade","payload":%q,"idempotencyKey":%q,"submitAsHold":%v}`, k.class, payload, payload, k.held)
		for k.id == "" { // repeated until a node accepts the job or stop is closed
			if status, v := f[rng.IntN(len(f))].call("POST", "/jobs", body); status == 201 || status == 200 {
				k.id = v.Get("jobId").String()
			} else {
				time.Sleep(50 * time.Millisecond)
			}
			if ended() && k.id == "" {
				break
			}
		}
		if k.id == "" {
			continue
		}
		c.mu.Lock()
		c.jobs[payload] = k
		c.mu.Unlock()
		for range rng.IntN(4) {
			if k.held {
				f[rng.IntN(len(f))].call("POST", "/jobs/"+k.id+"/release", "")
			}
			c.pollState(t, f[rng.IntN(len(f))], payload, k)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// pollState queries a node for the state of a job and reports whether that is final.
func (c *jobClient) pollState(t *testing.T, s *testNode, payload string, k *clientJob) bool {
	status, v := s.call("GET", "/jobs/"+k.id, "")
	if status != 200 {
		return false
	}
	state := v.Get("jobState").String()
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.finalState != "" && state != k.finalState {
		t.Errorf("%s, job %s: final state was %s, now %s reports %s", payload, k.id, k.finalState, s.name, v.Raw)
	}
	if state == "DONE" || state == "FAILED" {
		k.finalState = state
	}
	return state == "DONE" || state == "FAILED" || state == "UNDETERMINED"
}

var claimPattern = regexp.MustCompile(`msg="partition claimed" partition=(\S+) epoch=(\d+) previous_epoch=(\d+)`)

// checkClaims reads all claims from the logs of the processes and returns their number. It checks that the claims of
// each partition form one chain: each epoch occurs once, and each claim replaces an epoch no older than that of the
// claim before it.
func (f fleet) checkClaims(t *testing.T) (n int) {
	type claim struct{ epoch, previous uint64 }
	by := map[string][]claim{}
	for _, s := range f {
		for _, x := range claimPattern.FindAllStringSubmatch(s.allLogs(), -1) {
			epoch, _ := strconv.ParseUint(x[2], 10, 64)
			was, _ := strconv.ParseUint(x[3], 10, 64)
			by[x[1]] = append(by[x[1]], claim{epoch, was})
		}
	}
	for key, all := range by {
		slices.SortFunc(all, func(a, b claim) int { return int(a.epoch) - int(b.epoch) })
		for i, x := range all {
			if n++; x.previous >= x.epoch || i > 0 && x.previous < all[i-1].epoch {
				t.Errorf("partition %s: claims %v overlap", key, all)
			}
		}
	}
	return n
}

// Random faults of links, processes, clocks, executors and discoveries are injected into five processes while clients
// submit, release and query jobs through all of them. At the end each acknowledged job has one final state, the same
// at every node. No at-most-once job started twice, and a keyed job started in one rack only. A job reported as never
// run did not start, and one reported as done did.
func TestRandomFaults(t *testing.T) {
	l := newProxiedFleet(t, 5, *faultSeed, 30*time.Millisecond)
	stop := make(chan struct{})
	var g sync.WaitGroup
	clients := make([]*jobClient, 4)
	for i := range clients {
		clients[i] = &jobClient{jobs: map[string]*clientJob{}}
		rng := rand.New(rand.NewPCG(*faultSeed, uint64(i+1)))
		g.Go(func() { clients[i].submitJobs(t, l.fleet, fmt.Sprint("c", i), rng, stop) })
	}
	down := map[int]bool{}
	var lifts []func()
	for n := range *faultCount {
		lifts = append(lifts, l.injectFault(down))
		time.Sleep(time.Duration(100+l.rng.IntN(300)) * time.Millisecond)
		for len(lifts) > 0 && (len(lifts) > 3 || l.rng.IntN(3) == 0) {
			lifts[0]()
			lifts = lifts[1:]
		}
		if n%16 == 15 { // without faults for a while, so that jobs make progress
			for _, lift := range lifts {
				lift()
			}
			lifts = nil
			time.Sleep(time.Second)
		}
	}
	for _, lift := range lifts {
		lift()
	}
	close(stop)
	g.Wait()
	jobs := map[string]*clientJob{}
	for _, c := range clients {
		maps.Copy(jobs, c.jobs)
	}
	c := &jobClient{}
	finalStates := map[string]int{}
	for payload, k := range jobs {
		for _, s := range l.fleet {
			s.until(payload+" has a final state at "+s.name, func() bool {
				if k.held {
					s.call("POST", "/jobs/"+k.id+"/release", "")
				}
				return c.pollState(t, s, payload, k)
			})
		}
	}
	starts := map[string][]string{}
	for _, s := range l.fleet { // each has its own executors; those of one rack have one name at all processes
		for _, b := range s.executors {
			for _, x := range b.Starts() {
				starts[x.Body] = append(starts[x.Body], b.Name)
			}
		}
	}
	for payload, k := range jobs {
		var states []string
		var sub string
		for _, s := range l.fleet {
			_, v := s.call("GET", "/jobs/"+k.id, "")
			states = append(states, v.Get("jobState").String())
			sub = v.Get("jobSubState").String()
		}
		finalStates[states[0]+" "+sub]++
		startedAt := starts[payload]
		switch slices.Sort(states); {
		case states[0] != states[len(states)-1]:
			t.Errorf("%s, job %s: nodes report different states %v", payload, k.id, states)
		case k.class == "tile-charge" && len(startedAt) > 1,
			len(slices.Compact(slices.Sorted(slices.Values(startedAt)))) > 1:
			t.Errorf("%s, job %s of %s: started at %v", payload, k.id, k.class, startedAt)
		case states[0] == "DONE" && len(startedAt) == 0, states[0] == "FAILED" && sub != "failed" && len(startedAt) > 0:
			t.Errorf("%s, job %s: reported as %s %s, but started at %v", payload, k.id, states[0], sub, startedAt)
		}
	}
	claims := l.checkClaims(t)
	t.Logf("%d faults, %d jobs, %d claims; final states %v", *faultCount, len(jobs), claims, finalStates)
	if len(jobs) < *faultCount/2 || claims < 5 || finalStates["DONE "] == 0 {
		t.Errorf("%d jobs with final states %v and %d claims: too few for a conclusive run", len(jobs), finalStates, claims)
	}
}

// allLogs returns the logs of all runs of the process.
func (s *testNode) allLogs() string {
	var all strings.Builder
	names, _ := os.ReadDir(s.dir)
	for _, x := range names {
		if strings.HasPrefix(x.Name(), "log") {
			text, _ := os.ReadFile(s.dir + "/" + x.Name())
			all.Write(text)
		}
	}
	return all.String()
}

var rounds = flag.Int("rounds", 1, "how often TestTimeWithoutOwner injects each fault; the documented figures use 20")

// A partition gets a new owner after its owner is killed, stopped, or cut off from the other processes but not from
// its executors and clients. An owner that is cut off releases no job meanwhile. The test logs the time without an
// owner and checks no bound on it.
func TestTimeWithoutOwner(t *testing.T) {
	l := newProxiedFleet(t, 3, 1, 20*time.Millisecond)
	firstOwner, other := l.fleet[0], l.fleet[1]
	setOwnerLinks := func(f testenv.Fault) { l.eachLink(0, func(x *testenv.Link) { x.Set(f) }) }
	for _, x := range []struct {
		name        string
		cause, lift func()
	}{
		{"killed", firstOwner.kill, func() { firstOwner.startWithoutWaiting() }},
		{"stopped", func() { firstOwner.signal(syscall.SIGSTOP) }, func() { firstOwner.signal(syscall.SIGCONT) }},
		{"cut off", func() { setOwnerLinks(testenv.Fault{BlockUp: true, BlockDown: true}) },
			func() { setOwnerLinks(testenv.Fault{}) }},
	} {
		var took []time.Duration
		for n := range *rounds {
			payload := fmt.Sprintf("%s %d", x.name, n)
			var id string
			firstOwner.until("the owner accepts a job", func() bool {
				status, v := firstOwner.call("POST", "/jobs",
					fmt.Sprintf(`{"jobCategory":"tile-charge","accountingId":"maavaade","payload":%q,"submitAsHold":true}`, payload))
				id = v.Get("jobId").String()
				return status == 201
			})
			partition := id[:strings.LastIndexByte(id, '.')]
			at := strings.LastIndexByte(partition, '.')
			key := fmt.Sprintf("%s.%012s", partition[:at], partition[at+1:])
			owner := func() string {
				m, err := testenv.CallFor(other.store, time.Second, "GET", "/v1/kv/duty/"+key+"?stale=1", nil)
				if err != nil || m.Status != 200 {
					return ""
				}
				return gjson.Get(gjson.GetBytes(m.Body, "value").String(), "node").String()
			}
			other.until("n1 reports n0 as the owner", func() bool { return owner() == "n0" })
			x.cause()
			began := time.Now()
			other.until("another process is the owner", func() bool { got := owner(); return got != "" && got != "n0" })
			took = append(took, time.Since(began))
			if x.name == "cut off" { // clients still reach it, but it must not release their jobs
				if status, v := firstOwner.call("POST", "/jobs/"+id+"/release", ""); status == 200 {
					t.Errorf("%s: released by a node that is cut off: %s", payload, v.Raw)
				}
			}
			other.until("release", func() bool { status, _ := other.call("POST", "/jobs/"+id+"/release", ""); return status == 200 })
			other.until("the job is done", func() bool {
				_, v := other.call("GET", "/jobs/"+id, "")
				return v.Get("jobState").String() == "DONE"
			})
			x.lift()
			if n := l.starts(payload); n != 1 {
				t.Errorf("%s started %d times", payload, n)
			}
		}
		slices.Sort(took)
		t.Logf("%s, %d times: new owner after %v (median), %v (maximum)", x.name, len(took),
			took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
	}
}
