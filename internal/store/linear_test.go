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

// Members are killed at random, two of five at most at a time, while clients read, write, create and delete through all
// of them. What was told fits one order of all calls, in which each takes place between its beginning and its end, and
// nothing that was acknowledged is lost.
func TestLinearizable(t *testing.T) {
	all := cluster(t, 5)
	ctx, cancel := context.WithTimeout(t.Context(), *span)
	defer cancel()
	var mu sync.Mutex // of the members' stores, and of the history
	var history []porcupine.Operation
	began := time.Now()
	store := func(i int) *Store { mu.Lock(); defer mu.Unlock(); return all[i].s }
	var g errgroup.Group
	for client := range 4 {
		g.Go(func() error {
			rng := rand.New(rand.NewPCG(7, uint64(client)))
			for n := 0; ctx.Err() == nil; n++ {
				in := input{
					verb:  []string{"get", "get", "put", "create", "delete"}[rng.IntN(5)],
					key:   fmt.Sprint("k", rng.IntN(4)),
					value: fmt.Sprintf("%d.%d", client, n),
				}
				s := store(rng.IntN(len(all)))
				call := time.Since(began).Nanoseconds()
				cctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
				out := output{}
				var err error
				op := kv.Op{Verb: kv.Put, Table: "t", Key: in.key, Value: []byte(in.value)}
				switch in.verb {
				case "get":
					var v []byte
					v, out.found, err = s.Get(cctx, "t", in.key)
					out.value = string(v)
					if !out.found {
						out.value = ""
					}
				case "delete":
					op.Verb, op.Value = kv.Delete, nil
					_, err = s.Txn(cctx, &kv.Txn{Ops: []kv.Op{op}})
				default:
					op.Cond = in.verb == "create"
					var r *kv.Result
					if r, err = s.Txn(cctx, &kv.Txn{Ops: []kv.Op{op}}); err == nil {
						out.ok = r.OK()
					}
				}
				stop()
				end := time.Since(began).Nanoseconds()
				if err != nil {
					if in.verb == "get" {
						continue // it told nothing
					}
					out.unknown, end = true, 1<<62 // it may yet be made
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
				mu.Unlock()
			}
			return nil
		})
	}
	rng := rand.New(rand.NewPCG(7, 99))
	kills := 0
	for ctx.Err() == nil {
		victims := rng.Perm(len(all))[:1+rng.IntN(2)]
		for _, v := range victims {
			all[v].stop()
			kills++
		}
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		for _, v := range victims {
			mu.Lock()
			all[v].start(t)
			mu.Unlock()
		}
		time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond)
	}
	_ = g.Wait()
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
