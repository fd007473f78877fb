package settings

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The tracker agrees with a simple model. For each process the latest report is used, in whatever order reports arrive,
// and the process is behind since the acceptance of the first version that is not active there.
func TestRolloutAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewRollout()
		latest := map[string]Report{}
		accepted := map[uint64]time.Duration{}
		now, version := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "accept") {
				version += rapid.Uint64Range(1, 3).Draw(t, "step")
				accepted[version] = now
				tracker.Accept(version, now)
				tracker.Accept(version, now+time.Second) // accepted twice
				continue
			}
			r := Report{
				Process:     fmt.Sprint("p", rapid.IntRange(0, 3).Draw(t, "process")),
				Incarnation: rapid.Int64Range(1, 3).Draw(t, "life"),
				Sequence: rapid.Uint64Range(
					1,
					9,
				).Draw(
					t,
					"number",
				),
				ActiveVersion: rapid.Uint64Range(0, version).Draw(t, "version"),
			}
			tracker.Observe(r, now)
			if old, ok := latest[r.Process]; !ok || r.Incarnation > old.Incarnation ||
				r.Incarnation == old.Incarnation && r.Sequence > old.Sequence {
				latest[r.Process] = r
			}
		}
		got := tracker.Progress(now)
		if len(got) != len(latest) {
			t.Fatalf("%d processes, expected %d", len(got), len(latest))
		}
		for i, p := range got {
			if i > 0 && got[i-1].Process >= p.Process {
				t.Fatalf("not sorted by name: %v", got)
			}
			behind := int64(0)
			for v, at := range accepted {
				if v > p.ActiveVersion {
					behind = max(behind, (now - at).Milliseconds(), 1)
				}
			}
			if p.Report != latest[p.Process] || p.BehindMs != behind {
				t.Fatalf("%+v, expected %+v, behind for %d ms", p, latest[p.Process], behind)
			}
		}
	})
}

func TestNewestReportWins(t *testing.T) {
	a := []Progress{
		{Report: Report{Process: "p", Incarnation: 1, Sequence: 9, ActiveVersion: 9}},
		{Report: Report{Process: "q", Incarnation: 1, Sequence: 2, ActiveVersion: 5}},
	}
	b := []Progress{
		{Report: Report{Process: "q", Incarnation: 1, Sequence: 3, ActiveVersion: 7}},
		{Report: Report{Process: "p", Incarnation: 2, Sequence: 1, ActiveVersion: 3}},
	}
	for _, got := range [][]Progress{Newest(a, b), Newest(b, a)} {
		if len(got) != 2 || got[0].ActiveVersion != 3 || got[1].ActiveVersion != 7 {
			t.Errorf("%+v", got)
		}
	}
}

// The process that reported least recently is dropped for a new one.
func TestRolloutIsBounded(t *testing.T) {
	tracker := NewRollout()
	for i := range maxProcesses + 1 {
		tracker.Observe(Report{Process: fmt.Sprint("p", i), Sequence: 1}, time.Duration(i))
		tracker.Accept(uint64(i+1), time.Duration(i))
	}
	if got := tracker.Progress(0); len(got) != maxProcesses || len(tracker.accepted) > maxAcceptances {
		t.Errorf("%d processes and %d versions are tracked", len(got), len(tracker.accepted))
	}
}

// A process that started after its clock was stepped back has a lower incarnation than its predecessor. Its reports are
// used once the predecessor has stopped reporting, and those of the predecessor until then.
func TestIncarnationAfterAStepBack(t *testing.T) {
	for _, step := range []time.Duration{time.Second, 30 * time.Second, time.Hour} {
		started := time.Now()
		before := Report{Process: "p", Incarnation: started.UnixMilli(), Sequence: 900, ActiveVersion: 9}
		after := Report{Process: "p", Incarnation: started.Add(-step).UnixMilli(), Sequence: 1, ActiveVersion: 3}
		tracker := NewRollout()
		tracker.Observe(before, 0)
		tracker.Observe(after, incarnationTimeout)
		if got := tracker.Progress(incarnationTimeout); got[0].Report != before {
			t.Errorf("step of %v: %+v while the predecessor may still be running", step, got)
		}
		tracker.Observe(after, incarnationTimeout+1)
		if got := tracker.Progress(incarnationTimeout + 1); len(got) != 1 || got[0].Report != after {
			t.Errorf("step of %v: %+v, want %+v", step, got, after)
		}
		silent, reporting := []Progress{{Report: before, ReportAgeMs: 10_001}},
			[]Progress{{Report: after, ReportAgeMs: 10_000}}
		for _, got := range [][]Progress{Newest(silent, reporting), Newest(reporting, silent)} {
			if len(got) != 1 || got[0].Report != after {
				t.Errorf("step of %v, of two members: %+v", step, got)
			}
		}
		silent[0].ReportAgeMs = 10_000
		for _, got := range [][]Progress{Newest(silent, reporting), Newest(reporting, silent)} {
			if len(got) != 1 || got[0].Report != before {
				t.Errorf("step of %v, both report: %+v", step, got)
			}
		}
	}
}

// An older report of the same incarnation is never used, however long ago the latest one was received.
func TestOlderReportOfOneIncarnationIsIgnored(t *testing.T) {
	tracker := NewRollout()
	latest := Report{Process: "p", Incarnation: 7, Sequence: 5}
	tracker.Observe(latest, 0)
	tracker.Observe(Report{Process: "p", Incarnation: 7, Sequence: 4}, time.Hour)
	if got := tracker.Progress(time.Hour); got[0].Report != latest {
		t.Errorf("%+v", got)
	}
}
