package test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/actor"
	"gatetack/internal/testenv"
)

var (
	actorFaults = flag.Int("desk-faults", 8,
		"number of faults that TestActorsMigrateAndSurviveFaults causes; the long run takes 200")
	actorSeed = flag.Uint64("desk-seed", 1, "seed of its random choices")
)

// counterFunction is an actor function whose state shows each lost, repeated or reordered call, and that submits a job at each
// tenth call.
const counterFunction = `start: {n: 0, sum: 0, jobs: 0, failed: 0}
on:
  call:
    state: '{"n": state.n + 1.0, "sum": state.sum + event.body.v * (state.n + 1.0), "jobs": state.jobs, "failed": state.failed}'
    answer: '{"n": state.n + 1.0}'
    jobs: >-
      int(state.n + 1.0) % 10 == 0 ? [{"name": "job " + string(int(state.n + 1.0)), "category": "tile-charge", "account": "maavaade",
      "payload": event.desk + " job " + string(int(state.n + 1.0)), "inputs": ["scene-t"]}] : []
  end:
    state: '{"n": state.n, "sum": state.sum, "jobs": state.jobs + 1.0, "failed": state.failed + (event.served ? 0.0 : 1.0)}'
`

// callActor makes one call to an actor at a node, as a client in the node's zone does.
func (s *testNode) callActor(id string, n uint64, v int) (int, gjson.Result, error) {
	body, _ := json.Marshal(map[string]any{"number": n, "body": map[string]int{"v": v}})
	m, err := testenv.Call(s.batch, "POST", "/drmaa2/v1/desks/"+id+"/calls", body)
	if err != nil {
		return 0, gjson.Result{}, err
	}
	return m.Status, gjson.ParseBytes(m.Body), nil
}

func newTwoZoneFleet(t *testing.T, n int) fleet {
	f := makeFleet(t, n, 20*time.Millisecond)
	for i, s := range f {
		s.settingsJSON = strings.Replace(defaultSettings, `"zone":0`, fmt.Sprintf(`"zone":%d`, i%2), 1)
		s.useTwoZones("- {name: scene-t, bytes: 8e9, halls: [tartu]}\n")
	}
	f.startAll()
	return f
}

// Calls that arrive through another zone for a while make an actor migrate there. No call is lost or executed twice, and a repeated
// call gets the same response at any node.
func TestActorMigratesToItsClientsZone(t *testing.T) {
	f := newTwoZoneFleet(t, 3)
	body, _ := json.Marshal(map[string]string{"id": "crew", "function": counterFunction})
	f[0].until("the actor is created", func() bool {
		m, err := testenv.Call(f[0].batch, "POST", "/drmaa2/v1/desks", body)
		return err == nil && (m.Status == 201 || m.Status == 409)
	})
	n, at := uint64(0), ""
	call := func(s *testNode) {
		t.Helper()
		n++
		s.until("a call is answered", func() bool {
			status, v, err := s.callActor("crew", n, 1)
			if err == nil && status == 200 {
				if at = v.Get("node").String(); v.Get("answer.n").Uint() != n {
					t.Fatalf("call %d was answered %s", n, v.Raw)
				}
			}
			return err == nil && status == 200
		})
	}
	for range 5 {
		call(f[0])
	}
	if at != "n0" {
		t.Errorf("the actor is at %s, want n0", at)
	}
	f[1].until("the actor has migrated to its client's zone", func() bool { call(f[1]); return at == "n1" })
	if status, v, err := f[2].callActor("crew", n, 1); err != nil || status != 200 || v.Get("answer.n").Uint() != n {
		t.Errorf("the last call repeated at another node: %d %s %v", status, v.Raw, err)
	}
	if status, v, _ := f[0].callActor("crew", n+5, 1); status != 409 || v.Get("next").Uint() != n+1 || v.Get("do").String() == "" {
		t.Errorf("a call out of order: %d %s", status, v.Raw)
	}
	// The node that owns the actor is killed; the actor continues at another node with every answered call in its state.
	f[1].kill()
	for range 3 {
		call(f[2])
	}
	if at == "n1" {
		t.Error("a killed node answered")
	}
}

// Clients in two zones call actors at five nodes and move between the zones, and the actors submit jobs with input data, while
// nodes are killed, stopped for longer than their leases or all killed at once, and store folders are restored to earlier copies.
// Each call must get its own response. The state of each actor must equal that of an oracle, which applies the same calls to one
// state machine without faults, and no job of an actor may start twice.
func TestActorsMigrateAndSurviveFaults(t *testing.T) {
	f := newTwoZoneFleet(t, 5)
	rng := rand.New(rand.NewPCG(*actorSeed, 0))
	const devices = 8
	body := func(id string) []byte {
		b, _ := json.Marshal(map[string]string{"id": id, "function": counterFunction})
		return b
	}
	var up [5]atomic.Bool
	for i := range up {
		up[i].Store(true)
	}
	for d := range devices {
		id := fmt.Sprint("crew-", d)
		f[0].until("an actor is created", func() bool {
			m, err := testenv.Call(f[d%5].batch, "POST", "/drmaa2/v1/desks", body(id))
			return err == nil && (m.Status == 201 || m.Status == 409)
		})
	}
	var stop atomic.Bool
	var failure atomic.Pointer[string]
	var g sync.WaitGroup
	calls := make([]uint64, devices)
	nodesSeen := make([]map[string]bool, devices)
	for d := range devices {
		draw := rand.New(rand.NewPCG(*actorSeed, uint64(d+1)))
		nodesSeen[d] = map[string]bool{}
		g.Go(func() {
			id, zone := fmt.Sprint("crew-", d), d%2
			for n := uint64(1); !stop.Load(); {
				if draw.IntN(60) == 0 {
					zone = 1 - zone
				}
				i := []int{0, 2, 4}[draw.IntN(3)]
				if zone == 1 {
					i = []int{1, 3}[draw.IntN(2)]
				}
				if !up[i].Load() {
					time.Sleep(10 * time.Millisecond)
					i = draw.IntN(5)
				}
				status, v, err := f[i].callActor(id, n, d+1)
				if err != nil || status != 200 {
					if status == 409 && v.Get("next").Uint() > n {
						text := fmt.Sprintf("%s: call %d was rejected: %s", id, n, v.Raw)
						failure.Store(&text)
						return
					}
					time.Sleep(20 * time.Millisecond)
					continue
				}
				if v.Get("answer.n").Uint() != n {
					text := fmt.Sprintf("%s: call %d was answered %s", id, n, v.Raw)
					failure.Store(&text)
					return
				}
				nodesSeen[d][v.Get("node").String()] = true
				calls[d] = n
				n++
				time.Sleep(15 * time.Millisecond)
			}
		})
	}
	var steps []string
	for k := range *actorFaults {
		i := rng.IntN(5)
		s := f[i]
		fault := rng.IntN(3)
		if k%8 == 3 {
			fault = 3
		}
		steps = append(steps, fmt.Sprintf("%d: n%d %s", k+1, i,
			[]string{"killed", "stopped", "restored from a copy", "and all others killed, its folder restored from a copy"}[fault]))
		up[i].Store(false)
		switch fault {
		case 3:
			before := filepath.Join(t.TempDir(), "before")
			for _, x := range f {
				x.kill()
			}
			s.copyStoreDir(before)
			for _, x := range f {
				x.startWithoutWaiting()
			}
			s.until("the store accepts writes again", func() bool { _, err := s.storeCommand("set", "mark", "k", fmt.Sprint(k)); return err == nil })
			for _, x := range f {
				x.kill()
			}
			s.restoreStoreDir(before)
			for _, x := range f {
				x.startWithoutWaiting()
			}
		case 0:
			s.kill()
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			s.startWithoutWaiting()
		case 1:
			s.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(3500+rng.IntN(1000)) * time.Millisecond)
			s.signal(syscall.SIGCONT)
		case 2:
			s.kill()
			before := filepath.Join(t.TempDir(), "before")
			s.copyStoreDir(before)
			s.startWithoutWaiting()
			s.until("the node writes to the store again", func() bool { _, err := s.storeCommand("set", "mark", "k", fmt.Sprint(k)); return err == nil })
			s.kill()
			s.restoreStoreDir(before)
			s.startWithoutWaiting()
		}
		s.until("the node is back",
			func() bool { _, err := s.storeCommand("set", "mark", "k", fmt.Sprint(k)); return err == nil })
		up[i].Store(true)
		if text := failure.Load(); text != nil {
			t.Fatalf("%s\n%s", *text, strings.Join(steps, "\n"))
		}
	}
	time.Sleep(time.Second)
	stop.Store(true)
	g.Wait()
	if text := failure.Load(); text != nil {
		t.Fatalf("%s\n%s", *text, strings.Join(steps, "\n"))
	}
	fn, err := actor.Compile([]byte(counterFunction))
	if err != nil {
		t.Fatal(err)
	}
	migrated, started := 0, [2]int{}
	for d := range devices {
		id := fmt.Sprint("crew-", d)
		oracle := actor.New(id, fn)
		var keys []string
		for n := uint64(1); n <= calls[d]; n++ {
			if oracle, _, err = oracle.Apply(fn, &actor.Event{Kind: actor.Call, Number: n, Body: json.RawMessage(fmt.Sprintf(`{"v":%d}`, d+1))}); err != nil {
				t.Fatal(err)
			}
			for name, j := range oracle.Jobs {
				keys = append(keys, j.Payload)
				oracle, _, _ = oracle.Apply(fn, &actor.Event{Kind: actor.JobEnded, Job: name, Key: j.Key, Served: true})
			}
		}
		want, state := gjson.ParseBytes(oracle.State), gjson.Result{}
		f[0].until(id+" has ended all its jobs", func() bool {
			m, err := testenv.Call(f[0].batch, "GET", "/drmaa2/v1/desks/"+id, nil)
			if err != nil || m.Status != 200 {
				return false
			}
			state = gjson.ParseBytes(m.Body)
			// A job that was sent when its node was lost is indeterminate and is not sent again until an operator resolves it.
			return state.Get("state.jobs").Num+state.Get("jobs").Num == want.Get("jobs").Num
		})
		if state.Get("last").Uint() != calls[d] || state.Get("state.n").Num != want.Get("n").Num || state.Get("state.sum").Num != want.Get("sum").Num {
			t.Errorf("%s: %s, want %d calls and %s\n%s", id, state.Raw, calls[d], oracle.State, strings.Join(steps, "\n"))
		}
		unstarted := 0
		for _, p := range keys {
			started[min(f.starts(p), 1)]++
			switch n := f.starts(p); {
			case n > 1:
				t.Errorf("%q started %d times\n%s", p, n, strings.Join(steps, "\n"))
			case n == 0:
				unstarted++
			}
		}
		// A job that never started either is indeterminate or was reported to its actor as failed, since its deadline passed while its
		// node was stopped.
		if told := int(state.Get("state.failed").Num + state.Get("jobs").Num); unstarted > told {
			t.Errorf("%s: %d jobs never started, and only %d are reported as failed or indeterminate\n%s", id, unstarted, told, strings.Join(steps, "\n"))
		}
		if len(nodesSeen[d]) > 1 {
			migrated++
		}
	}
	var durations []time.Duration
	for _, s := range f {
		text, _ := os.ReadFile(s.log.Name())
		for _, m := range regexp.MustCompile(`msg="desk moved".* took=(\S+)`).FindAllSubmatch(text, -1) {
			if d, err := time.ParseDuration(string(m[1])); err == nil {
				durations = append(durations, d)
			}
		}
	}
	if slices.Sort(durations); len(durations) > 0 {
		t.Logf("%d migrations in the logs of the last runs: an actor was paused for a median of %v, %v at most",
			len(durations), durations[len(durations)/2], durations[len(durations)-1])
	}
	all := slices.Clone(calls)
	slices.Sort(all)
	t.Logf("%d to %d calls per actor, %d of %d actors migrated, %d jobs started once and %d never; faults: %s", all[0], all[devices-1], migrated, devices,
		started[1], started[0], strings.Join(steps, "; "))
	if migrated == 0 || started[1] == 0 {
		t.Error("no actor migrated or no job started")
	}
}
