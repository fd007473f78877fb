package batch

import (
	"strings"
	"testing"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/node"
)

// changingCore is a core whose settings a test replaces.
type changingCore struct {
	manualCore
	rules *node.Rules
}

func (c *changingCore) Rules() *node.Rules { return c.rules }

// oldSettings are the settings under which jobs are submitted.
func oldSettings() *node.Rules {
	rules := *(&fakeCore{}).Rules()
	for i := range rules.Settings.Classes {
		rules.Settings.Classes[i].Kind = -1
	}
	return &rules
}

// newSettings are settings in which another class has taken the index of tile-charge, which may be repeated by now.
func newSettings() *node.Rules {
	rules := *(&fakeCore{}).Rules()
	rules.Names.Classes = []string{"map-preview", "area-render", "tile-charge"}
	rules.Settings.Classes = []dispatch.Class{{Deadline: 100}, rules.Settings.Classes[1], {Deadline: 200}}
	return &rules
}

// withoutTileCharge are settings that no longer contain the class tile-charge.
func withoutTileCharge() *node.Rules {
	rules := newSettings()
	rules.Names.Classes[2] = "draft"
	return rules
}

// awaitJob returns the next job that is handed to the core.
func (c *changingCore) awaitJob(t *testing.T) node.Job {
	t.Helper()
	var jobs []node.Job
	eventually(t, "a job is handed to the core", func() bool {
		_, jobs = c.take()
		return len(jobs) > 0
	})
	return jobs[0]
}

// A job that waits and a member of an array run under the rules under which they were accepted, not under those of the
// class that has taken the index of theirs, nor under new rules of their own class. The same holds after a restart.
func TestWaitingJobsKeepTheirClassOverNewSettings(t *testing.T) {
	held := strings.Replace(validTemplate, "{", `{"submitAsHold":true,`, 1)
	for _, x := range []struct{ what, path, body, id string }{
		{"a job on hold", "/jobs", held, "jobId"},
		{"an array on hold", "/arrays", `{"jobTemplate":` + held + `,"endIndex":1}`, "jobArrayId"},
	} {
		for _, restart := range []bool{false, true} {
			for what, rules := range map[string]*node.Rules{"new rules": newSettings(), "class dropped": withoutTileCharge()} {
				core := &changingCore{rules: oldSettings()}
				store := &memoryStore{values: map[string][]byte{}}
				f := newFront(core, store, time.Now())
				_, v, _ := call(f, "POST", x.path, x.body)
				core.rules = rules
				if restart {
					f = newFront(core, store, time.Now().Add(time.Second))
				}
				runFront(t, f)
				id := v.Get(x.id).String()
				if status, v, _ := call(f, "POST", x.path+"/"+id+"/release", ""); status != 200 {
					t.Fatalf("%s, %s, restart %v: release: %d %s", x.what, what, restart, status, v.Raw)
				}
				class := core.awaitJob(t).AcceptedClass
				if class == nil || class.Name != "tile-charge" || class.Rules != oldSettings().Settings.Classes[0] {
					t.Errorf("%s, %s, restart %v: handed over as %+v, want the class and rules of its submission",
						x.what, what, restart, class)
				}
			}
		}
	}
}

// Records of version 0.3.0 have no rules: after a restart such a job runs under those of its class by then.
func TestRecordWithoutRulesFollowsTheSettings(t *testing.T) {
	core := &changingCore{rules: oldSettings()}
	store := &memoryStore{values: map[string][]byte{}}
	f := newFront(core, store, time.Now())
	_, v, _ := call(f, "POST", "/jobs", strings.Replace(validTemplate, "{", `{"submitAsHold":true,`, 1))
	id := v.Get("jobId").String()
	rules := kindClassRules + " " + recordKey(id)
	if store.values[rules] == nil {
		t.Fatal("there are no rules on record, so that nothing is tested")
	}
	delete(store.values, rules)
	core.rules = newSettings()
	f = newFront(core, store, time.Now().Add(time.Second))
	runFront(t, f)
	if status, v, _ := call(f, "POST", "/jobs/"+id+"/release", ""); status != 200 {
		t.Fatalf("release: %d %s", status, v.Raw)
	}
	if class := core.awaitJob(t).AcceptedClass; class == nil || class.Rules.Deadline != 200 {
		t.Errorf("handed over as %+v, want the rules in force", class)
	}
}

// A class that was removed a moment ago is still accepted, with its name, and its jobs have their path.
func TestJobOfARetiredClassKeepsItsName(t *testing.T) {
	rules := *(&fakeCore{}).Rules()
	rules.Names.Classes = []string{"", "area-render"}
	rules.Names.Retired = []node.RetiredClass{{Name: "tile-charge", Class: 0, AcceptedUntil: time.Now().Add(time.Minute)}}
	core := &changingCore{rules: &rules}
	f := newFront(core, nil, time.Now())
	status, v, _ := call(f, "POST", "/jobs", validTemplate)
	if status != 201 || v.Get("jobCategory").String() != "tile-charge" {
		t.Errorf("status %d, %s; want 201 with the category", status, v.Raw)
	}
	if got := core.awaitJob(t).Target; got != "/tile-charge" {
		t.Errorf("path %q, want /tile-charge", got)
	}
}

// Stored rules are read as they were written. Rules that name an unknown kind of executor, or an unknown effect, are an
// error: the job must not run under others.
func TestStoredClassRoundTrip(t *testing.T) {
	rules := &node.Rules{Names: node.Names{Kinds: []string{"type-a", "type-b"}}}
	class := &node.ClassRules{Name: "c", MaxAttempts: 4, Rules: dispatch.Class{Objective: 1, ObjectivePerWork: 2, Deadline: 3,
		PriorityWeight: 4, RetrySafety: dispatch.Keyed, DedupScope: dispatch.ScopeCell, DedupWindow: 5, Kind: 1}}
	stored := storeClass(rules, class)
	got, err := stored.rules("c", &node.Rules{Names: node.Names{Kinds: []string{"type-b"}}})
	want := *class
	want.Rules.Kind = 0 // of the same name
	if err != nil || *got != want {
		t.Errorf("read %+v, %v, want %+v", got, err, want)
	}
	if _, err := stored.rules("c", &node.Rules{}); err == nil {
		t.Error("an unknown kind was accepted")
	}
	stored.RetrySafety = "other"
	if _, err := stored.rules("c", rules); err == nil {
		t.Error("an unknown effect was accepted")
	}
}

// The stored rules of a job and of an array are deleted with their end. Those that version 0.3.0 left over are deleted when
// the partition is adopted, and those of what still waits stay.
func TestStoredRulesEndWithTheirJob(t *testing.T) {
	core := &changingCore{rules: oldSettings()}
	store := &memoryStore{values: map[string][]byte{}}
	f := newFront(core, store, time.Now())
	stop := runFront(t, f)
	held := strings.Replace(validTemplate, "{", `{"submitAsHold":true,`, 1)
	_, v, _ := call(f, "POST", "/jobs", held)
	if status, _, _ := call(f, "DELETE", "/jobs/"+v.Get("jobId").String(), ""); status != 200 {
		t.Errorf("terminate a job: %d", status)
	}
	_, v, _ = call(f, "POST", "/arrays", `{"jobTemplate":`+held+`,"endIndex":2}`)
	if status, _, _ := call(f, "DELETE", "/arrays/"+v.Get("jobArrayId").String(), ""); status != 200 {
		t.Errorf("terminate an array: %d", status)
	}
	count := func() int {
		rows, _ := store.Page(t.Context(), kindClassRules, "", 100)
		return len(rows)
	}
	eventually(t, "no rules are left", func() bool { return count() == 0 })
	_, v, _ = call(f, "POST", "/jobs", held)
	waiting := v.Get("jobId").String()
	_, v, _ = call(f, "POST", "/jobs", held)
	stop()
	key := recordKey(v.Get("jobId").String())
	delete(store.values, kindOpen+" "+key) // as version 0.3.0 ends it
	newFront(core, store, time.Now().Add(time.Second))
	if rows, _ := store.Page(t.Context(), kindClassRules, "", 100); len(rows) != 1 || rows[0].Key != recordKey(waiting) {
		t.Errorf("rules of %v on record, want those of the job that waits", rows)
	}
}
