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

// storedArray is a store with the records of an array of four members, as a killed process left them.
type storedArray struct {
	t     *testing.T
	store *memoryStore
	array arrayRecord
}

// newStoredArray returns a storedArray whose array has given no member its turn.
func newStoredArray(t *testing.T) *storedArray {
	m := &memoryStore{values: map[string][]byte{}}
	f := newFront(&manualCore{}, m, time.Unix(1000, 0))
	id := submitArray(t, f, `"endIndex":4`)
	s := &storedArray{t: t, store: m}
	if err := json.Unmarshal(m.values[kindArray+" "+recordKey(id)], &s.array); err != nil {
		t.Fatal(err)
	}
	return s
}

// counts stores the array with the given counts.
func (s *storedArray) counts(next, done, failed int, cut bool) {
	s.array.Next, s.array.Done, s.array.Failed, s.array.Terminated = next, done, failed, cut
	s.write(s.array.changes()...)
}

// member stores a member.
func (s *storedArray) member(index int, state State, sub string) {
	a := &array{r: s.array}
	r := a.memberRecord(&s.array, index)
	r.State, r.SubState, r.HandedOver = state, sub, true
	s.write(r.changes()...)
}

func (s *storedArray) write(changes ...jobstore.Change) {
	s.t.Helper()
	if err := s.store.Write(context.Background(), changes...); err != nil {
		s.t.Fatal(err)
	}
}

// A process can be killed between the writes of an array and of its members, so that the array's counts do not match
// its members. After a restart a queued member runs once, a member that was sent or has ended does not run, and the
// array counts each member once.
func TestArrayCountsMatchMembersAfterRestart(t *testing.T) {
	const sub = "" // sub-state of a member that is done
	for _, x := range []struct {
		what         string
		store        func(s *storedArray)
		ran          []int
		done, failed int64
	}{
		{"one counted as done before its end was recorded",
			func(s *storedArray) { s.member(1, Queued, subSent); s.counts(2, 1, 0, false) }, []int{2, 3, 4}, 3, 1},
		{"counts complete while three wait, one of them requeued",
			func(s *storedArray) { s.member(1, Done, sub); s.member(2, Queued, subHeld); s.counts(3, 2, 2, false) }, []int{2, 3, 4}, 4, 0},
		{"an older record of the array written last",
			func(s *storedArray) { s.member(1, Done, sub); s.member(2, Failed, subFailed); s.counts(1, 0, 0, false) }, []int{3, 4}, 3, 1},
		{"an older record of the array, and a requeued member",
			func(s *storedArray) { s.member(1, Done, sub); s.member(2, Queued, subHeld); s.counts(1, 0, 0, false) }, []int{2, 3, 4}, 4, 0},
		{"one terminated before its turn",
			func(s *storedArray) { s.member(3, Failed, subTerminated); s.counts(1, 0, 1, false) }, []int{1, 2, 4}, 3, 1},
		{"all ended, one count too few",
			func(s *storedArray) {
				for i := 1; i <= 4; i++ {
					s.member(i, Done, sub)
				}
				s.counts(5, 3, 0, false)
			}, nil, 4, 0},
		{"terminated with one requeued member and one count too many",
			func(s *storedArray) { s.member(1, Done, sub); s.member(2, Queued, subHeld); s.counts(3, 2, 2, true) }, nil, 1, 3},
		{"one returned that may have run, waiting for a retry",
			func(s *storedArray) { s.member(1, Requeued, subHeld); s.counts(2, 0, 0, false) }, []int{2, 3, 4}, 3, 1},
		{"records of the oldest members evicted",
			func(s *storedArray) { s.member(2, Queued, subSent); s.counts(3, 2, 0, false) }, []int{3, 4}, 3, 1},
	} {
		t.Run(x.what, func(t *testing.T) {
			s := newStoredArray(t)
			x.store(s)
			e := &manualCore{}
			f := newFront(e, s.store, time.Unix(2000, 0))
			runFront(t, f)
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
			eventually(t, "all states are recorded", func() bool { return !f.Pending() })
			if _, v, _ := call(f, "GET", "/arrays/"+s.array.ID, ""); v.Get("done").Int() != x.done || v.Get("failed").Int() != x.failed {
				t.Errorf("array %s, want %d done and %d failed", v.Raw, x.done, x.failed)
			}
			want := map[string]int{}
			for _, i := range x.ran {
				want[memberID(s.array.ID, i)] = 1
			}
			if fmt.Sprint(ran) != fmt.Sprint(want) {
				t.Errorf("members that ran: %v, want %v", ran, want)
			}
		})
	}
}

// A member that had its turn and was never sent waits through any number of restarts: it is listed as waiting, can be
// terminated, and ends with its array.
func TestMembersWaitThroughRestarts(t *testing.T) {
	s := newStoredArray(t)
	s.member(1, Queued, subHeld)
	s.member(2, Queued, subHeld)
	s.member(3, Queued, subHeld)
	s.array.Held = true
	s.counts(4, 0, 0, false)
	var f *Front
	for incarnation := range 3 {
		f = newFront(&manualCore{}, s.store, time.Unix(int64(2000+incarnation), 0))
		for i := 1; i <= 3; i++ {
			if _, v, _ := call(f, "GET", "/jobs/"+memberID(s.array.ID, i), ""); v.Get("jobState").String() != "QUEUED" {
				t.Errorf("incarnation %d, member %d: %s", incarnation, i, v.Raw)
			}
		}
	}
	runFront(t, f)
	if status, v, _ := call(f, "POST", "/jobs/"+memberID(s.array.ID, 2)+"/terminate", ""); status != 200 {
		t.Errorf("status %d, body %s", status, v.Raw)
	}
	if status, v, _ := call(f, "POST", "/arrays/"+s.array.ID+"/terminate", ""); status != 200 || v.Get("failed").Int() != 4 {
		t.Errorf("status %d, body %s", status, v.Raw)
	}
	eventually(t, "all states are recorded", func() bool { return !f.Pending() })
	e := &manualCore{}
	f = newFront(e, s.store, time.Unix(3000, 0))
	for i := 1; i <= 4; i++ {
		if _, v, _ := call(f, "GET", "/jobs/"+memberID(s.array.ID, i), ""); v.Get("jobSubState").String() != "terminated" {
			t.Errorf("member %d: %s", i, v.Raw)
		}
	}
	if f.queue.Waiting() != 0 {
		t.Errorf("%d waiting in the queue, want 0", f.queue.Waiting())
	}
}

// slowHoldStore is a store that delays the write of an array that is put on hold.
type slowHoldStore struct {
	*memoryStore
	started, release chan bool
}

func (s *slowHoldStore) Write(ctx context.Context, changes ...jobstore.Change) error {
	if c := changes[len(changes)-1]; c.Kind == kindArray && gjson.GetBytes(c.Value, "held").Bool() && gjson.GetBytes(c.Value, "done").Int() == 0 &&
		len(changes) == 1 {
		s.started <- true
		<-s.release
	}
	return s.memoryStore.Write(ctx, changes...)
}

// An array is put on hold and ends before the hold is recorded. The stored record must be that of the end, although
// it was written first.
func TestEndOfAnArrayStaysOnRecord(t *testing.T) {
	e := &manualCore{}
	s := &slowHoldStore{&memoryStore{values: map[string][]byte{}}, make(chan bool), make(chan bool)}
	f := newFront(e, s, time.Now())
	runFront(t, f)
	id := submitArray(t, f, `"endIndex":2,"maxParallel":1`)
	var clients []node.Client
	eventually(t, "the core has the first member", func() bool { clients, _ = e.take(); return len(clients) == 1 })
	held := make(chan int)
	go func() {
		status, _, _ := call(f, "POST", "/arrays/"+id+"/hold", "")
		held <- status
	}()
	<-s.started
	if status, v, _ := call(f, "POST", "/jobs/"+memberID(id, 2)+"/terminate", ""); status != 200 {
		t.Errorf("status %d, body %s", status, v.Raw)
	}
	clients[0].Answer(node.Answer{End: node.Served})
	eventually(t, "both members are recorded", func() bool { return !f.Pending() })
	s.release <- true
	if status := <-held; status != 200 {
		t.Errorf("hold: status %d", status)
	}
	if _, v, _ := call(f, "GET", "/arrays/"+id, ""); v.Get("done").Int() != 1 || v.Get("failed").Int() != 1 {
		t.Errorf("stored array: %s", v.Raw)
	}
}
