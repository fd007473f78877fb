package node

import (
	"context"
	"log/slog"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gatetack/internal/dispatch"
	_ "gatetack/internal/testrand"
)

func rulesOf(classes map[string]dispatch.Class, order ...string) (dispatch.Settings, Names) {
	s := dispatch.Settings{Nodes: 1, MaxAttempts: 3, OverloadMultiple: 2}
	var n Names
	for _, name := range order {
		s.Classes, n.Classes = append(s.Classes, classes[name]), append(n.Classes, name)
	}
	return s, n
}

// A class keeps its index while its rules are unchanged. A new class, or one with new rules, gets an index of its own,
// and the old one is still accepted for a while. An index is reused only once no job of it can be open.
func TestUpdateKeepsClassIndexes(t *testing.T) {
	classes := map[string]dispatch.Class{
		"a": {Deadline: 1000, RetrySafety: dispatch.AtMostOnce},
		"b": {Deadline: 2000},
		"c": {Deadline: 500},
	}
	s, n := rulesOf(classes, "a", "b")
	now := time.Now()
	r := &Rules{s, n}
	s, n = rulesOf(classes, "c", "b")
	r, from, err := r.Update(s, n, now, time.Minute, NoneInUse)
	if err != nil || !reflect.DeepEqual(r.Names.Classes, []string{"", "b", "c"}) || len(from) != 0 {
		t.Fatalf("%v %v %+v", err, from, r)
	}
	if i, ok := r.Names.Class("a"); !ok || i != 0 {
		t.Errorf("class a, retired just now: index %v, found %v, want 0, true", i, ok)
	}
	if _, ok := r.Names.Class(""); ok {
		t.Error("the empty name finds a retired class")
	}
	classes["b"] = dispatch.Class{Deadline: 2000, RetrySafety: dispatch.AtMostOnce}
	s, n = rulesOf(classes, "c", "b")
	if r, from, err = r.Update(
		s,
		n,
		now.Add(time.Second),
		time.Minute,
		NoneInUse,
	); err != nil ||
		!reflect.DeepEqual(from, map[int]int{3: 1}) {
		t.Fatalf("%v %v %+v", err, from, r)
	}
	if i, _ := r.Names.Class(
		"b",
	); i != 3 || r.Settings.Classes[1].RetrySafety != dispatch.Idempotent ||
		r.Settings.Classes[3].RetrySafety != dispatch.AtMostOnce {
		t.Errorf("class b has index %d of %+v, want 3 with its new rules", i, r.Settings.Classes)
	}
	// The index of a is free once a minute and a's deadline have passed since it was retired; the old index of b is
	// not for one more second.
	classes["d"] = dispatch.Class{Deadline: 70}
	s, n = rulesOf(classes, "c", "b", "d")
	if r, _, err = r.Update(
		s,
		n,
		now.Add(62*time.Second+time.Millisecond),
		time.Minute,
		NoneInUse,
	); err != nil || r.Names.Classes[0] != "d" ||
		len(r.Names.Classes) != 4 {
		t.Errorf("%v %+v", err, r)
	}
	n.Classes[1] = "c"
	if _, _, err = r.Update(s, n, now, 0, NoneInUse); err == nil {
		t.Error("a duplicate class name was accepted")
	}
}

// drawRules draws settings with one to four classes.
func drawRules(t *rapid.T) (dispatch.Settings, Names) {
	classes, order := map[string]dispatch.Class{}, []string{}
	for _, name := range []string{"a", "b", "c", "d"} {
		if len(order) == 0 || rapid.Bool().Draw(t, "has "+name) {
			order = append(order, name)
			classes[name] = dispatch.Class{Deadline: float64(rapid.IntRange(1, 3).Draw(t, "deadline")) * 1000,
				RetrySafety: dispatch.RetrySafety(rapid.IntRange(0, 2).Draw(t, "effect"))}
		}
	}
	return rulesOf(classes, order...)
}

// openClassJob is a job of a class, with the rules under which it was accepted.
type openClassJob struct {
	class int
	rules dispatch.Class
	until time.Time
}

// openClassJobs returns a job for each class index that a client can reach between two times, accepted at the last
// possible moment.
func openClassJobs(r *Rules, now, next time.Time) (jobs []openClassJob) {
	for i, name := range r.Names.Classes {
		if c := r.Settings.Classes[i]; name != "" {
			jobs = append(jobs, openClassJob{i, c, next.Add(FromMs(c.Deadline))})
		}
	}
	for _, x := range r.Names.Retired {
		if c := r.Settings.Classes[x.Class]; x.Name != "" && now.Before(x.AcceptedUntil) {
			jobs = append(jobs, openClassJob{x.Class, c, x.AcceptedUntil.Add(FromMs(c.Deadline))})
		}
	}
	return jobs
}

// For any sequence of settings, the rules at an index never change while a job that was accepted under them can be
// open, and each class of the current settings is found with its rules.
func TestUpdateNeverChangesRulesOfOpenJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, n := drawRules(t)
		r, now := &Rules{s, n}, time.Now()
		var jobs []openClassJob
		for range rapid.IntRange(1, 12).Draw(t, "files") {
			next := now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			jobs = append(jobs, openClassJobs(r, now, next)...)
			now = next
			s, n = drawRules(t)
			then, _, err := r.Update(s, n, now, 500*time.Millisecond, NoneInUse)
			if err != nil {
				t.Fatal(err)
			}
			for i, name := range n.Classes {
				if at, ok := then.Names.Class(name); !ok || then.Settings.Classes[at] != s.Classes[i] {
					t.Fatalf("class %s: index %d, found %v, classes %+v, want the rules %+v",
						name, at, ok, then.Settings.Classes, s.Classes[i])
				}
			}
			for _, j := range jobs {
				if now.Before(j.until) && then.Settings.Classes[j.class] != j.rules {
					t.Fatalf("the rules at index %d changed while a job of it was open", j.class)
				}
			}
			r = then
		}
	})
}

// A retune reaches the module, in which open jobs keep their rules. A retune that the module rejects changes nothing.
func TestUpdateSettings(t *testing.T) {
	s, n := rulesOf(map[string]dispatch.Class{"a": {Deadline: 1000}}, "a")
	c, err := New(s, 1, EndpointList{}, n, lim, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	h := &fakeAdapters{endpointStatus: map[string]string{}}
	c.Connect(h, h, h)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	next, names := rulesOf(map[string]dispatch.Class{"a": {Deadline: 1000}, "b": {Deadline: 10}}, "b", "a")
	next.MaxAttempts = 1
	if err := c.UpdateSettings(ctx, next, names, time.Second); err != nil || c.Rules().Settings.MaxAttempts != 1 {
		t.Errorf("%v %+v", err, c.Rules())
	}
	if i, ok := c.Rules().Names.Class("b"); !ok || i != 1 {
		t.Errorf("class b has index %d, want 1", i)
	}
	was := c.Rules()
	next.MaxAttempts = 0
	if err := c.UpdateSettings(ctx, next, names, time.Second); err == nil || c.Rules() != was {
		t.Errorf("%v %+v", err, c.Rules())
	}
	stop()
	if err := <-done; err != nil {
		t.Error("Run returned", err)
	}
}

// Guards against nodes that name different classes to one another after different configurations: the position of a
// class is that of the configuration, whatever its index, and a class that it does not contain has none.
func TestPositionsOfClassesFollowTheConfiguration(t *testing.T) {
	classes := map[string]dispatch.Class{"a": {Deadline: 1000}, "b": {Deadline: 2000}, "c": {Deadline: 500}}
	s, n := rulesOf(classes, "a", "b")
	r := &Rules{s, n}
	s, n = rulesOf(classes, "c", "b")
	r, _, err := r.Update(s, n, time.Now(), time.Minute, NoneInUse)
	if err != nil || !reflect.DeepEqual(r.Settings.ClassPositions, []int{-1, 1, 0}) {
		t.Fatalf("%v %v, want no class a, b at position 1, c at 0", err, r.Settings.ClassPositions)
	}
	old := &ClassRules{Name: "b", Rules: dispatch.Class{Deadline: 9000}}
	r, _, index, err := r.withRetired(old, time.Now(), NoneInUse)
	if err != nil || index != 3 || !reflect.DeepEqual(r.Settings.ClassPositions, []int{-1, 1, 0, -1}) {
		t.Errorf("%v %v, want none for the former rules of b, at index %d", err, r.Settings.ClassPositions, index)
	}
	first := &Rules{Settings: dispatch.Settings{Classes: make([]dispatch.Class, 3)}}
	if got := first.positionsWithout(2); !reflect.DeepEqual(got, []int{0, 1, -1}) {
		t.Errorf("before any new configuration: %v", got)
	}
}
