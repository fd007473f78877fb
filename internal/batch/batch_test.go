package batch

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"pgregory.net/rapid"

	"gatetack/internal/dispatch"
	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/node"
	"gatetack/internal/testenv"
	_ "gatetack/internal/testrand"
)

var names = node.Names{Classes: []string{"tile-charge", "area-render"}, Tenants: []string{"maavaade"}}

// fakeCore accepts every job, or rejects all, and ends none by itself.
type fakeCore struct {
	full   bool
	jobs   []node.Job
	client node.Client
}

func (c *fakeCore) Submit(j node.Job, cl node.Client) (uint32, error) {
	if c.full {
		return 0, node.ErrQueueFull
	}
	c.jobs, c.client = append(c.jobs, j), cl
	return uint32(len(c.jobs)), nil
}
func (c *fakeCore) Terminate(context.Context, uint32) error { return node.ErrRunning }
func (c *fakeCore) Executors(context.Context) ([]node.ExecutorInfo, error) {
	return []node.ExecutorInfo{{Endpoint: node.Endpoint{Name: "s-1", Status: "ready", Zone: "tartu"}, InFlight: 2}, {Endpoint: node.Endpoint{Name: "s-2", Status: "draining"}}}, nil
}
func (c *fakeCore) Rules() *node.Rules {
	return &node.Rules{Names: names, Settings: dispatch.Settings{MaxRetryAfter: 2000,
		Classes: []dispatch.Class{{Deadline: 7500, RetrySafety: dispatch.AtMostOnce}, {Deadline: 25000, RetrySafety: dispatch.Keyed}}}}
}
func (c *fakeCore) Counts(context.Context) (node.Counts, error) { return node.Counts{}, nil }

// memoryStore is a store in memory whose calls can fail.
type memoryStore struct {
	slow   chan bool // if not nil, each write waits for a value
	mu     sync.Mutex
	values map[string][]byte
	err    error
	log    []string // sub-states in the order they were recorded
}

func (m *memoryStore) Write(_ context.Context, changes ...jobstore.Change) error {
	if m.slow != nil {
		<-m.slow
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err != nil {
		return m.err
	}
	for _, c := range changes {
		if _, there := m.values[c.Kind+" "+c.Key]; there && c.New {
			return jobstore.ErrExists
		}
	}
	for _, c := range changes {
		if c.Value == nil {
			delete(m.values, c.Kind+" "+c.Key)
			continue
		}
		m.values[c.Kind+" "+c.Key] = c.Value
		if c.Kind == kindJob {
			m.log = append(m.log, gjson.GetBytes(c.Value, "jobState").String()+" "+gjson.GetBytes(c.Value, "jobSubState").String())
		}
	}
	return nil
}

func (m *memoryStore) Get(_ context.Context, kind, key string) ([]byte, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.values[kind+" "+key]
	return v, ok, m.err
}

func (m *memoryStore) Page(_ context.Context, kind, after string, limit int) (rows []jobstore.Row, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range slices.Sorted(maps.Keys(m.values)) {
		if key, ok := strings.CutPrefix(k, kind+" "); ok && key > after && len(rows) < limit {
			rows = append(rows, jobstore.Row{Key: key, Value: m.values[k]})
		}
	}
	return rows, m.err
}

// newFront returns a front that has read the stored records.
func newFront(c Core, s jobstore.Store, startedAt time.Time) *Front {
	f := New(Options{Core: c, Store: s, Node: "n0", Version: "test", StartedAt: startedAt, Limits: testenv.Limits, Log: testenv.DiscardLog})
	if s != nil {
		if err := f.load(context.Background()); err == nil {
			close(f.loaded)
		}
	}
	return f
}

func call(f *Front, method, path, body string) (int, gjson.Result, http1.Response) {
	r := f.Handle(context.Background(), &http1.Message{Method: method, Target: Prefix + path, Body: []byte(body)})
	return r.Status, gjson.ParseBytes(r.Body), r
}

const validTemplate = `{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"x"}`

// A client whose request was valid keeps its connection in preference to unknown clients; one with an invalid request
// does not.
func TestValidRequestMarksClientKnown(t *testing.T) {
	f := newFront(&fakeCore{}, nil, time.Now())
	for _, x := range []struct {
		method, path, body string
		known              bool
	}{{"POST", "/jobs", validTemplate, true}, {"GET", "/jobs", "", true}, {"POST", "/jobs", "{", false}, {"GET", "/nothing", "", false}} {
		if _, v, r := call(f, x.method, x.path, x.body); r.KnownClient != x.known {
			t.Errorf("%s %s: status %d, body %s, known client %v", x.method, x.path, r.Status, v.Raw, r.KnownClient)
		}
	}
}

// A rejection has a Retry-After within the limit of the settings. A draining front and a full core reject at once.
func TestRejections(t *testing.T) {
	c := &fakeCore{}
	f := newFront(c, nil, time.Now())
	_, v, _ := call(f, "POST", "/jobs", validTemplate)
	id := v.Get("jobId").String()
	c.client.Answer(node.Answer{End: node.Rejected, RetryAfter: time.Minute})
	status, v, r := call(f, "GET", "/jobs/"+id+"/wait", "")
	if status != 200 || v.Get("jobSubState").String() != "refused" || r.Fields[len(r.Fields)-1] != (http1.Field{Name: "Retry-After", Value: "2.000"}) {
		t.Errorf("status %d, body %s, fields %v", status, v.Raw, r.Fields)
	}
	c.full = true
	if status, v, _ = call(f, "POST", "/jobs", validTemplate); status != 503 || v.Get("error").String() != "TRY_LATER" {
		t.Errorf("full core: %d %s", status, v.Raw)
	}
	c.full = false
	f.Drain()
	if status, _, _ = call(f, "POST", "/jobs", validTemplate); status != 503 || len(c.jobs) != 1 {
		t.Errorf("draining front: status %d, %d jobs reached the core", status, len(c.jobs))
	}
}

// A send is recorded before it is made, and is not made if it can not be recorded. A recorded end is never
// overwritten by a send that was decided before it.
func TestSendsAreRecordedFirst(t *testing.T) {
	c, m := &fakeCore{}, &memoryStore{values: map[string][]byte{}}
	f := newFront(c, m, time.Now())
	if status, v, _ := call(f, "POST", "/jobs", validTemplate); status != 201 {
		t.Fatalf("status %d, body %s", status, v.Raw)
	}
	if err := c.jobs[0].BeforeSend("s-1"); err != nil {
		t.Fatal(err)
	}
	m.err = errors.New("no leader")
	if c.jobs[0].BeforeSend("s-1") == nil {
		t.Error("a send that could not be recorded was allowed")
	}
	if status, _, _ := call(f, "POST", "/jobs", validTemplate); status != 503 || len(c.jobs) != 1 {
		t.Errorf("a job that could not be recorded: status %d", status)
	}
	m.err = nil
	c.client.Answer(node.Answer{End: node.Served, Result: []byte("tile")})
	if c.jobs[0].BeforeSend("s-1") == nil {
		t.Error("a send of a job that has ended was allowed")
	}
	if err := f.writeRecord(context.Background(), <-f.dirty, nil); err != nil {
		t.Error(err)
	}
	if want := []string{"QUEUED held", "QUEUED sent", "DONE "}; !reflect.DeepEqual(m.log, want) {
		t.Errorf("recorded states %q, want %q", m.log, want)
	}
}

// After a restart a job's state follows from its record, or from the lack of one.
func TestJobsOfEarlierIncarnations(t *testing.T) {
	c, m := &fakeCore{}, &memoryStore{values: map[string][]byte{}}
	startedAt := time.Now()
	f := newFront(c, m, startedAt)
	_, v, _ := call(f, "POST", "/jobs", validTemplate)
	id := v.Get("jobId").String()
	later := newFront(c, m, startedAt.Add(time.Second))
	check := func(id, state, sub string) {
		t.Helper()
		status, v, _ := call(later, "GET", "/jobs/"+id, "")
		if status != 200 || v.Get("jobState").String() != state || v.Get("jobSubState").String() != sub {
			t.Errorf("%s: status %d, body %s, want %s %s", id, status, v.Raw, state, sub)
		}
	}
	check(id, "FAILED", "unsent")
	if err := c.jobs[0].BeforeSend("s-1"); err != nil {
		t.Fatal(err)
	}
	check(id, "UNDETERMINED", "")
	check("n0.1.9", "UNDETERMINED", "")
	check("n7.1.9", "UNDETERMINED", "")
	m.err = errors.New("no leader")
	check(id, "UNDETERMINED", "")
	for _, bad := range []string{"", "x", "n0.1", "n0.zz.1", "n0.1.0", "..", "n0.7fffffffffffffff.1"} {
		if status, _, _ := call(later, "GET", "/jobs/"+bad+"/wait", ""); status != 404 {
			t.Errorf("%q: status %d", bad, status)
		}
	}
}

// The memory for ended jobs is bounded; open jobs are never evicted.
func TestEndedJobsInMemoryAreBounded(t *testing.T) {
	c := &fakeCore{}
	f := newFront(c, nil, time.Now())
	f.lim.BatchJobs, f.lim.BatchResultBytes = 3, 10
	_, v, _ := call(f, "POST", "/jobs", validTemplate)
	open := v.Get("jobId").String()
	for range 8 {
		call(f, "POST", "/jobs", validTemplate)
		c.client.Answer(node.Answer{End: node.Served, Result: []byte("12345")})
	}
	if len(f.order) > 4 || f.bytes > 10 || len(f.jobs) != len(f.order) || f.jobs[open] == nil {
		t.Errorf("%d jobs in memory, %d bytes, open job %v", len(f.order), f.bytes, f.jobs[open])
	}
}

// A corrupted template is rejected with the name of a field, or is valid and names a class and a tenant. A record
// survives encoding and decoding.
func TestMalformedTemplates(t *testing.T) {
	f := newFront(&fakeCore{}, nil, time.Now())
	full := `{"jobName":"a","jobCategory":"area-render","accountingId":"maavaade","remoteCommand":"/area-render/x","payload":"p","minSlots":2,"deadlineTime":"2099-01-01T00:00:00Z"}`
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(full)
		for range rapid.IntRange(1, 4).Draw(t, "hits") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		x, bad := f.parseTemplate(b[:rapid.IntRange(0, len(b)).Draw(t, "cut")], time.Now())
		if bad == nil && (x.job.Class < 0 || x.job.Tenant < 0 || x.job.Target == "") || bad != nil && bad.field == "" {
			t.Fatalf("template %+v, error %+v", x, bad)
		}
		zero, text := 0, rapid.String().Draw(t, "result")
		r := Record{ID: "n0.1.1", State: Done, ExitStatus: &zero, Machines: []string{"s-1"}, Name: rapid.String().Draw(t, "name"),
			Submitted: time.Unix(1, 0).UTC(), RetryMS: 5, Result: &text}
		data, err := json.Marshal(r)
		if got := parseRecord(data); err != nil || !reflect.DeepEqual(got, r) {
			t.Fatalf("decoded record %+v, want %+v", got, r)
		}
	})
}
