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

// clockSteps are by how much the clock is set back between two processes of a node.
var clockSteps = []time.Duration{0, time.Second, 30 * time.Second, time.Hour}

// setError makes all calls of a store fail from now on, or none.
func (m *memory) setError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

// submitted returns the id of a job that was taken.
func submitted(t *testing.T, f *Front) string {
	t.Helper()
	status, v, _ := call(f, "POST", "/jobs", good)
	if status != 201 {
		t.Fatalf("%d %s", status, v.Raw)
	}
	return v.Get("jobId").String()
}

// A process that started after its clock was stepped back gives ids that follow those of its predecessor, and knows the
// predecessor's ids and cursors as such, as long as the records last.
func TestIncarnationFollowsThePredecessors(t *testing.T) {
	for _, step := range clockSteps {
		m := &memory{values: map[string][]byte{}}
		started := time.Now()
		before := front(&engine{}, m, started)
		old, oldCursor := submitted(t, before), before.events.latestCursor()
		after := front(&engine{}, m, started.Add(-step))
		latest := submitted(t, after)
		if recordKey(latest) <= recordKey(old) {
			t.Errorf("step of %v: %s after %s", step, latest, old)
		}
		if got := after.ids.origin(old); got != earlierIncarnation {
			t.Errorf("step of %v: %s is of origin %d", step, old, got)
		}
		if _, v, _ := call(after, "GET", "/events?timeoutMs=1&after="+oldCursor, ""); v.Get("event").String() != "LOST" {
			t.Errorf("step of %v: %s", step, v.Raw)
		}
	}
}

// Where nothing outlives the process, ids and cursors of a predecessor whose clock was ahead are known as earlier ones. What
// no process can have given is refused.
func TestIdsOfAPredecessorWithoutRecords(t *testing.T) {
	for _, step := range clockSteps[1:] {
		started := time.Now()
		before := front(&engine{}, nil, started)
		old, oldCursor := submitted(t, before), before.events.latestCursor()
		after := front(&engine{}, nil, started.Add(-step))
		if status, v, _ := call(after, "GET", "/jobs/"+old, ""); status != 200 || v.Get("jobState").String() != string(Undetermined) {
			t.Errorf("step of %v: %d %s", step, status, v.Raw)
		}
		if _, v, _ := call(after, "GET", "/events?timeoutMs=1&after="+oldCursor, ""); v.Get("event").String() != "LOST" {
			t.Errorf("step of %v: %s", step, v.Raw)
		}
	}
	f := front(&engine{}, nil, time.Now())
	if status, v, _ := call(f, "GET", "/jobs/n0.7fffffffffffffff.1", ""); status != 404 {
		t.Errorf("%d %s", status, v.Raw)
	}
	if status, v, _ := call(f, "GET", "/events?timeoutMs=1&after=7fffffffffffffff.1", ""); status != 400 {
		t.Errorf("%d %s", status, v.Raw)
	}
}

// An incarnation on record that can not be read is replaced by the clock's.
func TestUnreadableIncarnationIsReplaced(t *testing.T) {
	m := &memory{values: map[string][]byte{kindIncarnation + " n0": []byte("x")}}
	front(&engine{}, m, time.UnixMilli(2000))
	if got := string(m.values[kindIncarnation+" n0"]); got != "2000" {
		t.Errorf("%q", got)
	}
}

// A node whose disk is full at its start takes no jobs until it is not, and goes on by itself then.
func TestStartWithAFullDisk(t *testing.T) {
	m := &memory{values: map[string][]byte{}}
	m.setError(syscall.ENOSPC)
	f := New(Options{Core: &engine{}, Store: m, Node: "n0", Version: "test", Life: time.Now(), Limits: fastLimits(), Log: testenv.DiscardLog})
	run(t, f)
	if status, v, _ := call(f, "POST", "/jobs", good); status != 503 {
		t.Errorf("%d %s", status, v.Raw)
	}
	m.setError(nil)
	eventually(t, "jobs are taken", func() bool { status, _, _ := call(f, "POST", "/jobs", good); return status == 201 })
}

// The end of a job that could not be recorded while the disk failed is on record once it works again, without anything else
// that happens to the job: a client was told of it, and is told the same after a restart.
func TestEndIsRecordedOnceTheDiskWorksAgain(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		m, e := &memory{values: map[string][]byte{}}, &engine{}
		f := New(Options{Core: e, Store: m, Node: "n0", Version: "test", Life: time.Now(), Limits: fastLimits(), Log: testenv.DiscardLog})
		run(t, f)
		eventually(t, "what was left is read", f.ready)
		id := submitted(t, f)
		clients, _ := e.take()
		m.setError(cause)
		clients[0].Answer(node.Answer{End: node.Served, Result: []byte("tile")})
		eventually(t, "the write has failed", func() bool {
			f.unrecorded.mu.Lock()
			defer f.unrecorded.mu.Unlock()
			return len(f.unrecorded.jobs) == 1
		})
		if !f.Pending() {
			t.Error("a state that is not on record does not count as pending")
		}
		m.setError(nil)
		eventually(t, "the end is on record", func() bool { return !f.Pending() })
		value, _, _ := m.Get(t.Context(), kindJob, recordKey(id))
		if got := gjson.GetBytes(value, "jobState").String(); got != string(Done) {
			t.Errorf("%v: %s on record", cause, got)
		}
		after := front(&engine{}, m, time.Now())
		if _, v, _ := call(after, "GET", "/jobs/"+id, ""); v.Get("jobState").String() != string(Done) {
			t.Errorf("%v: after a restart: %s", cause, v.Raw)
		}
	}
}

// A submission that can not be made durable is refused, and nothing of it runs.
func TestSubmissionOnAFullDiskIsNotAcknowledged(t *testing.T) {
	m, e := &memory{values: map[string][]byte{}}, &engine{}
	f := front(e, m, time.Now())
	run(t, f)
	for _, template := range []string{good, strings.Replace(good, "{", `{"submitAsHold":true,`, 1)} {
		m.setError(syscall.ENOSPC)
		if status, v, _ := call(f, "POST", "/jobs", template); status != 503 || v.Get("error").String() != "TRY_LATER" {
			t.Errorf("%d %s", status, v.Raw)
		}
		if clients, _ := e.take(); len(clients) != 0 {
			t.Errorf("%d jobs reached the core", len(clients))
		}
		m.setError(nil)
		if status, v, _ := call(f, "POST", "/jobs", template); status != 201 {
			t.Errorf("%d %s", status, v.Raw)
		}
		e.take()
	}
}

// fastLimits are limits under which what failed is tried again soon.
func fastLimits() limits.Limits {
	lim := testenv.Limits
	lim.StoreElectionTimeout = 2 * time.Millisecond
	return lim
}
