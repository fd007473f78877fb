package node

import (
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"pgregory.net/rapid"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/slowpeer"
	_ "gatetack/internal/testrand"
)

var lim = limits.New(0, 0, 0, 0, 0)

func settings() dispatch.Settings {
	return dispatch.Settings{
		Nodes:                1,
		MinStepInterval:      4,
		PollsList:            true,
		Telemetry:            dispatch.ReportAnswers,
		Fields:               []dispatch.Field{dispatch.FieldPending, dispatch.FieldFree},
		StartNotifications:   true,
		ProgressInterval:     1000,
		MaxAttempts:          3,
		HedgingAllowed:       true,
		CancelAllowed:        true,
		MaxConcurrentStreams: 1,
		ConnIdleTimeout:      60000,
		ConnectTimeout:       250,
		MaxRetryAfter:        2000,
		MaxPollInterval:      10000,
		DrainGrace:           500,
		OverloadMultiple:     2.5,
		OverloadWindow:       2000,
		SlowStartMinShare:    0.3,
		MaxSlowStartDuration: 8400,
		Classes: []dispatch.Class{
			{Objective: 400, ObjectivePerWork: 2, Deadline: 7500, PriorityWeight: 8, RetrySafety: dispatch.AtMostOnce, Kind: -1},
			{
				Objective:        1500,
				ObjectivePerWork: 2,
				Deadline:         25000,
				PriorityWeight:   24,
				RetrySafety:      dispatch.Keyed,
				DedupScope:       dispatch.ScopeCell,
				DedupWindow:      40000,
				Kind:             -1,
			},
		},
		Tenants: []dispatch.Tenant{{ReservedShare: 1, Quota: 20}},
	}
}

// host drives a core without its goroutine, on a clock of its own, and stands for all it speaks to.
type fakeAdapters struct {
	core           *Core
	now            time.Time
	attempts       []Attempt
	canceled       map[uint64]bool
	sends          map[*Job][]uint32 // where each job went
	watches        int
	endpointStatus map[string]string
}

func (h *fakeAdapters) UpdateEndpoint(_ uint32, e Endpoint, _ time.Time) {
	h.endpointStatus[e.Name] = e.Status
}
func (h *fakeAdapters) Send(a Attempt) {
	h.attempts = append(h.attempts, a)
	h.sends[a.Job] = append(h.sends[a.Job], a.Executor)
}
func (h *fakeAdapters) Cancel(id uint64)          { h.canceled[id] = true }
func (h *fakeAdapters) CheckHealth(uint32)        {}
func (h *fakeAdapters) CloseIdle(uint32)          {}
func (h *fakeAdapters) Watch(bool)                { h.watches++ }
func (h *fakeAdapters) Fetch()                    {}
func (h *fakeAdapters) SendGossip(uint16, []byte) {}

type fatal interface{ Fatal(...any) }

func newFakeAdapters(t fatal, rows ...Endpoint) *fakeAdapters {
	h := startFakeAdapters(t, rows...)
	h.run(0)
	return h
}

// startHost makes one that has taken in nothing yet.
func startFakeAdapters(t fatal, rows ...Endpoint) *fakeAdapters {
	h := &fakeAdapters{canceled: map[uint64]bool{}, sends: map[*Job][]uint32{}, endpointStatus: map[string]string{}}
	c, err := New(settings(), 1, EndpointList{Entries: rows}, Names{Zones: []string{"tallinn"}, Kinds: []string{"type-a"}}, lim,
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	c.Connect(h, h, h)
	h.core, h.now = c, c.clock.start
	c.clock.now = func() time.Time { return h.now }
	return h
}

// run lets time pass in small steps and takes in what is queued.
func (h *fakeAdapters) run(d time.Duration) {
	for end := h.now.Add(d); ; h.now = h.now.Add(2 * time.Millisecond) {
		for len(h.core.intake.events) > 0 {
			h.core.handle(<-h.core.intake.events)
		}
		h.core.runDue(h.now)
		if !h.now.Before(end) {
			return
		}
	}
}

func readyEndpoint(name string) Endpoint {
	return Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "tallinn", Kind: "type-a", Group: 1, Status: "ready", Weight: 1}
}

// client counts what a job's client is told.
type recordingClient struct {
	answers                 []Answer
	sent, started, returned int
	t                       fatal
}

func (c *recordingClient) Sent(string)   { c.sent++ }
func (c *recordingClient) Started()      { c.started++ }
func (c *recordingClient) Requeued(bool) { c.returned++ }
func (c *recordingClient) Answer(a Answer) {
	if c.answers = append(c.answers, a); len(c.answers) > 1 {
		c.t.Fatal("a second answer", c.answers)
	}
}

// A tile-charge that may have run is never sent again, and is failed at once: its client must not be held.
func TestTileChargeRunsOnce(t *testing.T) {
	for _, o := range []dispatch.Outcome{dispatch.Errored, dispatch.Reset} {
		h, cl := newFakeAdapters(t, readyEndpoint("s-1"), readyEndpoint("s-2")), &recordingClient{t: t}
		if _, err := h.core.Submit(Job{TimeLeft: 7500 * time.Millisecond, Slots: 1, TraceID: "a"}, cl); err != nil {
			t.Fatal(err)
		}
		h.run(10 * time.Millisecond)
		if len(h.attempts) != 1 {
			t.Fatalf("%d sends", len(h.attempts))
		}
		h.core.Result(Result{Attempt: h.attempts[0].ID, Outcome: o})
		h.run(50 * time.Millisecond)
		if len(h.attempts) != 1 || len(cl.answers) != 1 || cl.answers[0].End != Failed {
			t.Errorf("after %d: %d sends, answers %v", o, len(h.attempts), cl.answers)
		}
	}
}

// A box that has been told to drain, or is missing from a whole list, gets nothing new.
func TestListsReachTheModule(t *testing.T) {
	h := newFakeAdapters(t, readyEndpoint("s-1"), readyEndpoint("s-2"))
	if !h.core.Ready() || h.watches != 1 {
		t.Fatalf("ready %v, %d watches", h.core.Ready(), h.watches)
	}
	gone := readyEndpoint("s-1")
	gone.Status = "draining"
	h.core.UpdateEndpoints(EndpointList{Form: dispatch.ListDelta, Entries: []Endpoint{gone}})
	h.run(10 * time.Millisecond)
	for i := range 4 {
		if _, err := h.core.Submit(
			Job{TimeLeft: 7500 * time.Millisecond, Slots: 1, TraceID: string(rune('a' + i))},
			&recordingClient{t: t},
		); err != nil {
			t.Fatal(err)
		}
	}
	h.run(20 * time.Millisecond)
	if len(h.attempts) == 0 {
		t.Fatal("nothing was sent")
	}
	for _, a := range h.attempts {
		if a.Executor == ExecutorID("s-1") {
			t.Error("a draining box got a job")
		}
	}
	h.core.UpdateEndpoints(EndpointList{Form: dispatch.ListSnapshot, Entries: []Endpoint{gone}})
	h.run(10 * time.Millisecond)
	if h.endpointStatus["s-2"] != "gone" || h.core.Ready() {
		t.Errorf("a box that a whole list lacks is %q; ready %v", h.endpointStatus["s-2"], h.core.Ready())
	}
	h.core.UpdateEndpoints(EndpointList{Form: dispatch.ListFailed})
	h.run(3 * time.Second)
	if h.watches < 2 {
		t.Error("a failed watch was not begun anew")
	}
}

// A second job of an id that is open fails: callbacks name a job by its id alone.
func TestIDsAreNotShared(t *testing.T) {
	h, first, second := newFakeAdapters(t, readyEndpoint("s-1")), &recordingClient{t: t}, &recordingClient{t: t}
	for _, cl := range []*recordingClient{first, second} {
		if _, err := h.core.Submit(Job{TimeLeft: time.Second, Slots: 1, TraceID: "a"}, cl); err != nil {
			t.Fatal(err)
		}
	}
	h.run(10 * time.Millisecond)
	if len(second.answers) != 1 || second.answers[0].End != Failed || len(first.answers) != 0 || len(h.attempts) != 1 {
		t.Errorf("first %v, second %v, %d sends", first.answers, second.answers, len(h.attempts))
	}
}

// A full queue is answered, not blocked on and not dropped.
func TestFullQueue(t *testing.T) {
	small := lim
	small.Events = 2
	c, err := New(settings(), 1, EndpointList{}, Names{}, small, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err = c.Submit(Job{TraceID: "a"}, &recordingClient{t: t}); err != nil {
		t.Fatal(err)
	}
	if _, err = c.Submit(Job{TraceID: "b"}, &recordingClient{t: t}); !errors.Is(err, ErrQueueFull) || c.Open() != 1 {
		t.Errorf("%v, %d open", err, c.Open())
	}
}

// A list in discovery's form, cut or spoiled anywhere, gives a list or an error.
func TestParseListOnGarbage(t *testing.T) {
	good := `{"index":41,"snapshot":true,"endpoints":[{"name":"s-5be2a07c","address":"10.1.0.18:8443","zone":"a",` +
		`"type":"m2","group":3,"status":"ready","weight":1.0,"since_ms":0}]}`
	l, err := ParseEndpointList(gjson.Parse(good))
	if err != nil || l.Index != 41 || l.Form != dispatch.ListSnapshot || len(l.Entries) != 1 || l.Entries[0].Group != 3 {
		t.Fatalf("%+v %v", l, err)
	}
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(good)
		for range rapid.IntRange(1, 5).Draw(t, "hits") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		l, err := ParseEndpointList(gjson.ParseBytes(b[:rapid.IntRange(0, len(b)).Draw(t, "cut")]))
		for _, e := range l.Entries {
			if err == nil && e.Name == "" {
				t.Fatal("an entry without a name")
			}
		}
	})
}

// Values come in the settings' order, by the names of either page; without any there is no report.
func TestReport(t *testing.T) {
	n := Names{Fields: []string{"pending", "x0"}}
	for _, c := range []struct {
		in   map[string]float64
		want []float32
	}{
		{map[string]float64{"queue": 2, "x0": 3}, []float32{2, 3}},
		{map[string]float64{"x0": 3, "pending": 2}, []float32{2, 3}},
		{nil, nil},
	} {
		got := n.LoadReport(func(name string) (float64, bool) { v, ok := c.in[name]; return v, ok })
		if len(got) != len(c.want) || len(got) == 2 && (got[0] != c.want[0] || got[1] != c.want[1]) {
			t.Errorf("%v: %v", c.in, got)
		}
	}
}

// Two copies that are both served at the same moment give one answer: without the guard in Core.answer the client
// would get a second one, and the counts would be wrong.
func TestTwoCopiesOneAnswer(t *testing.T) {
	h, cl := newFakeAdapters(t, readyEndpoint("s-1"), readyEndpoint("s-2")), &recordingClient{t: t}
	id, err := h.core.Submit(Job{Class: 1, TimeLeft: 25 * time.Second, Slots: 1, TraceID: "a"}, cl)
	if err != nil {
		t.Fatal(err)
	}
	h.run(10 * time.Millisecond)
	other := ExecutorID("s-1")
	if h.attempts[0].Executor == other {
		other = ExecutorID("s-2")
	}
	h.core.execute(&dispatch.Action{Kind: dispatch.ActSend, Job: id, Executor: other}, h.now)
	if len(h.attempts) != 2 {
		t.Fatalf("%d sends", len(h.attempts))
	}
	for _, a := range h.attempts {
		h.core.Result(Result{Attempt: a.ID, Outcome: dispatch.Served, Body: []byte("tile")})
	}
	h.core.ClientGone(id) // and the client leaves as its answer is on the way
	h.run(50 * time.Millisecond)
	if n := h.core.counters.Counts; len(cl.answers) != 1 || n.Served != 1 || n.ClientsGone != 0 || h.core.Open() != 0 ||
		len(h.core.jobs.byID) != 0 {
		t.Errorf("answers %v, counts %+v, %d open", cl.answers, n, h.core.Open())
	}
}

// An attempt of which nothing is heard ends as timed out, is given up, and the job is failed while its client
// still waits; the module's own word comes before the core's last resort.
func TestTimeOut(t *testing.T) {
	h, cl := newFakeAdapters(t, readyEndpoint("s-1")), &recordingClient{t: t}
	if _, err := h.core.Submit(Job{TimeLeft: time.Second, Slots: 1, TraceID: "a"}, cl); err != nil {
		t.Fatal(err)
	}
	h.run(960 * time.Millisecond)
	if len(cl.answers) != 0 || len(h.attempts) != 1 {
		t.Fatalf("too early: %v, %d sends", cl.answers, len(h.attempts))
	}
	h.run(25 * time.Millisecond)
	if len(cl.answers) != 1 || cl.answers[0].End != Failed || !h.canceled[h.attempts[0].ID] {
		t.Errorf("15 ms before the client gives up: %v, given up %v", cl.answers, h.canceled)
	}
}

// A node that may be killed any moment answers what came after its signal: unanswered, that would count as lost.
// What nothing was sent of is refused, what came before may still be served, and nothing more is taken.
func TestLeave(t *testing.T) {
	h := newFakeAdapters(t, readyEndpoint("s-1"))
	submit := func(trace string) *recordingClient {
		cl := &recordingClient{t: t}
		if _, err := h.core.Submit(Job{TraceID: trace, TimeLeft: 7 * time.Second, Slots: 1}, cl); err != nil {
			t.Fatal(err)
		}
		h.run(20 * time.Millisecond)
		return cl
	}
	old := submit("old")
	told := h.now
	h.run(4 * time.Millisecond)
	sent, held := submit("sent"), (*recordingClient)(nil)
	for i := 0; held == nil; i++ {
		if i > 20 {
			t.Fatal("the module holds nothing: the test would show nothing")
		}
		if cl := submit(string(rune('a' + i))); cl.sent == 0 && len(cl.answers) == 0 {
			held = cl
		}
	}
	if old.sent != 1 || sent.sent != 1 {
		t.Fatalf("sent %d and %d, want one each: the test would show nothing", old.sent, sent.sent)
	}
	h.core.ShutDown(told)
	h.run(20 * time.Millisecond)
	late := submit("late")
	for what, cl := range map[string]*recordingClient{"held": held, "late": late} {
		if len(cl.answers) != 1 || cl.answers[0].End != Rejected || cl.answers[0].RetryAfter <= 0 || cl.sent != 0 {
			t.Errorf("%s: %+v, sent %d", what, cl.answers, cl.sent)
		}
	}
	if len(sent.answers) != 1 || sent.answers[0].End != Failed {
		t.Errorf("a job that may have run: %+v", sent.answers)
	}
	if len(old.answers) != 0 {
		t.Fatalf("a job from before: %+v", old.answers)
	}
	h.core.Result(Result{Attempt: h.attempts[0].ID, Outcome: dispatch.Served, Body: []byte("tile")})
	h.run(20 * time.Millisecond)
	if len(old.answers) != 1 || old.answers[0].End != Served {
		t.Errorf("a job from before that was served: %+v", old.answers)
	}
}

// Where the operators' file bounds the jobs that one customer may have open, one more is turned away at once, others
// are not, and an end makes room.
func TestCustomersShare(t *testing.T) {
	h := newFakeAdapters(t, readyEndpoint("s-1"))
	h.core.limits.Pace.MaxCustomerRequests = 2
	h.core.open.byTenant = make([]atomic.Int64, 2)
	submit := func(id string, tenant int) (uint32, error) {
		return h.core.Submit(
			Job{TraceID: id, Class: 1, Tenant: tenant, TimeLeft: 5 * time.Second, Slots: 1},
			&recordingClient{t: t},
		)
	}
	for i, id := range []string{"a", "b"} {
		if _, err := submit(id, 0); err != nil {
			t.Fatal(i, err)
		}
	}
	if _, err := submit(
		"c",
		0,
	); !errors.Is(err, ErrTenantLimit) || h.core.Open() != 2 ||
		h.core.SlowPeers().Count(slowpeer.ClientOverShare) != 1 {
		t.Errorf("%v, %d open", err, h.core.Open())
	}
	if _, err := submit("d", 1); err != nil {
		t.Errorf("another customer: %v", err)
	}
	h.run(6 * time.Second)
	if _, err := submit("e", 0); err != nil || h.core.Open() != 1 {
		t.Errorf("after their ends: %v, %d open", err, h.core.Open())
	}
}

// A node that starts while discovery is down is ready after a while, with no list or one that names nobody who takes
// work; once a list of this life has come, that says.
func TestReadyWithoutAList(t *testing.T) {
	drains := readyEndpoint("s-1")
	drains.Status = "draining"
	for _, known := range [][]Endpoint{nil, {drains}} {
		h := newFakeAdapters(t, known...)
		c := h.core
		c.handle(endpointUpdate{EndpointList{Form: dispatch.ListFailed}})
		h.now = c.clock.start.Add(c.limits.ReadyBy - 1)
		if c.Ready() {
			t.Error("ready before")
		}
		if h.now = h.now.Add(1); !c.Ready() {
			t.Error("not ready")
		}
		if c.handle(endpointUpdate{EndpointList{Form: dispatch.ListSnapshot}}); c.Ready() {
			t.Error("ready though the list names nobody")
		}
		if c.handle(endpointUpdate{EndpointList{Form: dispatch.ListSnapshot, Entries: []Endpoint{readyEndpoint("s-1")}}}); !c.Ready() {
			t.Error("not ready with a list")
		}
	}
}
