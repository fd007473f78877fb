package batch

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/jobstore"
	"gatetack/internal/leaseholder"
	"gatetack/internal/node"
	"gatetack/internal/testenv"
)

// outageStore is a store that has lost its quorum for a number of writes: their outcome is unknown. The first of them is
// committed or lost. A further number of writes is rejected with err.
type outageStore struct {
	*memoryStore
	mu              sync.Mutex
	unknown, reject int
	commits         bool
	err             error
}

func (s *outageStore) Write(ctx context.Context, changes ...jobstore.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unknown > 0:
		s.unknown--
		if s.commits {
			if err := s.memoryStore.Write(ctx, changes...); err != nil {
				return err
			}
			s.commits = false
		}
		return &jobstore.UnknownOutcomeError{Cause: errors.New("leadership lost")}
	case s.reject > 0:
		s.reject--
		return s.err
	}
	return s.memoryStore.Write(ctx, changes...)
}

// lose makes the store lose its quorum for two writes, the first of which is committed or not.
func (s *outageStore) lose(commits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unknown, s.commits = 2, commits
}

func newOutageFront(t *testing.T) (*Front, *manualCore, *outageStore) {
	core, s := &manualCore{}, &outageStore{memoryStore: &memoryStore{values: map[string][]byte{}}}
	f := newFront(core, s, time.Now())
	f.lim.StoreElectionTimeout = 5 * time.Millisecond
	runFront(t, f)
	return f, core, s
}

const heldTemplate = `{"submitAsHold":true,"jobCategory":"tile-charge","accountingId":"maavaade","payload":"x"}`

// A submission whose write has an unknown outcome is answered when the outcome is known, and what it is told is so, at
// once and after a restart: it is there once, whether the first write was committed or lost.
func TestSubmissionOverALostQuorumIsThereOnce(t *testing.T) {
	for _, x := range []struct{ path, body, id, list, kind string }{
		{"/jobs", heldTemplate, "jobId", "/jobs/", kindJob},
		{"/jobs", strings.Replace(heldTemplate, "{", `{"idempotencyKey":"k",`, 1), "jobId", "/jobs/", kindJob},
		{"/arrays", `{"jobTemplate":` + heldTemplate + `,"endIndex":3}`, "jobArrayId", "/arrays/", kindArray},
		{"/sessions", `{"sessionName":"night"}`, "sessionName", "/sessions/", kindSession},
	} {
		for _, commits := range []bool{true, false} {
			f, _, s := newOutageFront(t)
			s.lose(commits)
			status, v, _ := call(f, "POST", x.path, x.body)
			if status != 201 {
				t.Errorf("%s, first write committed %v: status %d, body %s; want 201", x.path, commits, status, v.Raw)
				continue
			}
			later := newFront(&manualCore{}, s, time.Now().Add(time.Second))
			for _, front := range []*Front{f, later} {
				if status, v, _ := call(front, "GET", x.list+v.Get(x.id).String(), ""); status != 200 {
					t.Errorf("%s: after its acceptance: status %d, body %s", x.path, status, v.Raw)
				}
			}
			if rows, _ := s.Page(t.Context(), x.kind, "", 10); len(rows) != 1 {
				t.Errorf("%s: %d records, want one", x.path, len(rows))
			}
		}
	}
}

// A submission that is rejected leaves nothing on record, also where its first write had an unknown outcome.
func TestRejectionOverALostQuorumHasNoEffect(t *testing.T) {
	for _, err := range []error{jobstore.ErrFull, jobstore.ErrExists} {
		f, _, s := newOutageFront(t)
		s.lose(false)
		s.unknown, s.reject, s.err = 1, 1, err
		status, v, _ := call(f, "POST", "/arrays", `{"jobTemplate":`+heldTemplate+`,"endIndex":3}`)
		if status != 503 {
			t.Errorf("%v: status %d, body %s, want a rejection", err, status, v.Raw)
		}
		if rows, _ := s.Page(t.Context(), kindArray, "", 10); len(rows) != 0 || f.queue.Waiting() != 0 {
			t.Errorf("%v: the rejected array is there: %d records, %d members wait", err, len(rows), f.queue.Waiting())
		}
	}
}

// takenOver is a router of a node that lost its partitions to another one.
type takenOver struct{ PartitionRouter }

func (takenOver) Locate(string) (string, bool, bool) { return "127.0.0.1:1", false, true }

// Another node takes the partition over while the outcome of a submission is unknown: the record says whether it was
// accepted there.
func TestSubmissionOverATakeoverIsToldByTheRecord(t *testing.T) {
	for _, commits := range []bool{true, false} {
		f, _, s := newOutageFront(t)
		f.router = takenOver{}
		s.lose(commits)
		s.unknown, s.reject, s.err = 1, 1, leaseholder.ErrNotOwner
		changes := []jobstore.Change{{Kind: kindJob, Key: "n0.1.000000000001", Value: []byte("{}")}}
		if err := f.recordNew(changes, anyValue); (err == nil) != commits {
			t.Errorf("first write committed %v: %v", commits, err)
		}
	}
}

// A control call whose write has an unknown outcome is answered when it is known, and the record is as it was told.
func TestControlCallsOverALostQuorum(t *testing.T) {
	for _, commits := range []bool{true, false} {
		f, core, s := newOutageFront(t)
		_, v, _ := call(f, "POST", "/jobs", strings.Replace(heldTemplate, "true", "false", 1))
		clients, _ := core.take()
		clients[0].Answer(node.Answer{End: node.Served})
		ended := v.Get("jobId").String()
		eventually(t, "the end is recorded", func() bool { return !f.Pending() })
		_, v, _ = call(f, "POST", "/jobs", heldTemplate)
		job := "/jobs/" + v.Get("jobId").String()
		_, v, _ = call(f, "POST", "/arrays", `{"jobTemplate":`+heldTemplate+`,"endIndex":3}`)
		array := "/arrays/" + v.Get("jobArrayId").String()
		for _, x := range []struct {
			method, path string
			status       int
		}{
			{"POST", array + "/release", 200}, {"POST", array + "/terminate", 200},
			{"POST", job + "/release", 200}, {"POST", "/jobs/" + ended + "/reap", 204},
		} {
			s.lose(commits)
			if status, v, _ := call(f, x.method, x.path, ""); status != x.status && status != 409 {
				t.Errorf("%s, first write committed %v: status %d, body %s", x.path, commits, status, v.Raw)
			}
			s.mu.Lock()
			s.unknown = 0
			s.mu.Unlock()
		}
		if _, found, _ := s.Get(t.Context(), kindJob, recordKey(ended)); found {
			t.Error("the reaped job is still on record")
		}
	}
}

// A control call whose outcome stays unknown is not answered as a rejection, and its job does not run meanwhile.
func TestControlCallWithoutAnOutcomeIsNotRejected(t *testing.T) {
	f, core, s := newOutageFront(t)
	f.lim.StoreSettleTimeout = 20 * time.Millisecond
	_, v, _ := call(f, "POST", "/jobs", heldTemplate)
	s.mu.Lock()
	s.unknown = 1 << 30
	s.mu.Unlock()
	id := v.Get("jobId").String()
	for _, what := range []string{"/release", "/hold", "/reap"} {
		status, v, _ := call(f, "POST", "/jobs/"+id+what, "")
		if status != 504 && what != "/reap" || status == 503 {
			t.Errorf("%s: status %d, body %s", what, status, v.Raw)
		}
	}
	if clients, _ := core.take(); len(clients) != 0 {
		t.Error("a job was handed to the core whose release is not on record")
	}
}

// While a slow store has not said whether a submission is on record, its client is told neither that it is accepted nor
// that it is rejected: it waits, and is then told that the outcome is unknown, with the ID. Nothing reaches the core
// meanwhile. Once the record is written, the job is accepted and is known under that ID.
func TestSlowStore(t *testing.T) {
	e, m := &manualCore{}, &memoryStore{values: map[string][]byte{}}
	f := newFront(e, m, time.Now())
	runFront(t, f)
	f.lim.StoreSettleTimeout = 30 * time.Millisecond
	m.slow = make(chan bool)
	status, v, _ := call(f, "POST", "/jobs", strings.Replace(validTemplate, "{", `{"submitAsHold":true,`, 1))
	id := v.Get("id").String()
	if status != 504 || v.Get("error").String() != "OUTCOME_UNKNOWN" || id == "" {
		t.Fatalf("status %d, body %s", status, v.Raw)
	}
	if clients, _ := e.take(); len(clients) != 0 || f.queue.Waiting() != 0 {
		t.Errorf("%d jobs reached the core, %d are waiting before anything is on record", len(clients), f.queue.Waiting())
	}
	m.slow <- true // the record is written after all
	eventually(t, "the job is accepted", func() bool {
		_, v, _ := call(f, "GET", "/jobs/"+id, "")
		return v.Get("jobState").String() == "QUEUED_HELD"
	})
	close(m.slow)
	if status, v, _ := call(f, "POST", "/jobs/"+id+"/release", ""); status != 200 {
		t.Errorf("release: status %d, body %s", status, v.Raw)
	}
	eventually(t, "the core has the job", func() bool { clients, _ := e.take(); return len(clients) == 1 })
}

// A call on a job that comes before the records of earlier incarnations were read waits for them: the job is not told as
// one that has ended, and a control call on it has its effect.
func TestCallBeforeTheRecordsAreReadWaits(t *testing.T) {
	m := &memoryStore{values: map[string][]byte{}}
	began := time.Now()
	_, v, _ := call(newFront(&manualCore{}, m, began), "POST", "/jobs", heldTemplate)
	id, core := v.Get("jobId").String(), &manualCore{}
	later := New(Options{Core: core, Store: m, Node: "n0", StartedAt: began.Add(time.Second), Limits: testenv.Limits, Log: testenv.DiscardLog})
	later.lim.StoreCallTimeout = 20 * time.Millisecond
	for _, method := range []string{"GET", "DELETE"} {
		if status, v, _ := call(later, method, "/jobs/"+id, ""); status != 503 {
			t.Errorf("%s before the records are read: %d %s, want 503", method, status, v.Raw)
		}
	}
	later.lim.StoreCallTimeout = 20 * time.Second
	released := make(chan int)
	go func() {
		status, _, _ := call(later, "POST", "/jobs/"+id+"/release", "")
		released <- status
	}()
	runFront(t, later)
	if status := <-released; status != 200 {
		t.Errorf("release: status %d, want 200", status)
	}
	eventually(t, "the core has the job", func() bool { clients, _ := core.take(); return len(clients) == 1 })
}

// What was accepted by its record while another node took the partition over is left to that node: kept here as well, it
// would run a second time if the partition came back.
func TestSubmissionOverATakeoverIsNotKept(t *testing.T) {
	for path, body := range map[string]string{
		"/jobs": heldTemplate, "/arrays": `{"jobTemplate":` + heldTemplate + `,"endIndex":3}`,
	} {
		f, _, s := newOutageFront(t)
		f.router = takenOver{}
		s.lose(true)
		s.unknown, s.reject, s.err = 1, 1, leaseholder.ErrNotOwner
		if status, v, _ := call(f, "POST", path, body); status != 201 {
			t.Errorf("%s: status %d, body %s, want 201 by the record", path, status, v.Raw)
		}
		f.mu.Lock()
		if f.queue.Waiting() != 0 || len(f.jobs)+len(f.arrays)+len(f.waiting) != 0 {
			t.Errorf("%s: kept here: %d in the queue, %d jobs, %d arrays", path, f.queue.Waiting(), len(f.jobs), len(f.arrays))
		}
		f.mu.Unlock()
	}
}

// gatedStore is a store in which the first write that is selected waits until it is released, and then fails with err,
// if any.
type gatedStore struct {
	*memoryStore
	selected       func([]jobstore.Change) bool
	err            error
	once           sync.Once
	reached, again chan bool
}

func newGatedStore(selected func([]jobstore.Change) bool, err error) *gatedStore {
	return &gatedStore{memoryStore: &memoryStore{values: map[string][]byte{}}, selected: selected, err: err,
		reached: make(chan bool), again: make(chan bool)}
}

func (s *gatedStore) Write(ctx context.Context, changes ...jobstore.Change) (err error) {
	if s.selected(changes) {
		s.once.Do(func() {
			s.reached <- true
			<-s.again
			err = s.err
		})
	}
	if err != nil {
		return err
	}
	return s.memoryStore.Write(ctx, changes...)
}

func (s *gatedStore) array(t *testing.T, id string) gjson.Result {
	t.Helper()
	value, found, err := s.Get(t.Context(), kindArray, recordKey(id))
	if err != nil || !found {
		t.Fatalf("record of the array: found %v, %v", found, err)
	}
	return gjson.ParseBytes(value)
}

// isHold reports whether a write is that of a hold of an array.
func isHold(changes []jobstore.Change) bool {
	return len(changes) == 1 && changes[0].Kind == kindArray && gjson.GetBytes(changes[0].Value, "held").Bool()
}

// Guards against a hold that is rejected and on record all the same: the end of a member wrote the array's record while
// the hold was being written.
func TestRejectedHoldOfAnArrayIsNotOnRecord(t *testing.T) {
	core, s := &manualCore{}, newGatedStore(isHold, jobstore.ErrFull)
	f := newFront(core, s, time.Now())
	id, first := startedArray(t, f, core)
	status := controlArray(f, id, "hold")
	<-s.reached
	first.Answer(node.Answer{End: node.Served})
	eventually(t, "the end of the member is on record", func() bool { return s.array(t, id).Get("done").Int() == 1 })
	s.again <- true
	if code := <-status; code != 503 {
		t.Errorf("status %d, want a rejection", code)
	}
	if s.array(t, id).Get("held").Bool() {
		t.Error("the rejected hold is on record")
	}
}

// startedArray returns the ID of an array whose first member the core has, and that member's client.
func startedArray(t *testing.T, f *Front, core *manualCore) (id string, first node.Client) {
	t.Helper()
	runFront(t, f)
	id = submitArray(t, f, `"endIndex":3,"maxParallel":1`)
	var clients []node.Client
	eventually(t, "the core has the first member", func() bool { clients, _ = core.take(); return len(clients) == 1 })
	return id, clients[0]
}

// controlArray makes a control call and returns a channel for its status.
func controlArray(f *Front, id, control string) <-chan int {
	status := make(chan int, 1)
	go func() {
		code, _, _ := call(f, "POST", "/arrays/"+id+"/"+control, "")
		status <- code
	}()
	return status
}

// releaseAfter lets the gated write go on after a control call was answered, or after a time in which one that does not
// wait for the write is answered. It returns the call's status.
func (s *gatedStore) releaseAfter(status <-chan int) int {
	select {
	case code := <-status:
		s.again <- true
		return code
	case <-time.After(100 * time.Millisecond):
		s.again <- true
		return <-status
	}
}

// Guards against control calls of an array that are confirmed and not on record: a write for a member that began before
// the call stored the array's state of then after it.
func TestConfirmedControlOfAnArrayStaysOnRecord(t *testing.T) {
	isEndOfMember := func(changes []jobstore.Change) bool {
		last := changes[len(changes)-1]
		return len(changes) > 1 && last.Kind == kindArray && gjson.GetBytes(last.Value, "done").Int() == 1
	}
	for control, field := range map[string]string{"hold": "held", "terminate": "terminated"} {
		core, s := &manualCore{}, newGatedStore(isEndOfMember, nil)
		f := newFront(core, s, time.Now())
		id, first := startedArray(t, f, core)
		first.Answer(node.Answer{End: node.Served})
		<-s.reached
		if code := s.releaseAfter(controlArray(f, id, control)); code != 200 && code != 409 {
			t.Errorf("%s: status %d", control, code)
		}
		eventually(t, "all states are recorded", func() bool { return !f.Pending() })
		if !s.array(t, id).Get(field).Bool() {
			t.Errorf("%s is not on record: %s", control, s.array(t, id).Raw)
		}
	}
}

// Guards against control calls of an array that are made at the same time, and whose record is that of the one that
// took effect first.
func TestControlCallsOfAnArrayAtTheSameTime(t *testing.T) {
	for _, second := range []string{"release", "terminate"} {
		core, s := &manualCore{}, newGatedStore(isHold, nil)
		f := newFront(core, s, time.Now())
		id, _ := startedArray(t, f, core)
		hold := controlArray(f, id, "hold")
		<-s.reached
		if code := s.releaseAfter(controlArray(f, id, second)); code != 200 && code != 409 {
			t.Errorf("%s: status %d", second, code)
		}
		<-hold
		f.mu.Lock()
		held := f.queue.IsHeld(id)
		f.mu.Unlock()
		stored := s.array(t, id)
		if second == "release" && (held || stored.Get("held").Bool()) || second == "terminate" && !stored.Get("terminated").Bool() {
			t.Errorf("after hold and %s: held in the queue %v, on record %s", second, held, stored.Raw)
		}
	}
}

// Guards against a job that is handed to the core although its hold was confirmed: a release that was made at the same
// time, and recorded before the hold, released it afterwards.
func TestHoldAndReleaseOfAJobAtTheSameTime(t *testing.T) {
	isRelease := func(changes []jobstore.Change) bool {
		return changes[0].Kind == kindJob && gjson.GetBytes(changes[0].Value, "jobState").String() == string(Queued)
	}
	core, s := &manualCore{}, newGatedStore(isRelease, nil)
	f := newFront(core, s, time.Now())
	runFront(t, f)
	_, v, _ := call(f, "POST", "/jobs", heldTemplate)
	job := "/jobs/" + v.Get("jobId").String()
	control := func(what string) <-chan int {
		status := make(chan int, 1)
		go func() {
			code, _, _ := call(f, "POST", job+"/"+what, "")
			status <- code
		}()
		return status
	}
	release := control("release")
	<-s.reached
	hold := control("hold")
	time.Sleep(50 * time.Millisecond)
	s.again <- true
	if code := <-release; code != 200 {
		t.Errorf("release: status %d", code)
	}
	code := <-hold
	clients, _ := core.take()
	if code == 200 && len(clients) > 0 {
		t.Error("the job was handed to the core although its hold was confirmed")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.queue.IsHeld(v.Get("jobId").String()); code == 200 && !held {
		t.Error("the hold was confirmed, and the job is not held in the queue")
	}
}

// Guards against a job that counts as safe to repeat by the rules in force because its own could not be read.
func TestJobWhoseRulesCannotBeReadCountsAsAtMostOnce(t *testing.T) {
	s := &memoryStore{values: map[string][]byte{}}
	f := newFront(&manualCore{}, s, time.Now())
	r := &Record{ID: "n0.1.1", Category: "area-render"}
	if f.atMostOnce(t.Context(), r) {
		t.Fatal("area-render is at most once by the rules in force")
	}
	s.err = errors.New("no leader")
	if !f.atMostOnce(t.Context(), r) {
		t.Error("a job whose rules cannot be read counts as one that may run again")
	}
}
