package store

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/kv"
	"gatetack/internal/testenv"
)

var killTime = flag.Duration("span", 6*time.Second, "how long TestLinearizable kills members; the long run takes 10m")

// input is a call to the store, as input of the model.
type input struct {
	verb  string // get, put, create or delete
	key   string
	value string
}

// output is the result of a call.
type output struct {
	value   string
	found   bool
	ok      bool
	unknown bool // it is unknown whether the call took effect
}

// register is the model of one key: a value, or none.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(input).key
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" }, // no value is empty
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(string), in.(input), out.(output)
		switch i.verb {
		case "get":
			return o.unknown || o.found == (s != "") && o.value == s, s
		case "put":
			return true, i.value
		case "delete":
			return true, ""
		}
		if o.unknown {
			if s == "" {
				s = i.value
			}
			return true, s
		}
		if s == "" {
			return o.ok, i.value
		}
		return !o.ok, s
	},
	Equal: func(a, b any) bool { return a == b },
}

// recorder makes calls to members that are stopped and restarted meanwhile, and records the history of the calls.
type recorder struct {
	members   []*node
	startedAt time.Time

	mu      sync.Mutex // protects the stores of the members and the history
	history []porcupine.Operation
}

func (r *recorder) store(i int) *Store {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[i].s
}

func (r *recorder) now() int64 { return time.Since(r.startedAt).Nanoseconds() }

// run makes calls as one client until the context ends.
func (r *recorder) run(ctx context.Context, client int) {
	rng := rand.New(rand.NewPCG(7, uint64(client)))
	for n := 0; ctx.Err() == nil; n++ {
		in := input{
			verb:  []string{"get", "get", "put", "create", "delete"}[rng.IntN(5)],
			key:   fmt.Sprint("k", rng.IntN(4)),
			value: fmt.Sprintf("%d.%d", client, n),
		}
		r.record(ctx, client, r.store(rng.IntN(len(r.members))), in)
	}
}

// record makes and records one call. A read that fails is not recorded. A write that fails may still take effect at any
// later time.
func (r *recorder) record(ctx context.Context, client int, s *Store, in input) {
	call := r.now()
	// The end of the test does not cancel a call in flight.
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	out, err := in.make(ctx, s)
	stop()
	end := r.now()
	if err != nil {
		if in.verb == "get" {
			return
		}
		out.unknown, end = true, 1<<62
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// make makes the call to a member.
func (in input) make(ctx context.Context, s *Store) (out output, err error) {
	op := kv.Op{Verb: kv.Put, Table: "t", Key: in.key, Value: []byte(in.value)}
	switch in.verb {
	case "get":
		v, found, err := s.Get(ctx, "t", in.key)
		if out.found = found; found {
			out.value = string(v)
		}
		return out, err
	case "delete":
		op.Verb, op.Value = kv.Delete, nil
		_, err = s.Txn(ctx, &kv.Txn{Ops: []kv.Op{op}})
		return out, err
	}
	op.Cond = in.verb == "create"
	r, err := s.Txn(ctx, &kv.Txn{Ops: []kv.Op{op}})
	if err == nil {
		out.ok = r.OK()
	}
	return out, err
}

// killMembers stops one or two random members and restarts them, repeatedly until a given time. It returns the number
// of stops.
func (r *recorder) killMembers(t *testing.T, until time.Time) (kills int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(7, 99))
	for time.Now().Before(until) {
		victims := rng.Perm(len(r.members))[:1+rng.IntN(2)]
		for _, v := range victims {
			r.members[v].stop()
			kills++
		}
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		for _, v := range victims {
			r.mu.Lock()
			r.members[v].start(t)
			r.mu.Unlock()
		}
		time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond)
	}
	return kills
}

// At most two of five members at a time are stopped at random while clients read, write, create and delete through all
// members. The history is linearizable: the results agree with one order of the calls in which each call takes effect
// between its start and its end, and no acknowledged write is lost.
func TestLinearizable(t *testing.T) {
	all := cluster(t, 5)
	ctx, cancel := context.WithTimeout(t.Context(), *killTime)
	defer cancel()
	rec := &recorder{members: all, startedAt: time.Now()}
	var g errgroup.Group
	for client := range 4 {
		g.Go(func() error { rec.run(ctx, client); return nil })
	}
	kills := rec.killMembers(t, rec.startedAt.Add(*killTime))
	_ = g.Wait()
	history := rec.history
	known := 0
	for i, op := range history {
		if !op.Output.(output).unknown {
			known++
		} else {
			history[i].ClientId = 1000 + i // a call without a known end overlaps the next calls of its client
		}
	}
	if known < 20 || kills < 2 {
		t.Fatalf("%d calls of %d have a known end, %d kills: too few for a result", known, len(history), kills)
	}
	if r := porcupine.CheckOperationsTimeout(register, history, 2*time.Minute); r != porcupine.Ok {
		t.Errorf("%d calls with %d kills: %v", len(history), kills, r)
	}
	t.Logf("%d calls, %d of them with a known end, %d kills", len(history), known, kills)
	testenv.Until(t, "all members have applied the same entries", func() bool {
		want := all[0].s.Status().Applied
		for _, m := range all {
			if m.s.Status().Applied != want {
				return false
			}
		}
		return true
	})
}

// The checker rejects a history with a lost write, and one in which a key was created twice.
func TestCheckerRejectsInvalidHistories(t *testing.T) {
	lost := []porcupine.Operation{
		{ClientId: 0, Input: input{"put", "k", "a"}, Call: 0, Output: output{ok: true}, Return: 10},
		{ClientId: 1, Input: input{"get", "k", ""}, Call: 20, Output: output{}, Return: 30},
	}
	if porcupine.CheckOperations(register, lost) {
		t.Error("a history with a lost write was accepted")
	}
	twice := []porcupine.Operation{
		{ClientId: 0, Input: input{"create", "k", "a"}, Call: 0, Output: output{ok: true}, Return: 10},
		{ClientId: 1, Input: input{"create", "k", "b"}, Call: 20, Output: output{ok: true}, Return: 30},
	}
	if porcupine.CheckOperations(register, twice) {
		t.Error("a history in which a key was created twice was accepted")
	}
}
