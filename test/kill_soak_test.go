package test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/testenv"
)

// killSoakSeeds is the number of seeds that TestKillSoak runs. CI runs the default.
var killSoakSeeds = flag.Int("kill-soak-seeds", 4, "number of seeds of TestKillSoak, starting at 1")

// Parameters of TestKillSoak. A node may be killed soakDeadline, the longest deadline of a request, plus soakKillMargin
// after SIGTERM. A request that arrives within soakKillMargin after the signal must still be answered.
const (
	soakDeadline   = 300 * time.Millisecond
	soakKillMargin = 700 * time.Millisecond
	soakLateness   = 500 * time.Millisecond // an answer may be this much later than its deadline
	soakLoadTime   = 400 * time.Millisecond // duration of the load before the first signal
	soakSockets    = 256                    // limit of the node, and the number of idle connections in some runs
)

// killSoak holds the random parameters of one run.
type killSoak struct {
	seed      int64
	clients   int
	run       time.Duration // run time of a job
	hanging   bool          // one executor accepts jobs and sends no callbacks
	slots     int           // of each executor
	idleConns int           // number of idle connections to the node
	signals   []syscall.Signal
	gap       time.Duration // between signals
}

func randomKillSoak(seed int64) killSoak {
	random := rand.New(rand.NewSource(seed))
	k := killSoak{seed: seed, clients: 4 + random.Intn(28), run: time.Duration(10+random.Intn(150)) * time.Millisecond,
		hanging: random.Intn(3) == 0, slots: 1 + random.Intn(10), gap: time.Duration(random.Intn(60)) * time.Millisecond}
	series := [][]syscall.Signal{{syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}}
	k.signals = series[random.Intn(len(series))]
	if random.Intn(3) == 0 {
		k.idleConns = soakSockets
	}
	return k
}

// soakRequest is one request with the outcome that its client saw.
type soakRequest struct {
	id     string
	sentAt time.Time
	answer time.Duration // time from sentAt to the answer or the error
	err    error         // no answer was received, or errClosing
	at     time.Time     // time of the answer or the error
}

// The program gets a series of signals and is killed at the earliest time allowed after SIGTERM, while clients keep
// using their connections. Some runs have many idle connections or an executor that hangs. Each request that an
// executor received is answered in time, and so is each request that was sent early enough on a connection that stayed
// open until the kill. Each run is determined by its seed. For a longer run:
// go test -run '^TestKillSoak$' ./test -kill-soak-seeds 50
func TestKillSoak(t *testing.T) {
	for seed := int64(1); seed <= int64(*killSoakSeeds); seed++ {
		k := randomKillSoak(seed)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { k.test(t) })
	}
}

func (k killSoak) test(t *testing.T) {
	s := newTestNode(t, 3, k.run)
	s.settingsJSON = strings.NewReplacer(`"aim":400.0,"deadline":7500.0`, `"aim":150.0,"deadline":300.0`,
		`"aim":1500.0,"deadline":25000.0`, `"aim":200.0,"deadline":300.0`).Replace(defaultSettings)
	s.sockets, s.memoryMB = soakSockets, 32
	for i, executor := range s.executors {
		executor.Set(func(b *testenv.Behavior) { b.Slots, b.NoCallbacks = k.slots, k.hanging && i == 0 })
	}
	s.start()
	for range k.idleConns {
		if c, err := net.Dial("tcp", s.listen); err == nil {
			defer func() { _ = c.Close() }()
		}
	}
	lag := watchLag(t)
	ctx, stop := context.WithCancel(context.Background())
	load := k.startLoad(ctx, s)
	time.Sleep(soakLoadTime)
	var termAt time.Time
	for _, sig := range k.signals {
		if termAt.IsZero() && sig == syscall.SIGTERM {
			termAt = time.Now()
		}
		if err := s.process.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		time.Sleep(k.gap)
	}
	// The machine may have delayed the program as much as it delayed the test, so the kill is postponed by that time.
	time.Sleep(time.Until(termAt.Add(soakDeadline + soakKillMargin)))
	time.Sleep(time.Duration(lag.Load()))
	killedAt := time.Now()
	_ = s.process.Process.Kill()
	stop()
	requests := load()
	_ = s.awaitExit() // killed, or exited before
	s.process = nil
	k.check(t, s, requests, termAt, killedAt, time.Duration(lag.Load()))
}

// startLoad starts clients that send one request after another until the context ends. Each client uses a connection
// as long as it is open. The returned function waits for the clients and returns all requests.
func (k killSoak) startLoad(ctx context.Context, s *testNode) func() []soakRequest {
	var all sync.WaitGroup
	requests := make([][]soakRequest, k.clients)
	for i := range requests {
		all.Go(func() {
			for number := 0; ctx.Err() == nil; {
				conn, err := testenv.Dial(s.listen)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				for open := true; open && ctx.Err() == nil; number++ {
					r := k.request(conn, fmt.Sprintf("%04x%012x", i, number))
					requests[i] = append(requests[i], r)
					open = r.err == nil
				}
				_ = conn.Close()
			}
		})
	}
	return func() (out []soakRequest) {
		all.Wait()
		for _, some := range requests {
			out = append(out, some...)
		}
		return out
	}
}

// request sends a request and waits for its answer.
func (k killSoak) request(conn *testenv.Conn, id string) soakRequest {
	class := []string{"tile-charge", "area-render"}[id[15]%2]
	r := soakRequest{id: id, sentAt: time.Now()}
	m, err := conn.Do("POST", "/"+class+"/cut?z=3", []byte("body of "+id), header("X-Trace-Id", id),
		header("X-Customer", "pohjakaart"), header("X-Expires-In-Ms", fmt.Sprint(soakDeadline.Milliseconds())),
		header("Idempotency-Key", "key-"+id))
	r.err, r.at = err, time.Now()
	r.answer = r.at.Sub(r.sentAt)
	if err == nil && m.Close {
		r.err = errClosing
	}
	return r
}

// errClosing reports that the request was answered and that the server closes the connection after the answer.
var errClosing = errors.New("request answered, server closes the connection")

func (k killSoak) check(t *testing.T, s *testNode, requests []soakRequest, termAt, killedAt time.Time,
	lag time.Duration) {
	starts := s.starts()
	answered, afterSignal := 0, 0
	for _, r := range requests {
		if r.err == nil || errors.Is(r.err, errClosing) {
			answered++
			if r.sentAt.After(termAt) {
				afterSignal++
			}
			if r.answer > soakDeadline+soakLateness+lag {
				t.Errorf("request %s was answered after %v", r.id, r.answer)
			}
			continue
		}
		attempts := starts[r.id]
		answerRequired := r.sentAt.Before(killedAt.Add(-soakDeadline)) // if the connection was open until the kill
		if len(attempts) > 0 || answerRequired && !r.at.Before(killedAt) {
			t.Errorf("request %s was not answered: sent %v after SIGTERM, failed %v before the kill (%v), %d starts",
				r.id, r.sentAt.Sub(termAt), killedAt.Sub(r.at), r.err, len(attempts))
		}
	}
	for id, began := range starts {
		if len(began) > 1 && strings.HasPrefix(began[0].Target, "/tile-charge") {
			t.Errorf("request %s of an at-most-once class started %d times", id, len(began))
		}
	}
	t.Logf("%+v: %d requests, %d answered, %d of them sent after SIGTERM, %d started, test delayed by %v",
		k, len(requests), answered, afterSignal, len(starts), lag)
	if answered == 0 || afterSignal == 0 {
		t.Errorf("%d answered, %d of them sent after SIGTERM: too few for a conclusive run", answered, afterSignal)
	}
}

// watchLag measures, until the test ends, the longest delay of this process's timers by the machine, in nanoseconds.
func watchLag(t *testing.T) *atomic.Int64 {
	const every = 2 * time.Millisecond
	var worst atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			before := time.Now()
			time.Sleep(every)
			if late := int64(time.Since(before) - every); late > worst.Load() {
				worst.Store(late)
			}
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return &worst
}
