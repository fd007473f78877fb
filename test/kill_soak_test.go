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

// killSoakSeeds is how many seeds of the kill soak are played; in CI the first few.
var killSoakSeeds = flag.Int("kill-soak-seeds", 4, "seeds of TestKillSoak, from 1 on")

// Figures of the kill soak. A node may be killed at the longest deadline and killSpare after SIGTERM, and a request
// that came by killSpare after the signal is still owed its answer.
const (
	soakDeadline  = 300 * time.Millisecond
	soakKillSpare = 700 * time.Millisecond
	soakLateness  = 500 * time.Millisecond // an answer that is later than its deadline by this is lost
	soakBefore    = 400 * time.Millisecond // of load before the first signal
	soakSockets   = 256                    // granted to the node, where a crowd fills them
)

// killSoak is what one run is drawn to be.
type killSoak struct {
	seed    int64
	clients int
	run     time.Duration // of a job
	hanging bool          // one executor takes jobs and tells nothing
	slots   int           // of each executor
	crowd   int           // idle connections
	signals []syscall.Signal
	gap     time.Duration // between signals
}

func drawKillSoak(seed int64) killSoak {
	random := rand.New(rand.NewSource(seed))
	k := killSoak{seed: seed, clients: 4 + random.Intn(28), run: time.Duration(10+random.Intn(150)) * time.Millisecond,
		hanging: random.Intn(3) == 0, slots: 1 + random.Intn(10), gap: time.Duration(random.Intn(60)) * time.Millisecond}
	series := [][]syscall.Signal{{syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}}
	k.signals = series[random.Intn(len(series))]
	if random.Intn(3) == 0 {
		k.crowd = soakSockets
	}
	return k
}

// soakRequest is one request, as its client saw it.
type soakRequest struct {
	id     string
	sentAt time.Time
	answer time.Duration // after sentAt
	err    error         // there was no answer
	at     time.Time     // of the error
}

// The program is killed at the earliest moment at which it may be, while clients go on using their connections after
// signals in series, some runs with a crowd of idle clients or an executor that hangs. Each request that an executor
// got has its answer in time, and so has each on a connection that stood until the kill and that came early enough.
// Each run is drawn from its seed. By hand: go test -run '^TestKillSoak$' ./test -kill-soak-seeds 50
func TestKillSoak(t *testing.T) {
	for seed := int64(1); seed <= int64(*killSoakSeeds); seed++ {
		k := drawKillSoak(seed)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { k.play(t) })
	}
}

func (k killSoak) play(t *testing.T) {
	s := newTestNode(t, 3, k.run)
	s.settingsJSON = strings.NewReplacer(`"aim":400.0,"deadline":7500.0`, `"aim":150.0,"deadline":300.0`,
		`"aim":1500.0,"deadline":25000.0`, `"aim":200.0,"deadline":300.0`).Replace(defaultSettings)
	s.sockets, s.memoryMB = soakSockets, 32
	for i, box := range s.executors {
		box.Set(func(b *testenv.Behavior) { b.Slots, b.NoCallbacks = k.slots, k.hanging && i == 0 })
	}
	s.start()
	for range k.crowd {
		if c, err := net.Dial("tcp", s.listen); err == nil {
			defer func() { _ = c.Close() }()
		}
	}
	lag := watchLag(t)
	ctx, stop := context.WithCancel(context.Background())
	load := k.startLoad(ctx, s)
	time.Sleep(soakBefore)
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
	// By as much as this machine held the test up, it may have held up the program: the kill comes so much later.
	time.Sleep(time.Until(termAt.Add(soakDeadline + soakKillSpare)))
	time.Sleep(time.Duration(lag.Load()))
	killedAt := time.Now()
	_ = s.process.Process.Kill()
	stop()
	requests := load()
	_ = s.awaitExit() // killed, or ended by itself
	s.process = nil
	k.judge(t, s, requests, termAt, killedAt, time.Duration(lag.Load()))
}

// startLoad has clients send one request after another, each on its connection as long as that is open, until the
// context ends; the function that it returns waits for them and gives all requests.
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

// request sends one and waits for its answer.
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

// errClosing ends the use of a connection with whose last answer the server said that it closes it.
var errClosing = errors.New("answered, and the connection is closed")

func (k killSoak) judge(t *testing.T, s *testNode, requests []soakRequest, termAt, killedAt time.Time, lag time.Duration) {
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
		began := starts[r.id]
		owed := r.sentAt.Before(killedAt.Add(-soakDeadline)) // on a connection that stood until the kill
		if len(began) > 0 || owed && !r.at.Before(killedAt) {
			t.Errorf("request %s has no answer: sent %v after the signal, ended %v before the kill (%v), %d starts",
				r.id, r.sentAt.Sub(termAt), killedAt.Sub(r.at), r.err, len(began))
		}
	}
	for id, began := range starts {
		if len(began) > 1 && strings.HasPrefix(began[0].Target, "/tile-charge") {
			t.Errorf("request %s of a class that runs at most once began %d times", id, len(began))
		}
	}
	t.Logf("%+v: %d requests, %d answered, %d of them sent after the signal, %d started, held up for %v",
		k, len(requests), answered, afterSignal, len(starts), lag)
	if answered == 0 || afterSignal == 0 {
		t.Errorf("%d answered, %d of them after the signal: the run shows nothing", answered, afterSignal)
	}
}

// watchLag measures for how long the machine held this process up at most, until the test ends.
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
