package jobqueue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

var epoch = time.Unix(1_700_000_000, 0)

// Under any order of calls each job is handed out once for each time it waits, holds, starts and MaxParallel are kept,
// and what is counted adds up.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := New(), epoch
		type fate struct{ waits, out, over int }
		items, fates, out := map[string]*Item{}, map[string]*fate{}, []JobRef{}
		notBefore := map[string]time.Time{}
		total := func() (waits, outs int) {
			for _, f := range fates {
				waits, outs = waits+f.waits, outs+f.out
			}
			return waits, outs
		}
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			id := fmt.Sprint("j", rapid.IntRange(0, 9).Draw(t, "id"))
			switch rapid.IntRange(0, 7).Draw(t, "call") {
			case 0, 1:
				x := Item{ID: id, Session: fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "session")),
					Priority: rapid.IntRange(-1, 1).Draw(t, "priority"), Held: rapid.IntRange(0, 4).Draw(t, "held") == 0}
				if rapid.Bool().Draw(t, "later") {
					x.Start = now.Add(time.Duration(rapid.IntRange(-5, 20).Draw(t, "start")) * time.Second)
				}
				if rapid.Bool().Draw(t, "array") {
					x.Array, x.Begin, x.Step = true, rapid.IntRange(0, 5).Draw(t, "begin"), rapid.IntRange(1, 3).Draw(t, "step")
					x.End, x.MaxParallel = x.Begin+rapid.IntRange(0, 20).Draw(t, "span"), rapid.IntRange(0, 4).Draw(t, "parallel")
				}
				f := fates[id]
				if free := f == nil || f.waits+f.out == 0; q.Add(x, now) != free {
					t.Fatalf("added %s: want %v", id, free)
				} else if free {
					items[id], fates[id], notBefore[id] = &x, &fate{waits: x.Size()}, x.Start
				}
			case 2, 3:
				refs, _ := q.Next(now, rapid.IntRange(0, 8).Draw(t, "room"))
				for _, r := range refs {
					f, x := fates[r.ID], items[r.ID]
					f.waits, f.out = f.waits-1, f.out+1
					if f.waits < 0 || x.Held || notBefore[r.ID].After(now) || x.MaxParallel > 0 && f.out > x.MaxParallel {
						t.Fatalf("handed out %v of %+v: %+v", r, x, f)
					}
					for _, o := range out {
						if o == r {
							t.Fatalf("%v is out twice", r)
						}
					}
					out = append(out, r)
				}
			case 4:
				if len(out) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				r := out[i]
				out = append(out[:i:i], out[i+1:]...)
				f := fates[r.ID]
				f.out--
				if rapid.Bool().Draw(t, "refused") {
					f.waits++
					again := now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "again")) * time.Second)
					if again.After(notBefore[r.ID]) {
						notBefore[r.ID] = again
					}
					q.Rejected(r, again, now)
				} else {
					f.over++
					q.Ended(r, now)
					q.Ended(r, now) // told twice
				}
			case 5:
				if f := fates[id]; q.Hold(id, now) != (f != nil && f.waits > 0) {
					t.Fatalf("hold %s: %+v", id, f)
				} else if f != nil && f.waits > 0 {
					items[id].Held = true
				}
			case 6:
				if f := fates[id]; f != nil && f.waits > 0 {
					items[id].Held = false
				}
				q.Release(id, now)
			case 7:
				f := fates[id]
				if x := items[id]; x != nil && x.Array && rapid.Bool().Draw(t, "one") {
					if q.RemoveOne(JobRef{id, rapid.IntRange(0, 30).Draw(t, "index")}, now) {
						f.waits--
					}
				} else if refs := q.Remove(id, now); f != nil && len(refs) != f.waits || f == nil && len(refs) > 0 {
					t.Fatalf("removed %d of %s: %+v", len(refs), id, f)
				} else if f != nil {
					f.waits = 0
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			if waits, outs := total(); q.Waiting() != waits || q.InFlight() != outs {
				t.Fatalf("%d wait and %d out, want %d and %d", q.Waiting(), q.InFlight(), waits, outs)
			}
		}
		// All that is not held comes out in the end, whatever was done before.
		for _, x := range items {
			q.Release(x.ID, now)
			x.Held = false
		}
		for n := 0; ; n++ {
			now = now.Add(time.Hour)
			refs, _ := q.Next(now, 10)
			for _, r := range append(refs, out...) {
				q.Ended(r, now)
			}
			out = nil
			if q.Waiting() == 0 {
				break
			}
			if n > 1000 {
				t.Fatalf("%d jobs never come out", q.Waiting())
			}
		}
		if q.InFlight() != 0 || len(q.items) != 0 || len(q.sessions) != 0 {
			t.Fatalf("left over: %d out, %d items, %d sessions", q.InFlight(), len(q.items), len(q.sessions))
		}
	})
}

// A session with a large array takes turns with a small one; within a session priority goes first.
func TestFairBetweenSessions(t *testing.T) {
	q := New()
	q.Add(Item{ID: "big", Session: "a", Array: true, Begin: 1, End: 10000, Step: 1}, epoch)
	q.Add(Item{ID: "low", Session: "b"}, epoch)
	q.Add(Item{ID: "high", Session: "b", Priority: 5}, epoch)
	refs, _ := q.Next(epoch, 5)
	want := []JobRef{{"big", 1}, {"high", 0}, {"big", 2}, {"low", 0}, {"big", 3}}
	for i := range want {
		if i >= len(refs) || refs[i] != want[i] {
			t.Fatalf("%v, want %v", refs, want)
		}
	}
	if q.Waiting() != 9997 {
		t.Errorf("%d wait", q.Waiting())
	}
}

// A job is handed out at its start time, and Next says when that is; a refused one comes back when it may.
func TestStartsAndRefusals(t *testing.T) {
	q := New()
	q.Add(Item{ID: "later", Session: "a", Start: epoch.Add(time.Minute)}, epoch)
	// The date is looked at each second, as the clock may be set meanwhile, and at the date itself.
	if refs, wake := q.Next(epoch, 9); len(refs) != 0 || wake != epoch.Add(dateCheckInterval) {
		t.Fatalf("%v, ask again at %v", refs, wake)
	}
	if refs, wake := q.Next(epoch.Add(59500*time.Millisecond), 9); len(refs) != 0 || wake != epoch.Add(time.Minute) {
		t.Fatalf("%v, ask again at %v", refs, wake)
	}
	at := epoch.Add(time.Minute)
	refs, wake := q.Next(at, 9)
	if len(refs) != 1 || !wake.IsZero() {
		t.Fatalf("%v, ask again at %v", refs, wake)
	}
	q.Rejected(refs[0], at.Add(time.Second), at)
	if refs, wake = q.Next(at, 9); len(refs) != 0 || wake != at.Add(time.Second) {
		t.Fatalf("%v, ask again at %v", refs, wake)
	}
	if refs, _ = q.Next(at.Add(time.Second), 9); len(refs) != 1 {
		t.Fatal("a refused job never comes back")
	}
	q.Ended(refs[0], at)
	if q.Contains("later") || q.Waiting() != 0 {
		t.Error("it is kept after its end")
	}
}

func BenchmarkNext(b *testing.B) {
	q := New()
	for i := range 100 {
		q.Add(Item{ID: fmt.Sprint(i), Session: fmt.Sprint("s", i%10), Array: true, Begin: 0, End: 1 << 40, Step: 1, MaxParallel: 50}, epoch)
	}
	for b.Loop() {
		refs, _ := q.Next(epoch, 10)
		for _, r := range refs {
			q.Ended(r, epoch)
		}
	}
}
