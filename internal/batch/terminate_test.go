package batch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/node"
)

// terminableCore holds jobs that it has not sent, and ends them on request.
type terminableCore struct{ manualCore }

func (c *terminableCore) Terminate(context.Context, uint32) error {
	clients, _ := c.take()
	if len(clients) == 0 {
		return node.ErrUnknown
	}
	clients[0].Answer(node.Answer{End: node.Terminated, Reason: terminatedUnsent})
	return nil
}

// endsJob reports whether a write contains the end of a job.
func endsJob(changes []jobstore.Change) bool {
	for _, c := range changes {
		if c.Kind == kindJob && State(gjson.GetBytes(c.Value, "jobState").String()).final() {
			return true
		}
	}
	return false
}

// rejectingStore rejects the writes of ends of jobs while err is set.
type rejectingStore struct {
	*memoryStore
	err error
}

func (s *rejectingStore) Write(ctx context.Context, changes ...jobstore.Change) error {
	if s.err != nil && endsJob(changes) {
		return s.err
	}
	return s.memoryStore.Write(ctx, changes...)
}

// Guards against a delete that is confirmed before it is on record: the node is killed right after, and the job runs
// once it has restarted. The job waits in the queue, is a member whose turn has not come, or is with the core.
func TestConfirmedTerminateIsOnRecord(t *testing.T) {
	const template = `{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"x"%s}`
	inAnHour := time.Now().Add(time.Hour).UTC().Format(time.RFC3339)
	for _, x := range []struct{ name, path, body, id, suffix string }{
		{"held", "/jobs", fmt.Sprintf(template, `,"submitAsHold":true`), "jobId", ""},
		{"deferred", "/jobs", fmt.Sprintf(template, `,"startTime":"`+inAnHour+`"`), "jobId", ""},
		{"member", "/arrays", `{"jobTemplate":` + heldTemplate + `,"endIndex":3}`, "jobArrayId", "-2"},
		{"with the core", "/jobs", fmt.Sprintf(template, ""), "jobId", ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newGatedStore(endsJob, nil)
			f := newFront(&terminableCore{}, s, time.Now())
			runFront(t, f)
			_, v, _ := call(f, "POST", x.path, x.body)
			id := v.Get(x.id).String() + x.suffix
			if x.name == "with the core" {
				eventually(t, "the core has the job", func() bool { return f.coreHas(id) })
			}
			answered := make(chan int, 1)
			go func() {
				status, _, _ := call(f, "DELETE", "/jobs/"+id, "")
				answered <- status
			}()
			select {
			case <-s.reached:
			case status := <-answered:
				t.Errorf("answered %d before the write of the end", status)
				answered <- status
				<-s.reached
			}
			select {
			case status := <-answered:
				t.Errorf("answered %d before the end was on record", status)
				answered <- status
			case <-time.After(50 * time.Millisecond):
			}
			close(s.again)
			if status := <-answered; status != 200 {
				t.Errorf("status %d", status)
			}
			value, found, err := s.Get(t.Context(), kindJob, recordKey(id))
			if !found || err != nil || !parseRecord(value).State.final() {
				t.Errorf("on record after the answer: %s, %v", value, err)
			}
		})
	}
}

// coreHas reports whether the core has a job.
func (f *Front) coreHas(id string) bool {
	f.mu.Lock()
	j := f.jobs[id]
	f.mu.Unlock()
	return j != nil && j.coreID() != 0
}

// A delete that is rejected has no effect: the job waits on, and its end is not shown.
func TestRejectedTerminateHasNoEffect(t *testing.T) {
	core := &manualCore{}
	s := &rejectingStore{memoryStore: &memoryStore{values: map[string][]byte{}}}
	f := newFront(core, s, time.Now())
	runFront(t, f)
	_, v, _ := call(f, "POST", "/jobs", heldTemplate)
	id := v.Get("jobId").String()
	s.err = errors.New("not the owner")
	if status, v, _ := call(f, "DELETE", "/jobs/"+id, ""); status != 503 {
		t.Errorf("status %d, body %s, want a rejection", status, v.Raw)
	}
	s.err = nil
	if _, v, _ := call(f, "GET", "/jobs/"+id, ""); v.Get("jobState").String() != string(QueuedHeld) {
		t.Errorf("after the rejection: %s", v.Raw)
	}
	if status, v, _ := call(f, "POST", "/jobs/"+id+"/release", ""); status != 200 {
		t.Errorf("release: %d %s", status, v.Raw)
	}
	eventually(t, "the job is handed to the core", func() bool { return f.coreHas(id) })
}

// leaselessRouter is a router of a node that takes all partitions for its own. Its lease may be over.
type leaselessRouter struct {
	*sharedStore
	held func() bool
}

func (r *leaselessRouter) HoldsLease() bool { return r.held() }

// Guards against a node that was silent and answers from its memory for a partition that another node may own by now
// (review case 10): without a valid lease, it neither ends a job nor says how it stands, also if the lease ends while
// the answer is prepared.
func TestNodeWithoutItsLeaseDoesNotAnswer(t *testing.T) {
	start := func(held func() bool) (*Front, string) {
		s := &sharedStore{memoryStore: &memoryStore{values: map[string][]byte{}}}
		f := newFront(&manualCore{}, s, time.Now())
		f.lim.LeaseTTL = 100 * time.Millisecond
		runFront(t, f)
		_, v, _ := call(f, "POST", "/jobs", heldTemplate)
		f.router = &leaselessRouter{s, held}
		return f, v.Get("jobId").String()
	}
	f, id := start(func() bool { return false })
	for _, x := range [][2]string{{"DELETE", ""}, {"GET", ""}, {"POST", "/hold"}, {"POST", "/release"}, {"GET", "/state"}} {
		if status, v, _ := call(f, x[0], "/jobs/"+id+x[1], ""); status != 503 {
			t.Errorf("%s %s without a lease: %d %s", x[0], x[1], status, v.Raw)
		}
	}
	forwarded := &http1.Message{Method: "DELETE", Target: Prefix + "/jobs/" + id,
		Fields: []http1.Field{{Name: "X-Gatetack-Hop", Value: "n1"}}}
	if r := f.Handle(t.Context(), forwarded); r.Status != 503 {
		t.Errorf("forwarded call without a lease: %d", r.Status)
	}
	checks := 0
	f, id = start(func() bool { checks++; return checks == 1 })
	if status, v, _ := call(f, "GET", "/jobs/"+id, ""); status != 503 {
		t.Errorf("the lease ended before the answer: %d %s", status, v.Raw)
	}
}
