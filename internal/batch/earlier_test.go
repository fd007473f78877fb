package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/node"
)

// repeatFront returns a core whose class area-render is keyed for all executors, with a window, and a front on a store.
func repeatFront(t *testing.T, window time.Duration) (*Front, *changingCore, *memoryStore) {
	rules := oldSettings()
	rules.Settings.Classes[1].DedupScope = dispatch.ScopeAll
	rules.Settings.Classes[1].DedupWindow = float64(window.Milliseconds())
	core, store := &changingCore{rules: rules}, &memoryStore{values: map[string][]byte{}}
	f := newFront(core, store, time.Now())
	f.lim.MinBatchRetryDelay = time.Millisecond
	runFront(t, f)
	return f, core, store
}

// rejectAfterAttempt takes the next job from the core and rejects it after an attempt that may have run.
func rejectAfterAttempt(t *testing.T, core *changingCore, executor string, sentAt time.Time) node.Job {
	t.Helper()
	var clients []node.Client
	var jobs []node.Job
	eventually(t, "a job is handed to the core", func() bool {
		clients, jobs = core.take()
		return len(clients) == 1
	})
	if err := jobs[0].BeforeSend(executor); err != nil {
		t.Fatal(err)
	}
	clients[0].Sent(executor)
	attempt := jobs[0].Earlier
	if attempt == nil {
		attempt = &node.EarlierAttempt{SentAt: sentAt}
	}
	clients[0].Answer(node.Answer{End: node.Rejected, MayHaveRun: attempt, Reason: "no room"})
	return jobs[0]
}

const keyedArray = `{"jobTemplate":{"jobCategory":"area-render","accountingId":"maavaade","payload":"x"},"endIndex":1}`

// A keyed member that may have run is handed over again with its first attempt, until the window of that attempt is over,
// and is then told as one that may have run, never as rejected or unsent.
func TestKeyedMemberIsRepeatedWithinItsFirstWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	f, core, _ := repeatFront(t, window)
	_, v, _ := call(f, "POST", "/arrays", keyedArray)
	member := "/jobs/" + v.Get("jobArrayId").String() + "-1"
	first := time.Now()
	if job := rejectAfterAttempt(t, core, "s-1", first); job.Earlier != nil {
		t.Errorf("the first hand-over has an earlier attempt: %+v", job.Earlier)
	}
	repeats := 0
	eventually(t, "the member has ended", func() bool {
		if _, v, _ := call(f, "GET", member, ""); v.Get("jobState").String() == "FAILED" {
			return true
		}
		clients, jobs := core.take()
		for i, c := range clients {
			repeats++
			if e := jobs[i].Earlier; e == nil || !e.SentAt.Equal(first) {
				t.Errorf("repeat %d has the earlier attempt %+v, want the first one", repeats, e)
			}
			if late := time.Since(first); late > window+100*time.Millisecond {
				t.Errorf("repeat %d came %v after the first attempt, window %v", repeats, late, window)
			}
			c.Answer(node.Answer{End: node.Rejected, RetryAfter: 50 * time.Millisecond, MayHaveRun: jobs[i].Earlier})
		}
		return false
	})
	if repeats == 0 {
		t.Error("the member was not repeated within its window")
	}
	if _, v, _ := call(f, "GET", member, ""); v.Get("jobSubState").String() != "failed" {
		t.Errorf("the member ended as %s, want failed: it may have run", v.Raw)
	}
}

// While a member that may have run waits to be repeated, its record says so: after a restart it is UNDETERMINED and is not
// sent again, and version 0.3.0, which knows states alone, takes it for a job that was sent.
func TestMemberThatMayHaveRunStaysSoOnRecord(t *testing.T) {
	f, core, store := repeatFront(t, time.Hour)
	_, v, _ := call(f, "POST", "/arrays", keyedArray)
	id := v.Get("jobArrayId").String() + "-1"
	f.lim.MinBatchRetryDelay = 30 * time.Minute // it waits
	rejectAfterAttempt(t, core, "s-1", time.Now())
	eventually(t, "the rejection is recorded", func() bool { return !f.Pending() })
	record := func() Record {
		value, _, _ := store.Get(t.Context(), kindJob, recordKey(id))
		return parseRecord(value)
	}
	r := record()
	if r.State != Requeued || r.SubState != subHeld || r.unsent() || len(r.Earlier) != 1 {
		t.Fatalf("on record: %+v, want REQUEUED with the attempt", r)
	}
	later := newFront(&manualCore{}, store, time.Now().Add(time.Second))
	if _, v, _ := call(later, "GET", "/jobs/"+id, ""); v.Get("jobState").String() != "UNDETERMINED" {
		t.Errorf("after a restart: %s, want UNDETERMINED", v.Raw)
	}
	if later.queue.Waiting() != 0 {
		t.Error("after a restart the member waits to be sent again")
	}
	// A callback of another attempt than the one that served it says nothing; "done" of any attempt ends the job.
	earlier := record().Earlier[0]
	for _, x := range []struct{ state, want string }{{"returned", "UNDETERMINED"}, {"failed", "UNDETERMINED"}, {"done", "DONE"}} {
		body := fmt.Sprintf(`{"id":%q,"from":"s-1","state":%q,"result":"x"}`, earlier.Trace, x.state)
		later.resolveByCallback(t.Context(), id, []byte(body))
		if _, v, _ := call(later, "GET", "/jobs/"+id, ""); v.Get("jobState").String() != x.want {
			t.Errorf("after %s of the attempt: %s, want %s", x.state, v.Raw, x.want)
		}
	}
}

// The attempts of all hand-overs stay on record, so that a late callback of each finds the job.
func TestAttemptsOfAllHandOversStayOnRecord(t *testing.T) {
	f, core, store := repeatFront(t, time.Hour)
	_, v, _ := call(f, "POST", "/arrays", keyedArray)
	id := v.Get("jobArrayId").String() + "-1"
	first := rejectAfterAttempt(t, core, "s-1", time.Now())
	second := rejectAfterAttempt(t, core, "s-2", time.Now())
	for _, trace := range []string{first.TraceID, second.TraceID} {
		if value, ok, _ := store.Get(t.Context(), kindSent, trace); !ok || string(value) != id {
			t.Errorf("trace %s stands for %q, want the member", trace, value)
		}
	}
	eventually(t, "both attempts are on record", func() bool {
		value, _, _ := store.Get(t.Context(), kindJob, recordKey(id))
		r := parseRecord(value)
		return slices.Equal(r.Earlier, []sentAttempt{{first.TraceID, "s-1"}, {second.TraceID, "s-2"}})
	})
}

// A member that waits to be repeated is not told as terminated before it was sent, and can not be held.
func TestTerminateOfAMemberThatMayHaveRun(t *testing.T) {
	f, core, _ := repeatFront(t, time.Hour)
	f.lim.MinBatchRetryDelay = 30 * time.Minute // it waits
	_, v, _ := call(f, "POST", "/arrays", keyedArray)
	member := "/jobs/" + v.Get("jobArrayId").String() + "-1"
	rejectAfterAttempt(t, core, "s-1", time.Now())
	if _, v, _ := call(f, "GET", member, ""); v.Get("jobState").String() != "REQUEUED" {
		t.Fatalf("the member is %s, want it to wait", v.Raw)
	}
	status, v, _ := call(f, "POST", member+"/terminate", "")
	if status != 409 || v.Get("jobSubState").String() != "failed" {
		t.Errorf("terminate: %d %s, want a conflict that says that it may have run", status, v.Raw)
	}
	if clients, _ := core.take(); len(clients) != 0 {
		t.Error("the member was repeated after its termination")
	}
}
