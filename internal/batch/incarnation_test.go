package batch

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/testenv"
)

// clockSteps are the steps by which the clock is set back between two processes of a node.
var clockSteps = []time.Duration{0, time.Second, 30 * time.Second, time.Hour}

// setError makes all further calls of a store fail, or succeed if err is nil.
func (m *memoryStore) setError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

// submitJob submits a job and returns its ID.
func submitJob(t *testing.T, f *Front) string {
	t.Helper()
	status, v, _ := call(f, "POST", "/jobs", validTemplate)
	if status != 201 {
		t.Fatalf("status %d, body %s", status, v.Raw)
	}
	return v.Get("jobId").String()
}

// A process that starts after its clock was stepped back generates IDs that sort after those of its predecessor, and
// recognizes the predecessor's IDs and cursors, as long as the records are kept.
func TestIncarnationFollowsThePredecessors(t *testing.T) {
	for _, step := range clockSteps {
		m := &memoryStore{values: map[string][]byte{}}
		started := time.Now()
		before := newFront(&manualCore{}, m, started)
		old, oldCursor := submitJob(t, before), before.events.latestCursor()
		after := newFront(&manualCore{}, m, started.Add(-step))
		latest := submitJob(t, after)
		if recordKey(latest) <= recordKey(old) {
			t.Errorf("step of %v: ID %s does not sort after %s", step, latest, old)
		}
		if got := after.ids.origin(old); got != earlierIncarnation {
			t.Errorf("step of %v: ID %s has origin %d", step, old, got)
		}
		if _, v, _ := call(after, "GET", "/events?timeoutMs=1&after="+oldCursor, ""); v.Get("event").String() != "LOST" {
			t.Errorf("step of %v: %s", step, v.Raw)
		}
	}
}

// Without a store, IDs and cursors of a predecessor whose clock was ahead are recognized as earlier ones. Those that
// no process can have generated are rejected.
func TestIdsOfAPredecessorWithoutRecords(t *testing.T) {
	for _, step := range clockSteps[1:] {
		started := time.Now()
		before := newFront(&manualCore{}, nil, started)
		old, oldCursor := submitJob(t, before), before.events.latestCursor()
		after := newFront(&manualCore{}, nil, started.Add(-step))
		if status, v, _ := call(after, "GET", "/jobs/"+old, ""); status != 200 || v.Get("jobState").String() != string(Undetermined) {
			t.Errorf("step of %v: status %d, body %s", step, status, v.Raw)
		}
		if _, v, _ := call(after, "GET", "/events?timeoutMs=1&after="+oldCursor, ""); v.Get("event").String() != "LOST" {
			t.Errorf("step of %v: %s", step, v.Raw)
		}
	}
	f := newFront(&manualCore{}, nil, time.Now())
	if status, v, _ := call(f, "GET", "/jobs/n0.7fffffffffffffff.1", ""); status != 404 {
		t.Errorf("status %d, body %s", status, v.Raw)
	}
	if status, v, _ := call(f, "GET", "/events?timeoutMs=1&after=7fffffffffffffff.1", ""); status != 400 {
		t.Errorf("status %d, body %s", status, v.Raw)
	}
}

// A stored incarnation that can not be parsed is replaced by the clock's.
func TestUnreadableIncarnationIsReplaced(t *testing.T) {
	m := &memoryStore{values: map[string][]byte{kindIncarnation + " n0": []byte("x")}}
	newFront(&manualCore{}, m, time.UnixMilli(2000))
	if got := string(m.values[kindIncarnation+" n0"]); got != "2000" {
		t.Errorf("stored incarnation %q, want 2000", got)
	}
}

// A node whose disk is full when it starts accepts no jobs until there is room, and then continues by itself.
func TestStartWithAFullDisk(t *testing.T) {
	m := &memoryStore{values: map[string][]byte{}}
	m.setError(syscall.ENOSPC)
	f := New(Options{Core: &manualCore{}, Store: m, Node: "n0", Version: "test", StartedAt: time.Now(), Limits: fastLimits(), Log: testenv.DiscardLog})
	runFront(t, f)
	if status, v, _ := call(f, "POST", "/jobs", validTemplate); status != 503 {
		t.Errorf("status %d, body %s", status, v.Raw)
	}
	m.setError(nil)
	eventually(t, "jobs are accepted", func() bool { status, _, _ := call(f, "POST", "/jobs", validTemplate); return status == 201 })
}

// The end of a job that could not be recorded while the disk failed is recorded once the disk works again, without
// any further event of the job: the client saw the end, and must see it after a restart.
func TestEndIsRecordedOnceTheDiskWorksAgain(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		m, e := &memoryStore{values: map[string][]byte{}}, &manualCore{}
		f := New(Options{Core: e, Store: m, Node: "n0", Version: "test", StartedAt: time.Now(), Limits: fastLimits(), Log: testenv.DiscardLog})
		runFront(t, f)
		eventually(t, "the stored records are read", f.ready)
		id := submitJob(t, f)
		clients, _ := e.take()
		m.setError(cause)
		clients[0].Answer(node.Answer{End: node.Served, Result: []byte("tile")})
		eventually(t, "the write has failed", func() bool {
			f.unrecorded.mu.Lock()
			defer f.unrecorded.mu.Unlock()
			return len(f.unrecorded.jobs) == 1
		})
		if !f.Pending() {
			t.Error("an unrecorded state does not count as pending")
		}
		m.setError(nil)
		eventually(t, "the end is recorded", func() bool { return !f.Pending() })
		value, _, _ := m.Get(t.Context(), kindJob, recordKey(id))
		if got := gjson.GetBytes(value, "jobState").String(); got != string(Done) {
			t.Errorf("%v: stored state %s", cause, got)
		}
		after := newFront(&manualCore{}, m, time.Now())
		if _, v, _ := call(after, "GET", "/jobs/"+id, ""); v.Get("jobState").String() != string(Done) {
			t.Errorf("%v: after a restart: %s", cause, v.Raw)
		}
	}
}

// A submission that can not be made durable is rejected, and its job does not run.
func TestSubmissionOnAFullDiskIsNotAcknowledged(t *testing.T) {
	m, e := &memoryStore{values: map[string][]byte{}}, &manualCore{}
	f := newFront(e, m, time.Now())
	runFront(t, f)
	for _, template := range []string{validTemplate, strings.Replace(validTemplate, "{", `{"submitAsHold":true,`, 1)} {
		m.setError(syscall.ENOSPC)
		if status, v, _ := call(f, "POST", "/jobs", template); status != 503 || v.Get("error").String() != "TRY_LATER" {
			t.Errorf("status %d, body %s", status, v.Raw)
		}
		if clients, _ := e.take(); len(clients) != 0 {
			t.Errorf("%d jobs reached the core", len(clients))
		}
		m.setError(nil)
		if status, v, _ := call(f, "POST", "/jobs", template); status != 201 {
			t.Errorf("status %d, body %s", status, v.Raw)
		}
		e.take()
	}
}

// fastLimits returns limits with a short retry interval.
func fastLimits() limits.Limits {
	lim := testenv.Limits
	lim.StoreElectionTimeout = 2 * time.Millisecond
	return lim
}
