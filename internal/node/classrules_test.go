package node

import (
	"errors"
	"math"
	"testing"
	"time"

	"gatetack/internal/dispatch"
)

// classAdapters returns adapters of a core whose classes have names, and its classes by name.
func classAdapters(t *testing.T) (*fakeAdapters, map[string]dispatch.Class) {
	t.Helper()
	h := newFakeAdapters(t, readyEndpoint("s-1"), readyEndpoint("s-2"))
	rules := *h.core.Rules()
	rules.Names.Classes = []string{"tile-charge", "area-render"}
	h.core.rules.Store(&rules)
	return h, map[string]dispatch.Class{
		"tile-charge": rules.Settings.Classes[0], "area-render": rules.Settings.Classes[1],
		"map-preview": {Objective: 400, Deadline: 7500, PriorityWeight: 1, RetrySafety: dispatch.Idempotent, Kind: -1},
	}
}

// change puts settings with the given classes in force.
func (h *fakeAdapters) change(t *testing.T, classes map[string]dispatch.Class, order ...string) {
	t.Helper()
	s, names := settings(), Names{Zones: h.core.names.Zones, Kinds: h.core.names.Kinds}
	s.Classes = nil
	for _, name := range order {
		s.Classes, names.Classes = append(s.Classes, classes[name]), append(names.Classes, name)
	}
	done := make(chan error, 1)
	h.core.handle(configChange{s, names, 3 * time.Second, done})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// A job that waited outside the core over two changes of the settings keeps its rules, after another class has taken
// the index that its class had: an at-most-once job that may have run is not sent again.
func TestWaitingJobKeepsItsRulesOverNewSettings(t *testing.T) {
	h, classes := classAdapters(t)
	accepted := h.core.Rules().ClassRules("tile-charge", 0)
	changed := classes["tile-charge"]
	changed.PriorityWeight = 9
	classes["tile-charge"] = changed
	h.change(t, classes, "tile-charge", "area-render")
	h.run(15 * time.Second)
	h.change(t, classes, "tile-charge", "area-render", "map-preview")
	if h.core.Rules().Settings.Classes[0].RetrySafety != dispatch.Idempotent {
		t.Fatal("no other class has taken the index, so that nothing is tested")
	}
	client := &recordingClient{t: t}
	job := Job{TraceID: "a", AcceptedClass: accepted, TimeLeft: 7500 * time.Millisecond, Slots: 1}
	if _, err := h.core.Submit(job, client); err != nil {
		t.Fatal(err)
	}
	h.run(100 * time.Millisecond)
	if len(h.attempts) != 1 || h.attempts[0].Rules.RetrySafety != dispatch.AtMostOnce {
		t.Fatalf("attempts %+v, want one under the rules of tile-charge", h.attempts)
	}
	h.core.Result(Result{Attempt: h.attempts[0].ID, Outcome: dispatch.Reset})
	h.run(time.Second)
	if len(h.attempts) != 1 || len(client.answers) != 1 || client.answers[0].End != Failed {
		t.Errorf("%d attempts, answers %+v; want one attempt and a failure", len(h.attempts), client.answers)
	}
}

// A job keeps its maximum number of attempts over a change of the settings while it waits.
func TestWaitingJobKeepsItsAttemptsOverNewSettings(t *testing.T) {
	h, _ := classAdapters(t)
	accepted := h.core.Rules().ClassRules("area-render", 1)
	accepted.MaxAttempts = 1
	client := &recordingClient{t: t}
	job := Job{TraceID: "a", AcceptedClass: accepted, TimeLeft: 25 * time.Second, Slots: 1}
	if _, err := h.core.Submit(job, client); err != nil {
		t.Fatal(err)
	}
	h.run(100 * time.Millisecond)
	if len(h.attempts) != 1 || h.attempts[0].Rules.MaxAttempts != 1 {
		t.Fatalf("attempts %+v, want one of one", h.attempts)
	}
	h.core.Result(Result{Attempt: h.attempts[0].ID, Outcome: dispatch.Full})
	h.run(time.Second)
	if len(h.attempts) != 1 || len(client.answers) != 1 || client.answers[0].End != Rejected {
		t.Errorf("%d attempts, answers %+v; want one attempt and a rejection", len(h.attempts), client.answers)
	}
}

// An index is not reused while a job of it is open, however long the deadline is that its client has set. New settings
// are still accepted.
func TestIndexOfAnOpenJobIsNotReused(t *testing.T) {
	h, classes := classAdapters(t)
	client := &recordingClient{t: t}
	if _, err := h.core.Submit(Job{TraceID: "a", TimeLeft: time.Minute, Slots: 1}, client); err != nil {
		t.Fatal(err)
	}
	h.run(100 * time.Millisecond)
	h.change(t, classes, "area-render")
	h.run(20 * time.Second)
	h.change(t, classes, "area-render", "map-preview")
	if got := h.core.Rules().Settings.Classes[0]; got != classes["tile-charge"] {
		t.Errorf("rules %+v stand at the index of the open job, want those of tile-charge", got)
	}
	h.core.Result(Result{Attempt: h.attempts[0].ID, Outcome: dispatch.Served})
	h.run(100 * time.Millisecond)
	delete(classes, "map-preview")
	h.change(t, classes, "area-render")
	h.run(20 * time.Second)
	classes["draft"] = dispatch.Class{Deadline: 70, Kind: -1}
	h.change(t, classes, "area-render", "draft")
	if got := len(h.core.Rules().Settings.Classes); got != 3 {
		t.Errorf("%d indexes, want the three of before: the one of the ended job is free", got)
	}
}

// A job whose rules find no index is rejected, and runs once there is one.
func TestWaitingJobWithoutAnIndexIsRejected(t *testing.T) {
	h, _ := classAdapters(t)
	rules := h.core.Rules().clone()
	for len(rules.Settings.Classes) < math.MaxUint8 {
		rules.Names.Classes = append(rules.Names.Classes, "other")
		rules.Settings.Classes = append(rules.Settings.Classes, dispatch.Class{Deadline: 1})
	}
	class := rules.ClassRules("tile-charge", 0)
	class.Rules.PriorityWeight = 9
	_, _, _, err := rules.withRetired(class, h.now, NoneInUse)
	if full, ok := errors.AsType[*RulesError](err); !ok || full.Count != math.MaxUint8+1 {
		t.Errorf("error %v, want a RulesError", err)
	}
	rules.Names.Retired = []RetiredClass{{Name: "other", Class: 7, ReusableAt: h.now}}
	inUse := func(int) bool { return true }
	if _, _, _, err := rules.withRetired(class, h.now, inUse); err == nil {
		t.Error("the index of an open job was reused")
	}
	next, origins, index, err := rules.withRetired(class, h.now, NoneInUse)
	if err != nil || index != 7 || next.Settings.Classes[7] != class.Rules || origins[7] != 0 {
		t.Errorf("index %d, origins %v, error %v; want 7, which inherits from 0", index, origins, err)
	}
	if rules.Settings.Classes[7] == class.Rules {
		t.Error("the rules in force were changed")
	}
}

// The open jobs of a tenant are bounded also if a change of the settings has added the tenant.
func TestTenantLimitOfAnAddedTenant(t *testing.T) {
	h, _ := classAdapters(t)
	h.core.limits.SlowPeers.MaxCustomerRequests = 1
	added := h.core.Rules().clone()
	added.Names.Tenants = []string{"pohjakaart", "maavaade"}
	added.Settings.Tenants = []dispatch.Tenant{{ReservedShare: 1, Quota: 20}, {ReservedShare: 1, Quota: 20}}
	if err := h.core.replaceRules(added, nil, h.now); err != nil {
		t.Fatal(err)
	}
	for i, want := range []error{nil, ErrTenantLimit} {
		job := Job{TraceID: string(rune('a' + i)), Tenant: 1, TimeLeft: time.Second, Slots: 1}
		if _, err := h.core.Submit(job, &recordingClient{t: t}); !errors.Is(err, want) {
			t.Errorf("job %d of the added tenant: %v, want %v", i, err, want)
		}
	}
}

// A keyed job that is rejected after an attempt may have run says which one, and a later hand-over of the job is sent
// within the window of that attempt alone, and not to its executor.
func TestHandOverCarriesTheEarliestAttempt(t *testing.T) {
	h, classes := classAdapters(t)
	keyed := classes["area-render"]
	keyed.DedupScope, keyed.Deadline, keyed.DedupWindow = dispatch.ScopeAll, 2000, 3000
	class := &ClassRules{Name: "area-render", Rules: keyed, MaxAttempts: 1}
	submit := func(id string, earlier *EarlierAttempt) *recordingClient {
		client := &recordingClient{t: t}
		job := Job{TraceID: id, AcceptedClass: class, TimeLeft: 2 * time.Second, Slots: 1, Earlier: earlier}
		if _, err := h.core.Submit(job, client); err != nil {
			t.Fatal(err)
		}
		h.run(2 * time.Second)
		return client
	}
	begin := h.now
	first := submit("a", nil)
	if len(h.attempts) != 1 || len(first.answers) != 1 || first.answers[0].End != Rejected ||
		first.answers[0].MayHaveRun == nil {
		t.Fatalf("%d attempts, answers %+v; want one attempt and a rejection that names it", len(h.attempts), first.answers)
	}
	earlier := first.answers[0].MayHaveRun
	if since := earlier.SentAt.Sub(begin); since < 0 || since > 100*time.Millisecond {
		t.Errorf("the attempt was sent after %v, want at once", since)
	}
	second := submit("b", earlier)
	if len(h.attempts) != 2 || h.attempts[1].Executor == h.attempts[0].Executor {
		t.Fatalf("attempts %+v, want a second one at the other executor", h.attempts)
	}
	if rules := h.attempts[1].Rules; !rules.MayHaveRun || !rules.WindowEnd.Equal(earlier.SentAt.Add(3*time.Second)) {
		t.Errorf("rules %+v, want the window of the first attempt", rules)
	}
	if len(second.answers) != 1 || second.answers[0].MayHaveRun != earlier {
		t.Fatalf("answers %+v, want a rejection with the first attempt", second.answers)
	}
	if third := submit("c", earlier); len(h.attempts) != 2 || len(third.answers) != 1 {
		t.Errorf("%d attempts after the window, answers %+v; want none", len(h.attempts)-2, third.answers)
	}
}
