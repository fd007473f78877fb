package batch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/node"
	"gatetack/internal/testenv"
)

// sharedStore is a store shared by several nodes that owns every partition until lose is called; after that it
// rejects writes.
type sharedStore struct {
	*memoryStore
	mu   sync.Mutex
	lost bool
}

func (s *sharedStore) lose() { s.mu.Lock(); s.lost = true; s.mu.Unlock() }

func (s *sharedStore) Ready() bool { return true }

func (s *sharedStore) HoldsLease() bool { return true }

func (s *sharedStore) Locate(string) (string, bool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "", !s.lost, true
}

func (s *sharedStore) Forward(context.Context, string, *http1.Message) (*http1.Message, error) {
	return nil, errors.New("no other node")
}

func (s *sharedStore) Write(ctx context.Context, changes ...jobstore.Change) error {
	if _, ours, _ := s.Locate(""); !ours {
		return errors.New("another node owns the partition")
	}
	return s.memoryStore.Write(ctx, changes...)
}

func (f *Front) queueCounts() (waiting, inFlight, known, jobs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queue.Waiting(), f.queue.InFlight(), len(f.waiting), len(f.jobs)
}

// A partition is lost at each stage of a job's hand-over: while the hand-over is being recorded, while the core has
// the job, and while it is being queued. The job must not be queued here again, and a late answer must not be
// counted.
func TestPartitionLostDuringHandOver(t *testing.T) {
	held := strings.Replace(validTemplate, "{", `{"submitAsHold":true,`, 1)
	start := func() (*manualCore, *sharedStore, *Front, string, string) {
		e, s := &manualCore{}, &sharedStore{memoryStore: &memoryStore{values: map[string][]byte{}}}
		f := New(Options{Core: e, Store: s, Router: s, Node: "n0", Version: "test", StartedAt: time.Now(), Limits: testenv.Limits, Log: testenv.DiscardLog})
		if err := f.load(t.Context()); err != nil {
			t.Fatal(err)
		}
		close(f.loaded)
		status, v, _ := call(f, "POST", "/jobs", held)
		id := v.Get("jobId").String()
		part, ok := partitionOf(id)
		if status != 201 || !ok {
			t.Fatalf("status %d, body %s", status, v.Raw)
		}
		f.mu.Lock()
		f.queue.Release(id, time.Now())
		f.mu.Unlock()
		return e, s, f, id, part
	}
	empty := func(f *Front) {
		t.Helper()
		if waiting, out, known, jobs := f.queueCounts(); waiting+out+known+jobs != 0 {
			t.Errorf("%d waiting, %d in flight, %d in the waiting map, %d jobs", waiting, out, known, jobs)
		}
		f.pump(t.Context()) // panics if the queue has an entry without a job
	}
	t.Run("recording the hand-over", func(t *testing.T) {
		_, s, f, _, part := start()
		s.slow = make(chan bool)
		done := make(chan bool)
		go func() { f.pump(t.Context()); close(done) }()
		eventually(t, "the job is in flight", func() bool { _, out, _, _ := f.queueCounts(); return out == 1 })
		s.memoryStore.mu.Lock()
		s.err = errors.New("another node owns the partition")
		s.memoryStore.mu.Unlock()
		s.lose()
		f.Drop(part)
		close(s.slow)
		<-done
		empty(f)
	})
	t.Run("in the core", func(t *testing.T) {
		e, s, f, _, part := start()
		f.pump(t.Context())
		clients, _ := e.take()
		if len(clients) != 1 {
			t.Fatalf("%d jobs in the core, want 1", len(clients))
		}
		s.lose()
		f.Drop(part)
		empty(f)
		clients[0].Answer(node.Answer{End: node.Rejected, Reason: "no room"})
		empty(f)
	})
	t.Run("being queued", func(t *testing.T) {
		e, s, f, _, part := start()
		s.lose()
		f.pump(t.Context()) // the partition was dropped before the job was registered, without a later notification
		if clients, _ := e.take(); len(clients) != 0 {
			t.Errorf("%d jobs in the core, want 0", len(clients))
		}
		empty(f)
		f.Drop(part)
		empty(f)
	})
}

// A client that got no response sends the same key to two nodes at once. One job is accepted, and both nodes return
// it.
func TestOneKeyTwoNodes(t *testing.T) {
	m := &memoryStore{values: map[string][]byte{}}
	engines := []*manualCore{{}, {}}
	var fronts []*Front
	for i, e := range engines {
		f := newFront(e, m, time.Now())
		f.ids.node = fmt.Sprint("n", i)
		fronts = append(fronts, f)
	}
	for n := range 40 {
		body := strings.Replace(validTemplate, "{", fmt.Sprintf(`{"idempotencyKey":"k%d",`, n), 1)
		var g sync.WaitGroup
		ids := make([]string, len(fronts))
		for i, f := range fronts {
			g.Go(func() {
				_, v, _ := call(f, "POST", "/jobs", body)
				ids[i] = v.Get("jobId").String()
			})
		}
		g.Wait()
		if ids[0] == "" || ids[0] != ids[1] {
			t.Fatalf("key %d: job IDs %q", n, ids)
		}
	}
	a, _ := engines[0].take()
	b, _ := engines[1].take()
	if len(a)+len(b) != 40 {
		t.Errorf("%d jobs reached the cores, want 40", len(a)+len(b))
	}
}

// A session created at one node exists at all: its name is unique, it can be used and destroyed at every node, but
// not destroyed while a job of it is open at another node.
func TestSessionsSharedByNodes(t *testing.T) {
	s := &sharedStore{memoryStore: &memoryStore{values: map[string][]byte{}}}
	var fronts []*Front
	for i := range 2 {
		f := New(Options{Core: &manualCore{}, Store: s, Router: s, Node: fmt.Sprint("n", i), Version: "test", StartedAt: time.Now(), Limits: testenv.Limits, Log: testenv.DiscardLog})
		if err := f.load(t.Context()); err != nil {
			t.Fatal(err)
		}
		close(f.loaded)
		fronts = append(fronts, f)
	}
	want := func(i int, method, path, body string, status int) string {
		t.Helper()
		got, v, _ := call(fronts[i], method, path, body)
		if got != status {
			t.Errorf("n%d %s %s: status %d, body %s, want %d", i, method, path, got, v.Raw, status)
		}
		return v.Raw
	}
	instance := want(0, "POST", "/sessions", `{"sessionName":"night"}`, 201)
	want(1, "POST", "/sessions", `{"sessionName":"night"}`, 409)
	want(1, "GET", "/sessions/night", "", 200)
	if all := want(1, "GET", "/sessions", "", 200); !strings.Contains(all, "night") {
		t.Errorf("sessions at n1: %s", all)
	}
	job := gjson.Get(want(1, "POST", "/sessions/night/jobs", strings.Replace(validTemplate, "{", `{"submitAsHold":true,`, 1), 201), "jobId").String()
	f := fronts[0]
	f.mu.Lock()
	delete(f.sessions["night"].instances, gjson.Get(instance, "instance").String())
	f.mu.Unlock()
	want(0, "DELETE", "/sessions/night", "", 409) // its job is open at the other node
	want(1, "POST", "/jobs/"+job+"/terminate", "", 200)
	eventually(t, "the end is recorded", func() bool {
		select {
		case j := <-fronts[1].dirty:
			fronts[1].save(t.Context(), j)
		default:
		}
		v, _, _ := s.Get(t.Context(), kindJob, recordKey(job))
		return gjson.GetBytes(v, "finishTime").Exists()
	})
	want(0, "DELETE", "/sessions/night", "", 204)
	want(1, "GET", "/sessions/night", "", 404)
	want(1, "POST", "/sessions/night/jobs", validTemplate, 404)
}

// An UNDETERMINED job is resolved once, by a complete decision with a name. Declaring an at-most-once job unsent
// requires force. The counts of an array follow the resolution of its member.
func TestResolve(t *testing.T) {
	m := &memoryStore{values: map[string][]byte{}}
	f := newFront(&manualCore{}, m, time.Now())
	earlier := newFront(&manualCore{}, nil, time.Now().Add(-time.Hour))
	put := func(category, array string) string {
		r := Record{ID: earlier.ids.next(), State: Undetermined, Category: category, Session: defaultSession,
			Submitted: time.Now(), Finished: time.Now(), Annotation: "the node ended after it sent the job, which may have run", Array: array}
		if err := m.Write(t.Context(), r.changes()...); err != nil {
			t.Fatal(err)
		}
		return r.ID
	}
	single, keyed := put("tile-charge", ""), put("area-render", "")
	for _, x := range []struct {
		id, body string
		status   int
	}{
		{single, `[]`, 400}, {single, `{"as":"gone","by":"kadri"}`, 400}, {single, `{"as":"done"}`, 400}, {single, `{"as":"done","by":"a b"}`, 400},
		{single, `{"as":"unsent","by":"kadri"}`, 409}, {single, `{"as":"unsent","by":"kadri","force":true}`, 200},
		{single, `{"as":"done","by":"kadri"}`, 409}, {keyed, `{"as":"unsent","by":"kadri","why":"its box was off"}`, 200},
		{"n0.9.9", `{"as":"done","by":"kadri"}`, 409}, {"no id", `{"as":"done","by":"kadri"}`, 404},
	} {
		if status, v, _ := call(f, "POST", "/jobs/"+x.id+"/resolve", x.body); status != x.status {
			t.Errorf("%s %s: status %d, body %s, want %d", x.id, x.body, status, v.Raw, x.status)
		}
	}
	_, v, _ := call(f, "GET", "/jobs/"+keyed, "")
	if v.Get("jobState").String() != "FAILED" || v.Get("jobSubState").String() != "unsent" || !strings.Contains(v.Get("annotation").String(), "its box was off") {
		t.Errorf("resolved job: %s", v.Raw)
	}
	_, made, _ := call(f, "POST", "/arrays", `{"jobTemplate":`+validTemplate+`,"endIndex":4}`)
	id := made.Get("jobArrayId").String()
	a, _, _ := f.findArray(t.Context(), id)
	a.update(func(x *arrayRecord) { x.Failed = 1 })
	member := put("tile-charge", id)
	call(f, "POST", "/jobs/"+member+"/resolve", `{"as":"done","by":"kadri"}`)
	if r := a.record(); r.Done != 1 || r.Failed != 0 {
		t.Errorf("array has %d done and %d failed", r.Done, r.Failed)
	}
}

// A late callback resolves a job only if it is of the recorded attempt, comes from the executor of that attempt, and
// the job is UNDETERMINED. A callback without a result changes nothing.
func TestLateCallback(t *testing.T) {
	m := &memoryStore{values: map[string][]byte{}}
	f := newFront(&manualCore{}, m, time.Now())
	earlier := newFront(&manualCore{}, nil, time.Now().Add(-time.Hour))
	put := func(state State) string {
		r := Record{ID: earlier.ids.next(), State: state, Category: "tile-charge", Session: defaultSession, Submitted: time.Now(), Machines: []string{"s-1"}, Trace: "t1"}
		if err := m.Write(t.Context(), r.changes()...); err != nil {
			t.Fatal(err)
		}
		return r.ID
	}
	for _, x := range []struct {
		was    State
		body   string
		status int
		want   State
	}{
		{Undetermined, `{"id":"t2","from":"s-1","state":"done","result":"x"}`, 204, Undetermined},
		{Undetermined, `{"id":"t1","from":"s-2","state":"done","result":"x"}`, 204, Undetermined},
		{Undetermined, `{"id":"t1","from":"s-1","state":"done"}`, 204, Undetermined},
		{Undetermined, `{"id":"t1","from":"s-1","state":"started"}`, 204, Undetermined},
		{Failed, `{"id":"t1","from":"s-1","state":"done","result":"x"}`, 204, Failed},
		{Running, `{"id":"t1","from":"s-1","state":"done","result":"x"}`, 503, Running},
		{Undetermined, `{"id":"t1","from":"s-1","state":"done","result":"x"}`, 204, Done},
		{Undetermined, `{"id":"t1","from":"s-1","state":"failed"}`, 204, Failed},
		{Undetermined, `{"id":"t1","from":"s-1","state":"returned"}`, 204, Failed},
	} {
		id := put(x.was)
		r := f.resolveByCallback(t.Context(), id, []byte(x.body))
		if got := parseRecord(m.values[kindJob+" "+recordKey(id)]); r.Status != x.status || got.State != x.want {
			t.Errorf("%s %s: status %d and state %s, want %d and %s", x.was, x.body, r.Status, got.State, x.status, x.want)
		}
	}
}
