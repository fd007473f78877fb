package settings

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The tracker against a plain model: of each process the latest report counts, whatever the order in which reports come, and it is
// behind since the first version was accepted that it has not in force.
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
				tracker.Accept(version, now+time.Second) // told twice
				continue
			}
			r := Report{Process: fmt.Sprint("p", rapid.IntRange(0, 3).Draw(t, "process")), Life: rapid.Int64Range(1, 3).Draw(t, "life"),
				Number: rapid.Uint64Range(1, 9).Draw(t, "number"), InForce: rapid.Uint64Range(0, version).Draw(t, "version")}
			tracker.Hear(r, now)
			if old, ok := latest[r.Process]; !ok || r.Life > old.Life || r.Life == old.Life && r.Number > old.Number {
				latest[r.Process] = r
			}
		}
		got := tracker.Progress(now)
		if len(got) != len(latest) {
			t.Fatalf("%d processes, expected %d", len(got), len(latest))
		}
		for i, p := range got {
			if i > 0 && got[i-1].Process >= p.Process {
				t.Fatalf("not in the order of names: %v", got)
			}
			behind := int64(0)
			for v, at := range accepted {
				if v > p.InForce {
					behind = max(behind, (now - at).Milliseconds(), 1)
				}
			}
			if p.Report != latest[p.Process] || p.BehindMs != behind {
				t.Fatalf("%+v, expected %+v behind for %d ms", p, latest[p.Process], behind)
			}
		}
	})
}

func TestNewestReportWins(t *testing.T) {
	a := []Progress{{Report: Report{Process: "p", Life: 1, Number: 9, InForce: 9}}, {Report: Report{Process: "q", Life: 1, Number: 2, InForce: 5}}}
	b := []Progress{{Report: Report{Process: "q", Life: 1, Number: 3, InForce: 7}}, {Report: Report{Process: "p", Life: 2, Number: 1, InForce: 3}}}
	for _, got := range [][]Progress{Newest(a, b), Newest(b, a)} {
		if len(got) != 2 || got[0].InForce != 3 || got[1].InForce != 7 {
			t.Errorf("%+v", got)
		}
	}
}

// A process that is not heard for longest makes place for a new one.
func TestRolloutIsBounded(t *testing.T) {
	tracker := NewRollout()
	for i := range maxProcesses + 1 {
		tracker.Hear(Report{Process: fmt.Sprint("p", i), Number: 1}, time.Duration(i))
		tracker.Accept(uint64(i+1), time.Duration(i))
	}
	if got := tracker.Progress(0); len(got) != maxProcesses || len(tracker.accepted) > maxAcceptances {
		t.Errorf("%d processes and %d versions are kept", len(got), len(tracker.accepted))
	}
}

// A process that started after its clock was stepped back has a lower incarnation than its predecessor. Its reports count as
// soon as the predecessor is silent, and the predecessor's count until then.
func TestIncarnationAfterAStepBack(t *testing.T) {
	for _, step := range []time.Duration{time.Second, 30 * time.Second, time.Hour} {
		started := time.Now()
		before := Report{Process: "p", Life: started.UnixMilli(), Number: 900, InForce: 9}
		after := Report{Process: "p", Life: started.Add(-step).UnixMilli(), Number: 1, InForce: 3}
		tracker := NewRollout()
		tracker.Hear(before, 0)
		tracker.Hear(after, incarnationTimeout)
		if got := tracker.Progress(incarnationTimeout); got[0].Report != before {
			t.Errorf("step of %v: %+v while the predecessor may still run", step, got)
		}
		tracker.Hear(after, incarnationTimeout+1)
		if got := tracker.Progress(incarnationTimeout + 1); len(got) != 1 || got[0].Report != after {
			t.Errorf("step of %v: %+v, want %+v", step, got, after)
		}
		silent, heard := []Progress{{Report: before, SilentMs: 10_001}}, []Progress{{Report: after, SilentMs: 10_000}}
		for _, got := range [][]Progress{Newest(silent, heard), Newest(heard, silent)} {
			if len(got) != 1 || got[0].Report != after {
				t.Errorf("step of %v, of two members: %+v", step, got)
			}
		}
		silent[0].SilentMs = 10_000
		for _, got := range [][]Progress{Newest(silent, heard), Newest(heard, silent)} {
			if len(got) != 1 || got[0].Report != before {
				t.Errorf("step of %v, both are heard: %+v", step, got)
			}
		}
	}
}

// A report that is older within one incarnation never counts, however long the process was silent.
func TestOlderReportOfOneIncarnationNeverCounts(t *testing.T) {
	tracker := NewRollout()
	latest := Report{Process: "p", Life: 7, Number: 5}
	tracker.Hear(latest, 0)
	tracker.Hear(Report{Process: "p", Life: 7, Number: 4}, time.Hour)
	if got := tracker.Progress(time.Hour); got[0].Report != latest {
		t.Errorf("%+v", got)
	}
}
