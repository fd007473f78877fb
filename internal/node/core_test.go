package node

import (
	"errors"
	"io"
	"log/slog"
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
		ReportFields:         []dispatch.ReportField{dispatch.FieldPending, dispatch.FieldFree},
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

// fakeAdapters drives a core without its goroutine, on a clock of its own, and implements all its adapters.
type fakeAdapters struct {
	core           *Core
	now            time.Time
	attempts       []Attempt
	canceled       map[uint64]bool
	sends          map[*Job][]uint32 // executors that each job was sent to
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

// startFakeAdapters returns adapters of a core that has not handled any event yet.
func startFakeAdapters(t fatal, rows ...Endpoint) *fakeAdapters {
	h := &fakeAdapters{canceled: map[uint64]bool{}, sends: map[*Job][]uint32{}, endpointStatus: map[string]string{}}
	c, err := New(settings(), 1, EndpointList{Entries: rows},
		Names{Zones: []string{"tallinn"}, Kinds: []string{"type-a"}}, lim, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	c.Connect(h, h, h)
	h.core, h.now = c, c.clock.start
	c.clock.now = func() time.Time { return h.now }
	return h
}

// run advances the time in small steps and handles queued events.
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
	return Endpoint{
		Name: name, Address: "127.0.0.1:1", Zone: "tallinn", Kind: "type-a", Group: 1, Status: "ready", Weight: 1}
}

// recordingClient records the notifications of a job's client.
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
		c.t.Fatal("the client got a second answer:", c.answers)
	}
}

// An at-most-once job that may have run is not sent again. It fails at once instead of keeping its client waiting.
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
			t.Errorf("outcome %d: %d sends, answers %v, want one send and a failure", o, len(h.attempts), cl.answers)
		}
	}
}

// An executor that is draining, or that a snapshot of the endpoint list does not contain, gets no new jobs.
func TestDrainingAndUnlistedExecutorsGetNoJobs(t *testing.T) {
	h := newFakeAdapters(t, readyEndpoint("s-1"), readyEndpoint("s-2"))
	if !h.core.Ready() || h.watches != 1 {
		t.Fatalf("ready %v, %d watches, want ready after one watch", h.core.Ready(), h.watches)
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
		t.Fatal("no job was sent")
	}
	for _, a := range h.attempts {
		if a.Executor == ExecutorID("s-1") {
			t.Error("a draining executor got a job")
		}
	}
	h.core.UpdateEndpoints(EndpointList{Form: dispatch.ListSnapshot, Entries: []Endpoint{gone}})
	h.run(10 * time.Millisecond)
	if h.endpointStatus["s-2"] != "gone" || h.core.Ready() {
		t.Errorf("status of an executor that the snapshot does not contain: %q, ready %v; want gone, not ready",
			h.endpointStatus["s-2"], h.core.Ready())
	}
	h.core.UpdateEndpoints(EndpointList{Form: dispatch.ListFailed})
	h.run(3 * time.Second)
	if h.watches < 2 {
		t.Error("a failed watch was not restarted")
	}
}

// A second job with the trace ID of an open job fails, since callbacks name a job by its trace ID alone.
func TestDuplicateTraceIDFails(t *testing.T) {
	h, first, second := newFakeAdapters(t, readyEndpoint("s-1")), &recordingClient{t: t}, &recordingClient{t: t}
	for _, cl := range []*recordingClient{first, second} {
		if _, err := h.core.Submit(Job{TimeLeft: time.Second, Slots: 1, TraceID: "a"}, cl); err != nil {
			t.Fatal(err)
		}
	}
	h.run(10 * time.Millisecond)
	if len(second.answers) != 1 || second.answers[0].End != Failed || len(first.answers) != 0 || len(h.attempts) != 1 {
		t.Errorf("first job: %v, second job: %v, %d sends; want only the second answered, as failed",
			first.answers, second.answers, len(h.attempts))
	}
}

// A job that finds the event queue full is answered with an error: Submit neither blocks nor drops it.
func TestSubmitWithFullQueue(t *testing.T) {
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
		t.Errorf("got %v with %d open jobs, want ErrQueueFull with 1", err, c.Open())
	}
}

// An endpoint list that is truncated or corrupted at any position parses to a list or returns an error.
func TestParseEndpointListOnCorruptInput(t *testing.T) {
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
				t.Fatal("an entry without a name was accepted")
			}
		}
	})
}

// The values of a load report are returned in the order of the settings, whichever of its two names a field has.
// Without any known field there is no report.
func TestLoadReport(t *testing.T) {
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
			t.Errorf("report of %v: got %v", c.in, got)
		}
	}
}

// Two hedged attempts that are both served at the same moment lead to one answer. Without the guard in Core.answer the
// client would get a second answer, and the counts would be wrong.
func TestHedgedAttemptsGiveOneAnswer(t *testing.T) {
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
	h.core.ClientGone(id) // the client leaves while its answer is on the way
	h.run(50 * time.Millisecond)
	if n := h.core.counters.Counts; len(cl.answers) != 1 || n.Served != 1 || n.ClientsGone != 0 || h.core.Open() != 0 ||
		len(h.core.jobs.byID) != 0 {
		t.Errorf("answers %v, counts %+v, %d open; want one answer and no open job", cl.answers, n, h.core.Open())
	}
}

// An attempt without any response times out and is canceled, and its job fails before its client's deadline. The
// module's decision comes before the core's own fallback.
func TestAttemptTimeout(t *testing.T) {
	h, cl := newFakeAdapters(t, readyEndpoint("s-1")), &recordingClient{t: t}
	if _, err := h.core.Submit(Job{TimeLeft: time.Second, Slots: 1, TraceID: "a"}, cl); err != nil {
		t.Fatal(err)
	}
	h.run(960 * time.Millisecond)
	if len(cl.answers) != 0 || len(h.attempts) != 1 {
		t.Fatalf("before the time-out: answers %v, %d sends, want no answer and one send", cl.answers, len(h.attempts))
	}
	h.run(25 * time.Millisecond)
	if len(cl.answers) != 1 || cl.answers[0].End != Failed || !h.canceled[h.attempts[0].ID] {
		t.Errorf("15 ms before the client's deadline: answers %v, canceled %v, want one failure and a cancel",
			cl.answers, h.canceled)
	}
}

// A process that may be killed at any moment answers the jobs that came after its signal, since a job without an
// answer counts as lost. Jobs that were never sent are rejected, jobs that were sent before the signal may still be
// served, and new jobs are rejected.
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
	signaledAt := h.now
	h.run(4 * time.Millisecond)
	sent, held := submit("sent"), (*recordingClient)(nil)
	for i := 0; held == nil; i++ {
		if i > 20 {
			t.Fatal("the module queued no job, so the test has no job that was never sent")
		}
		if cl := submit(string(rune('a' + i))); cl.sent == 0 && len(cl.answers) == 0 {
			held = cl
		}
	}
	if old.sent != 1 || sent.sent != 1 {
		t.Fatalf("the jobs had %d and %d sends, want one each", old.sent, sent.sent)
	}
	h.core.ShutDown(signaledAt)
	h.run(20 * time.Millisecond)
	late := submit("late")
	for name, cl := range map[string]*recordingClient{"held": held, "late": late} {
		if len(cl.answers) != 1 || cl.answers[0].End != Rejected || cl.answers[0].RetryAfter <= 0 || cl.sent != 0 {
			t.Errorf("%s: answers %+v after %d sends, want one rejection with a retry-after", name, cl.answers, cl.sent)
		}
	}
	if len(sent.answers) != 1 || sent.answers[0].End != Failed {
		t.Errorf("a job that may have run: answers %+v, want a failure", sent.answers)
	}
	if len(old.answers) != 0 {
		t.Fatalf("a job that was sent before the signal: answers %+v, want none yet", old.answers)
	}
	h.core.Result(Result{Attempt: h.attempts[0].ID, Outcome: dispatch.Served, Body: []byte("tile")})
	h.run(20 * time.Millisecond)
	if len(old.answers) != 1 || old.answers[0].End != Served {
		t.Errorf("a job that was sent before the signal and served: answers %+v", old.answers)
	}
}

// With a limit on the open jobs of a tenant, one job beyond it is rejected at once, other tenants' jobs are accepted,
// and an answered job frees its place.
func TestTenantLimit(t *testing.T) {
	h := newFakeAdapters(t, readyEndpoint("s-1"))
	h.core.limits.SlowPeers.MaxCustomerRequests = 2
	h.core.open.addTenants(2)
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
		t.Errorf("got %v with %d open jobs, want ErrTenantLimit with 2", err, h.core.Open())
	}
	if _, err := submit("d", 1); err != nil {
		t.Errorf("another tenant's job: %v", err)
	}
	h.run(6 * time.Second)
	if _, err := submit("e", 0); err != nil || h.core.Open() != 1 {
		t.Errorf("after the end of the first jobs: %v, %d open", err, h.core.Open())
	}
}

// A node that starts while discovery is down becomes ready after ReadyBy, with no cached list or with one that
// contains no ready executor. Once discovery has sent a list to this process, that list determines whether the node is
// ready.
func TestReadyWithoutEndpointList(t *testing.T) {
	draining := readyEndpoint("s-1")
	draining.Status = "draining"
	for _, known := range [][]Endpoint{nil, {draining}} {
		h := newFakeAdapters(t, known...)
		c := h.core
		c.handle(endpointUpdate{EndpointList{Form: dispatch.ListFailed}})
		h.now = c.clock.start.Add(c.limits.ReadyTimeout - 1)
		if c.Ready() {
			t.Error("ready before ReadyBy")
		}
		if h.now = h.now.Add(1); !c.Ready() {
			t.Error("not ready after ReadyBy")
		}
		if c.handle(endpointUpdate{EndpointList{Form: dispatch.ListSnapshot}}); c.Ready() {
			t.Error("ready though the list is empty")
		}
		if c.handle(endpointUpdate{
			EndpointList{Form: dispatch.ListSnapshot, Entries: []Endpoint{readyEndpoint("s-1")}}}); !c.Ready() {
			t.Error("not ready though the list contains a ready executor")
		}
	}
}
