package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/jobstore"
	"gatetack/internal/node"
)

// shelf is a store with the records of an array of four members, as a process that was killed left them.
type shelf struct {
	t     *testing.T
	store *memory
	array arrayRecord
}

// shelve makes one whose array never gave a member its turn.
func shelve(t *testing.T) *shelf {
	m := &memory{values: map[string][]byte{}}
	f := front(&engine{}, m, time.Unix(1000, 0))
	id := submitArray(t, f, `"endIndex":4`)
	s := &shelf{t: t, store: m}
	if err := json.Unmarshal(m.values[kindArray+" "+recordKey(id)], &s.array); err != nil {
		t.Fatal(err)
	}
	return s
}

// counts puts the array on record with these figures.
func (s *shelf) counts(next, done, failed int, cut bool) {
	s.array.Next, s.array.Done, s.array.Failed, s.array.Terminated = next, done, failed, cut
	s.write(s.array.change())
}

// member puts a member on record.
func (s *shelf) member(index int, state State, sub string) {
	a := &array{r: s.array}
	r := a.memberRecord(&s.array, index)
	r.State, r.SubState, r.HandedOver = state, sub, true
	s.write(r.changes()...)
}

func (s *shelf) write(changes ...jobstore.Change) {
	s.t.Helper()
	if err := s.store.Write(context.Background(), changes...); err != nil {
		s.t.Fatal(err)
	}
}

// Whatever a killed process left: a member that waits runs once, one that was sent or has ended does not run, and the array tells
// each member once in the end.
func TestCountsFollowTheMembers(t *testing.T) {
	const sub = "" // of a member that is done
	for _, x := range []struct {
		what         string
		left         func(s *shelf)
		ran          []int
		done, failed int64
	}{
		{"one counted as done before its own end was on record",
			func(s *shelf) { s.member(1, Queued, subSent); s.counts(2, 1, 0, false) }, []int{2, 3, 4}, 3, 1},
		{"counts full while three wait, one of them back from its turn",
			func(s *shelf) { s.member(1, Done, sub); s.member(2, Queued, subHeld); s.counts(3, 2, 2, false) }, []int{2, 3, 4}, 4, 0},
		{"an older record of the array written last",
			func(s *shelf) { s.member(1, Done, sub); s.member(2, Failed, subFailed); s.counts(1, 0, 0, false) }, []int{3, 4}, 3, 1},
		{"an older one, and a member that waits again",
			func(s *shelf) { s.member(1, Done, sub); s.member(2, Queued, subHeld); s.counts(1, 0, 0, false) }, []int{2, 3, 4}, 4, 0},
		{"one terminated before its turn",
			func(s *shelf) { s.member(3, Failed, subTerminated); s.counts(1, 0, 1, false) }, []int{1, 2, 4}, 3, 1},
		{"all ended, one count too few",
			func(s *shelf) {
				for i := 1; i <= 4; i++ {
					s.member(i, Done, sub)
				}
				s.counts(5, 3, 0, false)
			}, nil, 4, 0},
		{"cut off with one that waits again and one count too many",
			func(s *shelf) { s.member(1, Done, sub); s.member(2, Queued, subHeld); s.counts(3, 2, 2, true) }, nil, 1, 3},
		{"one handed back that may have run, held for another attempt",
			func(s *shelf) { s.member(1, Requeued, subHeld); s.counts(2, 0, 0, false) }, []int{2, 3, 4}, 3, 1},
		{"records of members gone, for the oldest go first",
			func(s *shelf) { s.member(2, Queued, subSent); s.counts(3, 2, 0, false) }, []int{3, 4}, 3, 1},
	} {
		t.Run(x.what, func(t *testing.T) {
			s := shelve(t)
			x.left(s)
			e := &engine{}
			f := front(e, s.store, time.Unix(2000, 0))
			run(t, f)
			ran := map[string]int{}
			eventually(t, "the array ends", func() bool {
				clients, _ := e.take()
				for _, c := range clients {
					ran[c.(*job).record().ID]++
					c.Answer(node.Answer{End: node.Served})
				}
				_, v, _ := call(f, "GET", "/arrays/"+s.array.ID, "")
				return v.Get("done").Int()+v.Get("failed").Int() >= 4 && len(ran) >= len(x.ran)
			})
			eventually(t, "all on record", func() bool { return !f.Pending() })
			if _, v, _ := call(f, "GET", "/arrays/"+s.array.ID, ""); v.Get("done").Int() != x.done || v.Get("failed").Int() != x.failed {
				t.Errorf("%s, want %d done and %d failed", v.Raw, x.done, x.failed)
			}
			want := map[string]int{}
			for _, i := range x.ran {
				want[memberID(s.array.ID, i)] = 1
			}
			if fmt.Sprint(ran) != fmt.Sprint(want) {
				t.Errorf("ran %v, want %v", ran, want)
			}
		})
	}
}

// A member that had its turn and was never sent waits through any number of restarts: it is told as waiting, can be terminated, and
// is ended with its array.
func TestMembersWaitThroughRestarts(t *testing.T) {
	s := shelve(t)
	s.member(1, Queued, subHeld)
	s.member(2, Queued, subHeld)
	s.member(3, Queued, subHeld)
	s.array.Held = true
	s.counts(4, 0, 0, false)
	var f *Front
	for life := range 3 {
		f = front(&engine{}, s.store, time.Unix(int64(2000+life), 0))
		for i := 1; i <= 3; i++ {
			if _, v, _ := call(f, "GET", "/jobs/"+memberID(s.array.ID, i), ""); v.Get("jobState").String() != "QUEUED" {
				t.Errorf("life %d, member %d: %s", life, i, v.Raw)
			}
		}
	}
	run(t, f)
	if status, v, _ := call(f, "POST", "/jobs/"+memberID(s.array.ID, 2)+"/terminate", ""); status != 200 {
		t.Errorf("%d %s", status, v.Raw)
	}
	if status, v, _ := call(f, "POST", "/arrays/"+s.array.ID+"/terminate", ""); status != 200 || v.Get("failed").Int() != 4 {
		t.Errorf("%d %s", status, v.Raw)
	}
	eventually(t, "all on record", func() bool { return !f.Pending() })
	e := &engine{}
	f = front(e, s.store, time.Unix(3000, 0))
	for i := 1; i <= 4; i++ {
		if _, v, _ := call(f, "GET", "/jobs/"+memberID(s.array.ID, i), ""); v.Get("jobSubState").String() != "terminated" {
			t.Errorf("member %d: %s", i, v.Raw)
		}
	}
	if f.queue.Waiting() != 0 {
		t.Errorf("%d wait", f.queue.Waiting())
	}
}

// slowHold is a store in which the record of an array that is put on hold is written late.
type slowHold struct {
	*memory
	came, on chan bool
}

func (s *slowHold) Write(ctx context.Context, changes ...jobstore.Change) error {
	if c := changes[len(changes)-1]; c.Kind == kindArray && gjson.GetBytes(c.Value, "held").Bool() && gjson.GetBytes(c.Value, "done").Int() == 0 &&
		len(changes) == 1 {
		s.came <- true
		<-s.on
	}
	return s.memory.Write(ctx, changes...)
}

// An array is put on hold, and ends before that is on record: what is on record in the end is its end, though it was written first.
func TestEndOfAnArrayStaysOnRecord(t *testing.T) {
	e := &engine{}
	s := &slowHold{&memory{values: map[string][]byte{}}, make(chan bool), make(chan bool)}
	f := front(e, s, time.Now())
	run(t, f)
	id := submitArray(t, f, `"endIndex":2,"maxParallel":1`)
	var clients []node.Client
	eventually(t, "the first is with the core", func() bool { clients, _ = e.take(); return len(clients) == 1 })
	held := make(chan int)
	go func() {
		status, _, _ := call(f, "POST", "/arrays/"+id+"/hold", "")
		held <- status
	}()
	<-s.came
	if status, v, _ := call(f, "POST", "/jobs/"+memberID(id, 2)+"/terminate", ""); status != 200 {
		t.Errorf("%d %s", status, v.Raw)
	}
	clients[0].Answer(node.Answer{End: node.Served})
	eventually(t, "both are on record", func() bool { return !f.Pending() })
	s.on <- true
	if status := <-held; status != 200 {
		t.Errorf("hold: %d", status)
	}
	if _, v, _ := call(f, "GET", "/arrays/"+id, ""); v.Get("done").Int() != 1 || v.Get("failed").Int() != 1 {
		t.Errorf("on record: %s", v.Raw)
	}
}
