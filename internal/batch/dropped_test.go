package batch

import (
	"strings"
	"testing"
	"time"

	"gatetack/internal/node"
)

// withoutTenant are settings that no longer contain a tenant.
func withoutTenant(name string) *node.Rules {
	rules := *oldSettings()
	rules.Names.Tenants = append([]string{}, rules.Names.Tenants...)
	for i := range rules.Names.Tenants {
		if rules.Names.Tenants[i] == name {
			rules.Names.Tenants[i] = "another"
		}
	}
	return &rules
}

// Guards against accepted work that never ends: after a restart with settings that no longer have what a template names,
// waiting jobs and arrays were left out. They end as not run, with the reason, and a further restart changes no answer.
func TestJobWhoseTemplateIsNoLongerValidEndsUnsent(t *testing.T) {
	held := strings.Replace(validTemplate, "{", `{"submitAsHold":true,`, 1)
	for _, x := range []struct{ what, path, body, id, member string }{
		{"job", "/jobs", held, "jobId", ""},
		{"array", "/arrays", `{"jobTemplate":` + held + `,"endIndex":3}`, "jobArrayId", "-2"},
	} {
		t.Run(x.what, func(t *testing.T) {
			core := &changingCore{rules: oldSettings()}
			store := &memoryStore{values: map[string][]byte{}}
			f := newFront(core, store, time.Now())
			_, v, _ := call(f, "POST", x.path, x.body)
			id := v.Get(x.id).String()
			core.rules = withoutTenant("maavaade")
			before := ""
			for restart := range 2 {
				f = newFront(core, store, time.Now().Add(time.Duration(restart+1)*time.Second))
				stop := runFront(t, f)
				_, got, _ := call(f, "GET", "/jobs/"+id+x.member, "")
				if got.Get("jobState").String() != string(Failed) || got.Get("jobSubState").String() != subUnsent ||
					!strings.Contains(got.Get("annotation").String(), "accountingId") {
					t.Errorf("after restart %d: %s", restart+1, got.Raw)
				}
				if before != "" && got.Raw != before {
					t.Errorf("a further restart changes the answer from %s to %s", before, got.Raw)
				}
				before = got.Raw
				if _, array, _ := call(f, "GET", x.path+"/"+id, ""); x.member != "" && array.Get("failed").Int() != 3 {
					t.Errorf("the array has not ended: %s", array.Raw)
				}
				if rows, _ := store.Page(t.Context(), kindOpen, "", 10); len(rows) != 0 {
					t.Errorf("%d records are open", len(rows))
				}
				stop()
			}
		})
	}
}
