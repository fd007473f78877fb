package jobqueue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

var epoch = time.Unix(1_700_000_000, 0)

// expected is the expected state of an item in the queue.
type expected struct {
	item      *Item
	waiting   int
	inFlight  int
	notBefore time.Time
}

func (e *expected) isDone() bool { return e == nil || e.waiting+e.inFlight == 0 }

// waits reports whether any job of an item is waiting.
func (e *expected) waits() bool { return e != nil && e.waiting > 0 }

// queueModel makes random calls to a queue and tracks the expected state of its items.
type queueModel struct {
	t        *rapid.T
	queue    *Queue
	now      time.Time
	items    map[string]*expected
	inFlight []JobRef
}

func drawID(t *rapid.T) string { return fmt.Sprint("j", rapid.IntRange(0, 9).Draw(t, "id")) }

// drawItem draws a job or an array.
func (m *queueModel) drawItem(id string) *Item {
	t := m.t
	item := &Item{ID: id, Session: fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "session")),
		Priority: rapid.IntRange(-1, 1).Draw(t, "priority"), Held: rapid.IntRange(0, 4).Draw(t, "held") == 0}
	if rapid.Bool().Draw(t, "has a start") {
		item.Start = m.now.Add(time.Duration(rapid.IntRange(-5, 20).Draw(t, "start")) * time.Second)
	}
	if rapid.Bool().Draw(t, "array") {
		item.Array = true
		item.Begin, item.Step = rapid.IntRange(0, 5).Draw(t, "begin"), rapid.IntRange(1, 3).Draw(t, "step")
		item.End = item.Begin + rapid.IntRange(0, 20).Draw(t, "span")
		item.MaxParallel = rapid.IntRange(0, 4).Draw(t, "parallel")
	}
	return item
}

func (m *queueModel) add(id string) {
	item := m.drawItem(id)
	free := m.items[id].isDone()
	if m.queue.Add(*item, m.now) != free {
		m.t.Fatalf("adding %s: want added = %v", id, free)
	}
	if free {
		m.items[id] = &expected{item: item, waiting: item.Size(), notBefore: item.Start}
	}
}

func (m *queueModel) next() {
	refs, _ := m.queue.Next(m.now, rapid.IntRange(0, 8).Draw(m.t, "limit"))
	for _, ref := range refs {
		e := m.items[ref.ID]
		e.waiting, e.inFlight = e.waiting-1, e.inFlight+1
		if e.waiting < 0 || e.item.Held || e.notBefore.After(m.now) ||
			e.item.MaxParallel > 0 && e.inFlight > e.item.MaxParallel {
			m.t.Fatalf("handed out %v of %+v, which is not ready: %+v", ref, e.item, e)
		}
		if slices.Contains(m.inFlight, ref) {
			m.t.Fatalf("%v handed out while already in flight", ref)
		}
		m.inFlight = append(m.inFlight, ref)
	}
}

// endOrReject reports a random job in flight as ended or rejected.
func (m *queueModel) endOrReject() {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "which")
	ref := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	e := m.items[ref.ID]
	e.inFlight--
	if !rapid.Bool().Draw(m.t, "rejected") {
		m.queue.Ended(ref, m.now)
		m.queue.Ended(ref, m.now) // reported twice
		return
	}
	e.waiting++
	retryAt := m.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(m.t, "retry")) * time.Second)
	if retryAt.After(e.notBefore) {
		e.notBefore = retryAt
	}
	m.queue.Rejected(ref, retryAt, m.now)
}

func (m *queueModel) hold(id string) {
	e := m.items[id]
	if m.queue.Hold(id, m.now) != e.waits() {
		m.t.Fatalf("wrong result of holding %s: %+v", id, e)
	}
	if e.waits() {
		e.item.Held = true
	}
}

func (m *queueModel) release(id string) {
	if e := m.items[id]; e.waits() {
		e.item.Held = false
	}
	m.queue.Release(id, m.now)
}

func (m *queueModel) remove(id string) {
	e := m.items[id]
	if e != nil && e.item.Array && rapid.Bool().Draw(m.t, "one") {
		if m.queue.RemoveOne(JobRef{id, rapid.IntRange(0, 30).Draw(m.t, "index")}, m.now) {
			e.waiting--
		}
		return
	}
	removed := len(m.queue.Remove(id, m.now))
	switch {
	case e == nil && removed > 0, e != nil && removed != e.waiting:
		m.t.Fatalf("removed %d jobs of %s: %+v", removed, id, e)
	case e != nil:
		e.waiting = 0
	}
}

// checkCounts compares the queue's counts with the model's.
func (m *queueModel) checkCounts() {
	waiting, inFlight := 0, 0
	for _, e := range m.items {
		waiting, inFlight = waiting+e.waiting, inFlight+e.inFlight
	}
	if m.queue.Waiting() != waiting || m.queue.InFlight() != inFlight {
		m.t.Fatalf("%d waiting and %d in flight, want %d and %d", m.queue.Waiting(), m.queue.InFlight(), waiting, inFlight)
	}
}

// drain releases all items, checks that every job is eventually handed out, and that the queue is empty afterwards.
func (m *queueModel) drain() {
	for id := range m.items {
		m.queue.Release(id, m.now)
	}
	ending := m.inFlight
	for n := 0; ; n++ {
		m.now = m.now.Add(time.Hour)
		refs, _ := m.queue.Next(m.now, 10)
		for _, ref := range append(refs, ending...) {
			m.queue.Ended(ref, m.now)
		}
		ending = nil
		if m.queue.Waiting() == 0 {
			break
		}
		if n > 1000 {
			m.t.Fatalf("%d jobs were never handed out", m.queue.Waiting())
		}
	}
	if m.queue.InFlight() != 0 || len(m.queue.items) != 0 || len(m.queue.sessions) != 0 {
		m.t.Fatalf("queue not empty: %d in flight, %d items, %d sessions", m.queue.InFlight(), len(m.queue.items),
			len(m.queue.sessions))
	}
}

// For any order of calls, each job is handed out once each time it is waiting; holds, start dates and MaxParallel are
// respected, and the counts are consistent.
func TestJobsAreHandedOutOncePerWaitUnderAnyOrderOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{t: t, queue: New(), now: epoch, items: map[string]*expected{}}
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			id := drawID(t)
			switch rapid.IntRange(0, 7).Draw(t, "call") {
			case 0, 1:
				m.add(id)
			case 2, 3:
				m.next()
			case 4:
				m.endOrReject()
			case 5:
				m.hold(id)
			case 6:
				m.release(id)
			case 7:
				m.remove(id)
			}
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			m.checkCounts()
		}
		m.drain()
	})
}

// A session with a large array takes turns with a small session. Within a session the highest priority goes first.
func TestSessionsTakeTurns(t *testing.T) {
	q := New()
	q.Add(Item{ID: "big", Session: "a", Array: true, Begin: 1, End: 10000, Step: 1}, epoch)
	q.Add(Item{ID: "low", Session: "b"}, epoch)
	q.Add(Item{ID: "high", Session: "b", Priority: 5}, epoch)
	refs, _ := q.Next(epoch, 5)
	if want := []JobRef{{"big", 1}, {"high", 0}, {"big", 2}, {"low", 0}, {"big", 3}}; !slices.Equal(refs, want) {
		t.Fatalf("order %v, want %v", refs, want)
	}
	if q.Waiting() != 9997 {
		t.Errorf("%d jobs waiting, want 9997", q.Waiting())
	}
}

// A job is handed out at its start date. Next asks to be called each second, because the clock may be set meanwhile,
// and at the date itself. A rejected job is handed out again at its retry time.
func TestJobsWaitForTheirStartAndTheirRetry(t *testing.T) {
	q := New()
	start := epoch.Add(time.Minute)
	q.Add(Item{ID: "later", Session: "a", Start: start}, epoch)
	if refs, nextCall := q.Next(epoch, 9); len(refs) != 0 || nextCall != epoch.Add(dateCheckInterval) {
		t.Fatalf("handed out %v, next call at %v", refs, nextCall)
	}
	if refs, nextCall := q.Next(start.Add(-dateCheckInterval/2), 9); len(refs) != 0 || nextCall != start {
		t.Fatalf("handed out %v, next call at %v", refs, nextCall)
	}
	refs, nextCall := q.Next(start, 9)
	if len(refs) != 1 || !nextCall.IsZero() {
		t.Fatalf("handed out %v, next call at %v", refs, nextCall)
	}
	retryAt := start.Add(time.Second)
	q.Rejected(refs[0], retryAt, start)
	if refs, nextCall = q.Next(start, 9); len(refs) != 0 || nextCall != retryAt {
		t.Fatalf("handed out %v, next call at %v", refs, nextCall)
	}
	if refs, _ = q.Next(retryAt, 9); len(refs) != 1 {
		t.Fatal("rejected job not handed out at its retry time")
	}
	q.Ended(refs[0], start)
	if q.Contains("later") || q.Waiting() != 0 {
		t.Error("job still in the queue after its end")
	}
}

func BenchmarkNext(b *testing.B) {
	q := New()
	for i := range 100 {
		item := Item{ID: fmt.Sprint(i), Session: fmt.Sprint("s", i%10), Array: true, End: 1 << 40, Step: 1, MaxParallel: 50}
		q.Add(item, epoch)
	}
	for b.Loop() {
		refs, _ := q.Next(epoch, 10)
		for _, ref := range refs {
			q.Ended(ref, epoch)
		}
	}
}
