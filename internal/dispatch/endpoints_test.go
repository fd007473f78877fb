package dispatch

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"
)

// A delta of a few executors results in the same executors, entries, hashes and tags as a rebuild of the list, and
// in the same actions. The deltas include drains, restarts, executors that are removed with jobs in flight and
// return, and executors with the same tag.
func TestListDeltaMatchesRebuild(t *testing.T) { //nolint:gocognit // one course of events
	for seed := int64(1); seed <= 6; seed++ {
		rng := rand.New(rand.NewSource(seed))
		s := base()
		s.Nodes, s.GossipAllowed = 60, true
		first := fleet(300)
		changes, rebuilt := newRig(t, s, first...), newRig(t, s, first...)
		if changes.d.gossip.mode != gossipAggregator {
			t.Fatal("gossip mode has 16-bit tags, which are rarely shared by executors")
		}
		updates := map[uint32]EndpointUpdate{}
		for _, r := range first {
			updates[r.Executor] = r
		}
		var inFlight []Action
		for job := uint32(1); job <= 250; job++ {
			events := []Event{request(job, uint8(rng.Intn(3)), 0, 1)}
			for len(inFlight) > 40 || len(inFlight) > 0 && rng.Intn(3) == 0 {
				events = append(events, outcome(inFlight[0].Job, 0, inFlight[0].Executor, Served))
				inFlight = inFlight[1:]
			}
			revision := rebuilt.d.endpoints.revision
			if rng.Intn(2) == 0 {
				events = append(events, Event{Kind: EvEndpoints, Form: ListDelta, Updates: randomChange(rng, updates, changes.now)})
			}
			a, b := changes.after(20, events...), rebuilt.after(20, events...)
			if !reflect.DeepEqual(a, b) {
				t.Fatalf("seed %d, job %d: actions %v, want %v as after a rebuild", seed, job, a, b)
			}
			if rebuilt.d.endpoints.revision != revision {
				rebuilt.d.rebuildList()
			}
			if diff := listDiffers(changes.d, rebuilt.d); diff != "" {
				t.Fatalf("seed %d, job %d: %s", seed, job, diff)
			}
			for _, x := range a {
				if x.Kind == ActSend && len(changes.d.jobs.byID[x.Job].attempts) == 1 {
					inFlight = append(inFlight, x)
				}
			}
		}
	}
}

// randomChange changes a few random executors: their condition, start or cell, or a new executor.
func randomChange(rng *rand.Rand, updates map[uint32]EndpointUpdate, now float64) (changed []EndpointUpdate) {
	for range 1 + rng.Intn(4) {
		id := uint32(90 + rng.Intn(320))
		r, ok := updates[id]
		if !ok {
			r = ready(id, 0)
		}
		switch rng.Intn(5) {
		case 0:
			r.Condition = Removed
		case 1:
			r.Condition = Draining
		case 2:
			r.Condition, r.StartedAt = Ready, now
		case 3:
			r.Condition, r.Cell = Ready, uint16(rng.Intn(3))
		default:
			r.Condition = Ready
		}
		updates[id] = r
		changed = append(changed, r)
	}
	return changed
}

// listDiffers describes the first difference between the lists of two dispatchers, "" if there is none.
func listDiffers(a, b *Dispatcher) string {
	ids := func(d *Dispatcher) (ids []uint32) {
		for _, executor := range d.endpoints.listed {
			ids = append(ids, executor.id)
		}
		return ids
	}
	known := func(d *Dispatcher) (ids []uint32) {
		for id := range d.endpoints.byID {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		return ids
	}
	names := func(d *Dispatcher) map[uint16]uint32 {
		names := map[uint16]uint32{}
		for tag, executor := range d.endpoints.byTag {
			names[tag] = executor.id
		}
		return names
	}
	switch {
	case !slices.Equal(ids(a), ids(b)):
		return fmt.Sprintf("executors %v, want %v", ids(a), ids(b))
	case !slices.Equal(known(a), known(b)):
		return fmt.Sprintf("known executors %v, want %v", known(a), known(b))
	case !slices.Equal(a.endpoints.entries, b.endpoints.entries):
		return fmt.Sprintf("entries %v, want %v", a.endpoints.entries, b.endpoints.entries)
	case !slices.Equal(a.endpoints.hashes, b.endpoints.hashes):
		return fmt.Sprintf("hashes %v, want %v", a.endpoints.hashes, b.endpoints.hashes)
	case !reflect.DeepEqual(names(a), names(b)):
		return fmt.Sprintf("tags %v, want %v", names(a), names(b))
	}
	return ""
}

// BenchmarkListChange compares a change of one executor, which drains or is removed and then returns, with a
// rebuild of the list.
func BenchmarkListChange(b *testing.B) {
	for _, n := range []int{200, 1000, 6200} {
		for _, c := range []struct {
			name string
			to   Condition
		}{{"drain", Draining}, {"remove", Removed}} {
			for _, rebuild := range []bool{false, true} {
				b.Run(fmt.Sprintf("executors=%d/%s/rebuild=%v", n, c.name, rebuild), func(b *testing.B) {
					s := base()
					s.Nodes = 300
					d, err := New(s, 1)
					if err != nil {
						b.Fatal(err)
					}
					d.applyUpdates(&Event{Form: ListCached, Updates: fleet(n)})
					update := ready(uint32(100+n/2), 0)
					for i := range b.N {
						update.Condition = Ready
						if i%2 == 0 {
							update.Condition = c.to
						}
						d.applyUpdates(&Event{Form: ListDelta, Updates: []EndpointUpdate{update}})
						if rebuild {
							d.rebuildList()
						}
					}
				})
			}
		}
	}
}

// With live weights, all weights are updated frequently. When an executor is added, the others keep their last
// weights.
func TestWeightsOutlastListChanges(t *testing.T) {
	s := base()
	s.Nodes, s.LiveWeights = 100, true
	r := newRig(t, s, fleet(30)...)
	updates := fleet(30)
	for i := range updates {
		updates[i].Weight = 0.25
	}
	r.after(500, Event{Kind: EvEndpoints, Form: ListDelta, Updates: updates})
	r.after(500, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{ready(500, 0)}})
	for _, executor := range r.d.endpoints.listed {
		want := 3.0
		if executor.id == 500 {
			want = 0
		}
		if got := r.d.endpoints.entries[executor.endpoint.position].liveLoad; got != want {
			t.Fatalf("executor %d: live load of %v requests per core, want %v", executor.id, got, want)
		}
	}
}
