package play

import (
	"context"
	"strings"
	"testing"
	"time"

	"gatetack/internal/scale/faults"
)

// A short run with a store: arrays are submitted through the batch fronts of the members, settings change through the store at
// members and at a dispatcher that is not a member, and the leader is killed and restarted. Each task must end exactly once, and no
// at-most-once task may run twice.
func TestShortRunWithAStore(t *testing.T) {
	t.Parallel()
	d := small()
	d.Dispatchers, d.StoreMembers, d.BatchShare, d.Duration = 4, 3, 1, 9*time.Second
	r, err := Run(context.Background(), options(t, d, faults.Spec{Name: faults.Leader}, faults.Spec{Name: faults.Reconfigure, Value: 2}))
	if err != nil {
		t.Fatal(err)
	}
	if !r.RulesKept || r.Partial {
		t.Errorf("partial %v %s; %+v", r.Partial, r.PartialWhy, r.Verdict.Violations)
	}
	for _, j := range r.Jobs {
		if j.Served+j.Rejected+j.Failed != j.Tasks {
			t.Errorf("%s: %d tasks, but %d served, %d rejected, %d failed", j.Kind, j.Tasks, j.Served, j.Rejected, j.Failed)
		}
	}
	if c := r.Verdict.Counts; c.Served == 0 || c.Doubled+c.Lost != 0 {
		t.Errorf("%+v", c)
	}
	if notes := strings.Join(r.Notes, "; "); !strings.Contains(notes, "was killed") {
		t.Errorf("notes: %s", notes)
	}
	if r.Changes.Made != 4 || int(r.Changes.InForce.Count)+r.Changes.NotInForce != 4 || r.Changes.InForce.Count == 0 {
		t.Errorf("changes: %+v", r.Changes)
	}
	t.Logf("%+v\n%+v\n%v", r.Changes, r.Verdict.Counts, r.Notes)
}
