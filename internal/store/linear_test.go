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

var span = flag.Duration("span", 6*time.Second, "how long TestLinearizable kills members; the long run takes 10m")

// A call to the store, as the model sees it.
type input struct {
	verb  string // get, put, create or delete
	key   string
	value string
}

type output struct {
	value   string
	found   bool
	ok      bool
	unknown bool // it is not known whether it was made
}

// register is what one key must look like: a value that stands or not.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(input).key
			by[k] = append(by[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
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

// recorder makes calls at members that are stopped and started meanwhile, and records their history.
type recorder struct {
	members []*node
	began   time.Time

	mu      sync.Mutex // of the members' stores, and of the history
	history []porcupine.Operation
}

func (r *recorder) store(i int) *Store {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[i].s
}

func (r *recorder) now() int64 { return time.Since(r.began).Nanoseconds() }

// run makes the calls of one client until the context ends.
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

// record makes one call. A read that fails is not recorded; a write that fails may still be made, at any later time.
func (r *recorder) record(ctx context.Context, client int, s *Store, in input) {
	call := r.now()
	// The end of the test does not end a call that is under way.
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

// make makes the call at a member.
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

// killMembers stops one or two members at random and starts them again until a moment. It returns how many it stopped.
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

// Members are killed at random, two of five at most at a time, while clients read, write, create and delete through all
// of them. What was told fits one order of all calls, in which each takes place between its beginning and its end, and
// nothing that was acknowledged is lost.
func TestLinearizable(t *testing.T) {
	all := cluster(t, 5)
	ctx, cancel := context.WithTimeout(t.Context(), *span)
	defer cancel()
	calls := &recorder{members: all, began: time.Now()}
	var g errgroup.Group
	for client := range 4 {
		g.Go(func() error { calls.run(ctx, client); return nil })
	}
	kills := calls.killMembers(t, calls.began.Add(*span))
	_ = g.Wait()
	history := calls.history
	known := 0
	for i, op := range history {
		if !op.Output.(output).unknown {
			known++
		} else {
			history[i].ClientId = 1000 + i // it overlaps with its client's next calls
		}
	}
	if known < 20 || kills < 2 {
		t.Fatalf("%d calls of %d came back, %d kills: too few to show anything", known, len(history), kills)
	}
	if r := porcupine.CheckOperationsTimeout(register, history, 2*time.Minute); r != porcupine.Ok {
		t.Errorf("%d calls with %d kills: %v", len(history), kills, r)
	}
	t.Logf("%d calls, %d of them with a known end, %d kills", len(history), known, kills)
	testenv.Until(t, "all agree in the end", func() bool {
		want := all[0].s.Status().Applied
		for _, m := range all {
			if m.s.Status().Applied != want {
				return false
			}
		}
		return true
	})
}

// The checker finds what is wrong: a value that was acknowledged and is not told.
func TestLinearizableCatches(t *testing.T) {
	lost := []porcupine.Operation{
		{ClientId: 0, Input: input{"put", "k", "a"}, Call: 0, Output: output{ok: true}, Return: 10},
		{ClientId: 1, Input: input{"get", "k", ""}, Call: 20, Output: output{}, Return: 30},
	}
	if porcupine.CheckOperations(register, lost) {
		t.Error("a lost write passes")
	}
	twice := []porcupine.Operation{
		{ClientId: 0, Input: input{"create", "k", "a"}, Call: 0, Output: output{ok: true}, Return: 10},
		{ClientId: 1, Input: input{"create", "k", "b"}, Call: 20, Output: output{ok: true}, Return: 30},
	}
	if porcupine.CheckOperations(register, twice) {
		t.Error("a key that was created twice passes")
	}
}
